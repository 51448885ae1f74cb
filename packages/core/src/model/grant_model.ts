/**
 * Model of token grants: one team's token bucket while its shard is taken over
 * by other VMs.
 */

import {
  createBucket,
  grant,
  GRANT_VALID_MS,
  type LimitBucket,
  type Limits,
  refill,
  spend,
} from "../limits/limit_bucket.ts";
import type { Model, ModelStep } from "./explore.ts";

const TICK_MS = 1_000;
const LIMITS: Limits = { ratePerSecond: 3, burst: 4 };
const GRANT_TOKENS = 1;

/** Tokens that a VM may spend without asking the shard's holder. */
interface ReceivedGrant {
  readonly tokens: number;
  /** Time until the tokens expire, in milliseconds. */
  readonly expiresInMs: number;
}

/** State of the model; all times are in milliseconds relative to now. */
export interface GrantState {
  readonly bucket: LimitBucket;
  readonly receivedGrants: readonly ReceivedGrant[];
  /** A grant whose reply is in transit, and when it was requested. */
  readonly reply: { readonly askedAtMs: number } | undefined;
  /** Number of takeovers that may still happen. */
  readonly takeovers: number;
  /**
   * Requests admitted beyond the rate: the maximum over all time windows that
   * end now. Must not exceed the burst.
   */
  readonly excess: number;
}

/** Rules of the model that a deliberately broken variant may replace. */
export interface GrantRules {
  /** Takes a grant from the bucket; undefined if the bucket refuses it. */
  readonly grant: (bucket: LimitBucket) => LimitBucket | undefined;
  /** Creates the bucket of a VM that has taken the shard over. */
  readonly createBucket: () => LimitBucket;
  /** True if a grant's validity is counted from before the request for it. */
  readonly countsFromRequest: boolean;
}

/** The rules of the production code. */
export const REAL_GRANT_RULES: GrantRules = {
  grant: (bucket) => {
    const request = { id: "g", vm: "v", tokens: GRANT_TOKENS, nowMs: 0 };
    const step = grant(bucket, request);
    return step.isAllowed ? step.bucket : undefined;
  },
  createBucket: () => createBucket(LIMITS, 0),
  countsFromRequest: true,
};

/** A deliberately broken set of rules. */
export interface BrokenGrantVariant {
  readonly name: string;
  readonly rules: GrantRules;
}

/** Variants in which the model checker must find a violation. */
export const BROKEN_GRANT_VARIANTS: readonly BrokenGrantVariant[] = [
  {
    name: "outstanding grants do not count towards the burst",
    rules: {
      ...REAL_GRANT_RULES,
      grant: grantUncounted,
    },
  },
  {
    name: "a new holder withholds no tokens for its predecessor's grants",
    rules: {
      ...REAL_GRANT_RULES,
      createBucket: () => createBucket(LIMITS, 0, 0),
    },
  },
  {
    name: "a new holder starts with a full bucket",
    rules: {
      ...REAL_GRANT_RULES,
      createBucket: () => ({
        ...createBucket(LIMITS, 0),
        level: LIMITS.burst,
      }),
    },
  },
  {
    name: "the validity of a grant starts when the reply arrives",
    rules: { ...REAL_GRANT_RULES, countsFromRequest: false },
  },
];

/**
 * Builds the model of one holder and other VMs that spend its grants.
 *
 * @param takeovers - how often the holder may change without a handover
 * @param rules - protocol rules; by default those of the production code
 * @returns a model whose invariant is that no time window admits more than the
 *   burst plus the rate times its length
 */
export function buildGrantModel(
  takeovers: number,
  rules: GrantRules = REAL_GRANT_RULES,
): Model<GrantState> {
  return {
    initial: {
      bucket: { ...createBucket(LIMITS, 0, 0), level: LIMITS.burst },
      receivedGrants: [],
      reply: undefined,
      takeovers,
      excess: 0,
    },
    listSteps: (state) => listSteps(state, rules),
    encode: (state) => JSON.stringify(state),
    findViolation: (state) =>
      state.excess > LIMITS.burst
        ? "a time window exceeds rate and burst"
        : undefined,
  };
}

function listSteps(
  state: GrantState,
  rules: GrantRules,
): readonly ModelStep<GrantState>[] {
  const steps = [{ label: "a second passes", state: advanceTime(state) }];
  const spent = spend(state.bucket, 0);
  if (spent.isAllowed) {
    const bucket = spent.bucket;
    const excess = state.excess + 1;
    steps.push({
      label: "the holder spends a token",
      state: { ...state, bucket, excess },
    });
  }
  steps.push(...listGrantSteps(state, rules));
  state.receivedGrants.forEach((received, index) => {
    steps.push({
      label: "another VM spends a granted token",
      state: spendReceivedGrant(state, received, index),
    });
  });
  if (state.takeovers > 0) {
    const takeovers = state.takeovers - 1;
    steps.push({
      label: "another VM takes over the shard",
      state: { ...state, bucket: rules.createBucket(), takeovers },
    });
  }
  return steps;
}

function listGrantSteps(
  state: GrantState,
  rules: GrantRules,
): readonly ModelStep<GrantState>[] {
  if (state.reply !== undefined) {
    const countedMs = rules.countsFromRequest ? state.reply.askedAtMs : 0;
    const expiresInMs = countedMs + GRANT_VALID_MS;
    const received = { tokens: GRANT_TOKENS, expiresInMs };
    const receivedGrants = [...state.receivedGrants, received];
    const without = { ...state, reply: undefined };
    return [
      { label: "the reply with the grant is lost", state: without },
      {
        label: "the reply with the grant arrives",
        state: expiresInMs > 0 ? { ...without, receivedGrants } : without,
      },
    ];
  }
  const bucket = rules.grant(state.bucket);
  return bucket === undefined ? [] : [{
    label: "the holder grants a token",
    state: { ...state, bucket, reply: { askedAtMs: 0 } },
  }];
}

function spendReceivedGrant(
  state: GrantState,
  received: ReceivedGrant,
  index: number,
): GrantState {
  const tokens = received.tokens - 1;
  const rest = state.receivedGrants.filter((_, at) => at !== index);
  const receivedGrants = tokens > 0 ? [...rest, { ...received, tokens }] : rest;
  return { ...state, receivedGrants, excess: state.excess + 1 };
}

// A reply in transit for longer than the longest validity of a grant brings no
// tokens, so it is dropped to keep the number of states finite.
function advanceTime(state: GrantState): GrantState {
  const { bucket, reply } = state;
  const refilled = refill(bucket, TICK_MS);
  const askedAtMs = (reply?.askedAtMs ?? 0) - TICK_MS;
  const earnedTokens = LIMITS.ratePerSecond;
  return {
    ...state,
    bucket: {
      ...refilled,
      refilledAtMs: 0,
      grants: refilled.grants.map((item) => ({
        ...item,
        expiresAtMs: item.expiresAtMs - TICK_MS,
      })),
      withheldUntilMs: Math.max(0, refilled.withheldUntilMs - TICK_MS),
    },
    receivedGrants: state.receivedGrants
      .map((received) => ({
        ...received,
        expiresInMs: received.expiresInMs - TICK_MS,
      }))
      .filter((received) => received.expiresInMs > 0),
    reply: reply === undefined || askedAtMs < -2 * GRANT_VALID_MS
      ? undefined
      : { askedAtMs },
    excess: Math.max(0, state.excess - earnedTokens),
  };
}

function grantUncounted(bucket: LimitBucket): LimitBucket | undefined {
  const granted = REAL_GRANT_RULES.grant(bucket);
  return granted && { ...granted, grants: bucket.grants };
}
