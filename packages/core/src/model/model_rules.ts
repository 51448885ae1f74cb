/**
 * Protocol rules of the ownership model, and variants with one rule broken to
 * show that the model checker finds the resulting violation.
 */

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

/** Rules by which the VMs of the model decide. */
export interface ModelRules {
  /** Checked immediately before a request is dispatched. */
  readonly mayDispatch: (replica: ShardReplica) => boolean;
  readonly mayPromise: (
    replica: ShardReplica,
    request: PromiseRequest,
  ) => boolean;
  readonly decideClaim: (lookup: ClaimLookup) => ClaimDecision;
  /** Converts a record of the log before it is folded. */
  readonly readRecord: (
    state: OwnershipState,
    record: OwnershipRecord,
  ) => OwnershipRecord;
  /** True if a VM writes ownership records only when its promises allow it. */
  readonly keepsPromises: boolean;
  /** True if a promise received counts from before the request was sent. */
  readonly countsFromRequest: boolean;
  /**
   * True if a peer removed from the VM list counts as gone only while the
   * promise received from it is in force.
   */
  readonly needsContinuousPromise: boolean;
  /** True if an ownership record takes effect only once read from the log. */
  readonly needsLog: boolean;
  /** True if a holder may change its standby without the log. */
  readonly replacesWithoutLog: boolean;
  /** True if reading the log decides whether an append without reply is in it. */
  readonly resolvesByReading: boolean;
  /** True if other VMs must store a claim before its request is dispatched. */
  readonly replicatesClaimFirst: boolean;
  /** True if claims not yet in the log are written before ownership records. */
  readonly flushesClaims: boolean;
  /** True if unknown keys are refused while claims may have been lost. */
  readonly refusesMissedClaims: boolean;
}

/** The rules of the production code. */
export const REAL_RULES: ModelRules = {
  mayDispatch: (replica) => mayActAsHolder(replica, 0),
  mayPromise,
  decideClaim,
  readRecord: (_state, record) => record,
  keepsPromises: true,
  countsFromRequest: true,
  needsContinuousPromise: true,
  needsLog: true,
  replacesWithoutLog: false,
  resolvesByReading: true,
  replicatesClaimFirst: true,
  flushesClaims: true,
  refusesMissedClaims: true,
};

/** A deliberately broken set of rules. */
export interface BrokenVariant {
  readonly name: string;
  readonly rules: ModelRules;
  /** Bounds within which the shortest trace to a violation lies. */
  readonly budget: ModelBudget;
}

const ONE_RECORD: ModelBudget = {
  kills: 0,
  records: 1,
  claims: 0,
  resignations: 0,
  isLossy: true,
};
const TWO_RECORDS: ModelBudget = { ...ONE_RECORD, records: 2 };
const ONE_RECORD_ONE_KILL: ModelBudget = { ...ONE_RECORD, kills: 1 };
const ONE_RECORD_TWO_CLAIMS: ModelBudget = { ...ONE_RECORD, claims: 2 };
const TWO_RECORDS_TWO_CLAIMS: ModelBudget = {
  ...ONE_RECORD_TWO_CLAIMS,
  records: 2,
  isLossy: false,
};
const TWO_CLAIMS_TWO_KILLS: ModelBudget = {
  ...ONE_RECORD_TWO_CLAIMS,
  kills: 2,
  isLossy: false,
};

/** Variants in which the model checker must find a violation. */
export const BROKEN_VARIANTS: readonly BrokenVariant[] = [
  {
    name: "ownership is not checked again before the dispatch",
    budget: ONE_RECORD_TWO_CLAIMS,
    rules: { ...REAL_RULES, mayDispatch: () => true },
  },
  {
    name: "the standby takes over without the log",
    budget: ONE_RECORD,
    rules: { ...REAL_RULES, needsLog: false },
  },
  {
    name: "a record is written before a promise given has expired",
    budget: ONE_RECORD,
    rules: { ...REAL_RULES, keepsPromises: false },
  },
  {
    name: "an append without reply counts as success",
    budget: TWO_RECORDS,
    rules: { ...REAL_RULES, resolvesByReading: false },
  },
  {
    name: "the standby is replaced without a record",
    budget: ONE_RECORD,
    rules: { ...REAL_RULES, replacesWithoutLog: true },
  },
  {
    name: "the survivor continues alone after a gap in the promises",
    budget: ONE_RECORD_ONE_KILL,
    rules: { ...REAL_RULES, needsContinuousPromise: false },
  },
  {
    name: "a claim is replicated only after the dispatch",
    budget: ONE_RECORD_TWO_CLAIMS,
    rules: { ...REAL_RULES, replicatesClaimFirst: false },
  },
  {
    name: "a promise counts from the arrival of the reply",
    budget: ONE_RECORD,
    rules: { ...REAL_RULES, countsFromRequest: false },
  },
  {
    name: "a promise is given while an own append is pending",
    budget: TWO_RECORDS,
    rules: {
      ...REAL_RULES,
      mayPromise: (replica, request) =>
        replica.ownership.epoch <= request.epoch,
    },
  },
  {
    name: "a record is valid whatever epoch it is based on",
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
    budget: TWO_RECORDS_TWO_CLAIMS,
    rules: { ...REAL_RULES, flushesClaims: false },
  },
  {
    name: "a request with unknown outcome runs again",
    budget: ONE_RECORD_TWO_CLAIMS,
    rules: {
      ...REAL_RULES,
      decideClaim: decideRerun,
    },
  },
  {
    name: "a third VM accepts new keys after holder and standby are lost",
    budget: TWO_CLAIMS_TWO_KILLS,
    rules: { ...REAL_RULES, refusesMissedClaims: false },
  },
];

function decideRerun(lookup: ClaimLookup): ClaimDecision {
  const decision = decideClaim(lookup);
  return decision.kind === "outcome-unknown"
    ? { kind: "claim", supersedes: undefined }
    : decision;
}
