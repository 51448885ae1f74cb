/** The rules of the specification that a broken variant may replace. */

import {
  type ClaimDecision,
  type ClaimLookup,
  decideClaim,
} from "../claims/claim_decision.ts";
import type { OwnershipState } from "../ownership/ownership_fold.ts";
import type { OwnershipRecord } from "../ownership/ownership_record.ts";
import {
  mayActAsHolder,
  mayPromise,
  type PromiseRequest,
  type ShardReplica,
} from "../ownership/shard_replica.ts";
import type { ModelBudget } from "./model_state.ts";

/** Rules by which the model's VMs decide; the real ones by default. */
export interface ModelRules {
  /** Looked at immediately before a dispatch. */
  readonly mayDispatch: (replica: ShardReplica) => boolean;
  readonly mayPromise: (replica: ShardReplica, wish: PromiseRequest) => boolean;
  readonly decideClaim: (lookup: ClaimLookup) => ClaimDecision;
  /** Sees a record of the log before it is folded. */
  readonly readRecord: (
    state: OwnershipState,
    record: OwnershipRecord,
  ) => OwnershipRecord;
  /** True if a VM writes records only when its promises allow it. */
  readonly keepsPromises: boolean;
  /** True if a received promise counts from before the wish was sent. */
  readonly countsFromSending: boolean;
  /** True if a dropped peer counts as gone only under its promise. */
  readonly needsUnbrokenPromise: boolean;
  /** True if a record takes effect only when it has been read in the log. */
  readonly needsLog: boolean;
  /** True if a holder may change its standby without the log. */
  readonly replacesWithoutLog: boolean;
  /** True if a lost answer is settled by reading. */
  readonly settlesByReading: boolean;
  /** True if a claim is kept elsewhere before the dispatch. */
  readonly claimsFirst: boolean;
  /** True if unlogged claims go to the log before an ownership record. */
  readonly flushesClaims: boolean;
  /** True if unknown keys are refused when claims may have been lost. */
  readonly refusesMissedClaims: boolean;
}

/** The rules of the real core. */
export const REAL_RULES: ModelRules = {
  mayDispatch: (replica) => mayActAsHolder(replica, 0),
  mayPromise,
  decideClaim,
  readRecord: (_state, record) => record,
  keepsPromises: true,
  countsFromSending: true,
  needsUnbrokenPromise: true,
  needsLog: true,
  replacesWithoutLog: false,
  settlesByReading: true,
  claimsFirst: true,
  flushesClaims: true,
  refusesMissedClaims: true,
};

/** A deliberately broken set of rules. */
export interface BrokenVariant {
  readonly name: string;
  readonly rules: ModelRules;
  /** Bounds within which the shortest trace lies. */
  readonly budget: ModelBudget;
}

const RECORD: ModelBudget = {
  kills: 0,
  records: 1,
  claims: 0,
  resignations: 0,
  isLossy: true,
};
const TWO_RECORDS: ModelBudget = { ...RECORD, records: 2 };
const KILL: ModelBudget = { ...RECORD, kills: 1 };
const CLAIMS: ModelBudget = { ...RECORD, claims: 2 };
const REPLACED: ModelBudget = { ...CLAIMS, records: 2, isLossy: false };
const BOTH_LOST: ModelBudget = { ...CLAIMS, kills: 2, isLossy: false };

/** Variants that the model check must catch. */
export const BROKEN_VARIANTS: readonly BrokenVariant[] = [
  {
    name: "the holder's right is not checked again before the dispatch",
    budget: CLAIMS,
    rules: { ...REAL_RULES, mayDispatch: () => true },
  },
  {
    name: "the standby takes over without the log",
    budget: RECORD,
    rules: { ...REAL_RULES, needsLog: false },
  },
  {
    name: "a record is written before the promise has run out",
    budget: RECORD,
    rules: { ...REAL_RULES, keepsPromises: false },
  },
  {
    name: "a lost answer of the log counts as success",
    budget: TWO_RECORDS,
    rules: { ...REAL_RULES, settlesByReading: false },
  },
  {
    name: "the standby is replaced without a record",
    budget: RECORD,
    rules: { ...REAL_RULES, replacesWithoutLog: true },
  },
  {
    name: "the survivor goes on alone after a gap in the promises",
    budget: KILL,
    rules: { ...REAL_RULES, needsUnbrokenPromise: false },
  },
  {
    name: "the claim is kept elsewhere only after the dispatch",
    budget: CLAIMS,
    rules: { ...REAL_RULES, claimsFirst: false },
  },
  {
    name: "a promise is counted from the arrival of the reply",
    budget: RECORD,
    rules: { ...REAL_RULES, countsFromSending: false },
  },
  {
    name: "a promise is given while an own record is under way",
    budget: TWO_RECORDS,
    rules: {
      ...REAL_RULES,
      mayPromise: (replica, wish) => replica.ownership.epoch <= wish.epoch,
    },
  },
  {
    name: "a record counts whatever epoch it is based on",
    budget: TWO_RECORDS,
    rules: {
      ...REAL_RULES,
      readRecord: (state, record) => ({
        ...record,
        change: "checkpoint",
        epoch: state.epoch + 1,
      }),
    },
  },
  {
    name: "claims are not written before the standby is replaced",
    budget: REPLACED,
    rules: { ...REAL_RULES, flushesClaims: false },
  },
  {
    name: "an unknown outcome is run again",
    budget: CLAIMS,
    rules: {
      ...REAL_RULES,
      decideClaim: decideRerun,
    },
  },
  {
    name: "a third VM runs new keys after both members were lost",
    budget: BOTH_LOST,
    rules: { ...REAL_RULES, refusesMissedClaims: false },
  },
];

function decideRerun(lookup: ClaimLookup): ClaimDecision {
  const decision = decideClaim(lookup);
  return decision.kind === "outcome-unknown"
    ? { kind: "claim", supersedes: undefined }
    : decision;
}
