/** The specification of grants: one team's bucket through takeovers. */

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

/** Tokens that a VM may spend without asking. */
interface Wallet {
  readonly tokens: number;
  readonly expiresInMs: number;
}

/** State of the model; all times are relative to now. */
export interface GrantState {
  readonly bucket: LimitBucket;
  readonly wallets: readonly Wallet[];
  /** A grant whose reply is on its way, and when it was asked for. */
  readonly reply: { readonly askedAtMs: number } | undefined;
  readonly takeovers: number;
  /**
   * Requests beyond the rate: the greatest excess over all windows that end
   * now.
   */
  readonly excess: number;
}

/** Rules of the model that a broken variant may replace. */
export interface GrantRules {
  /** Takes a grant from the bucket. */
  readonly grant: (bucket: LimitBucket) => LimitBucket | undefined;
  readonly createBucket: () => LimitBucket;
  /** True if a grant is counted from before it was asked for. */
  readonly countsFromAsking: boolean;
}

/** The rules of the real core. */
export const REAL_GRANT_RULES: GrantRules = {
  grant: (bucket) => {
    const order = { id: "g", vm: "v", tokens: GRANT_TOKENS, nowMs: 0 };
    const step = grant(bucket, order);
    return step.isAllowed ? step.bucket : undefined;
  },
  createBucket: () => createBucket(LIMITS, 0),
  countsFromAsking: true,
};

/** A deliberately broken set of rules. */
export interface BrokenGrantVariant {
  readonly name: string;
  readonly rules: GrantRules;
}

/** Variants that the model check must catch. */
export const BROKEN_GRANT_VARIANTS: readonly BrokenGrantVariant[] = [
  {
    name: "grants are not counted in the burst",
    rules: {
      ...REAL_GRANT_RULES,
      grant: grantUncounted,
    },
  },
  {
    name: "a new holder leaves no room for its predecessor's grants",
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
    name: "a grant is counted from the arrival of the reply",
    rules: { ...REAL_GRANT_RULES, countsFromAsking: false },
  },
];

/**
 * Builds the model.
 *
 * @param takeovers - how often the holder may change without a handover
 * @param rules - default: the rules of the real core
 * @returns the model
 */
export function buildGrantModel(
  takeovers: number,
  rules: GrantRules = REAL_GRANT_RULES,
): Model<GrantState> {
  return {
    initial: {
      bucket: { ...createBucket(LIMITS, 0, 0), level: LIMITS.burst },
      wallets: [],
      reply: undefined,
      takeovers,
      excess: 0,
    },
    listSteps: (state) => listSteps(state, rules),
    encode: (state) => JSON.stringify(state),
    findBreach: (state) =>
      state.excess > LIMITS.burst
        ? "a window exceeds rate and burst"
        : undefined,
  };
}

function listSteps(
  state: GrantState,
  rules: GrantRules,
): readonly ModelStep<GrantState>[] {
  const steps = [{ label: "a second passes", state: passTime(state) }];
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
  state.wallets.forEach((wallet, index) => {
    steps.push({
      label: "another VM spends a granted token",
      state: spendWallet(state, wallet, index),
    });
  });
  if (state.takeovers > 0) {
    const takeovers = state.takeovers - 1;
    steps.push({
      label: "another VM takes the shard over",
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
    const countedMs = rules.countsFromAsking ? state.reply.askedAtMs : 0;
    const expiresInMs = countedMs + GRANT_VALID_MS;
    const wallet = { tokens: GRANT_TOKENS, expiresInMs };
    const wallets = [...state.wallets, wallet];
    const without = { ...state, reply: undefined };
    return [
      { label: "the reply with a grant is lost", state: without },
      {
        label: "the reply with a grant arrives",
        state: expiresInMs > 0 ? { ...without, wallets } : without,
      },
    ];
  }
  const bucket = rules.grant(state.bucket);
  return bucket === undefined ? [] : [{
    label: "the holder grants a token",
    state: { ...state, bucket, reply: { askedAtMs: 0 } },
  }];
}

function spendWallet(
  state: GrantState,
  wallet: Wallet,
  index: number,
): GrantState {
  const tokens = wallet.tokens - 1;
  const rest = state.wallets.filter((_, at) => at !== index);
  const wallets = tokens > 0 ? [...rest, { ...wallet, tokens }] : rest;
  return { ...state, wallets, excess: state.excess + 1 };
}

// A reply that is later than any grant lasts would bring nothing.
function passTime(state: GrantState): GrantState {
  const { bucket, reply } = state;
  const refilled = refill(bucket, TICK_MS);
  const askedAtMs = (reply?.askedAtMs ?? 0) - TICK_MS;
  const earned = LIMITS.ratePerSecond;
  return {
    ...state,
    bucket: {
      ...refilled,
      refilledAtMs: 0,
      grants: refilled.grants.map((made) => ({
        ...made,
        expiresAtMs: made.expiresAtMs - TICK_MS,
      })),
      withheldUntilMs: Math.max(0, refilled.withheldUntilMs - TICK_MS),
    },
    wallets: state.wallets
      .map((wallet) => ({
        ...wallet,
        expiresInMs: wallet.expiresInMs - TICK_MS,
      }))
      .filter((wallet) => wallet.expiresInMs > 0),
    reply: reply === undefined || askedAtMs < -2 * GRANT_VALID_MS
      ? undefined
      : { askedAtMs },
    excess: Math.max(0, state.excess - earned),
  };
}

function grantUncounted(bucket: LimitBucket): LimitBucket | undefined {
  const granted = REAL_GRANT_RULES.grant(bucket);
  return granted && { ...granted, grants: bucket.grants };
}
