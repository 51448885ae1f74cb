/**
 * Token bucket of a team. Only the holder of the team's shard keeps it; other
 * VMs spend tokens that the holder has granted to them.
 */

/** Longest validity of a grant, counted from the request for it. */
export const GRANT_VALID_MS = 2_000;
/** Validity of a grant that only covers requests already waiting. */
export const IMMEDIATE_GRANT_VALID_MS = 100;
/** Largest relative difference in rate between two VMs' monotonic clocks. */
export const CLOCK_DRIFT = 0.01;
/** Largest share of the burst that may be in outstanding grants. */
export const MAX_GRANTED_SHARE = 0.5;

const MS_PER_SECOND = 1_000;

/** Refill rate and capacity of a team's token bucket. */
export interface Limits {
  readonly ratePerSecond: number;
  /** Capacity, in tokens. */
  readonly burst: number;
}

/** A grant of tokens to another VM that has not expired. */
export interface OutstandingGrant {
  readonly id: string;
  readonly vm: string;
  /** Tokens that the VM may still spend, as far as the holder knows. */
  readonly tokens: number;
  /** Holder's monotonic time; never before the grant expires at the VM. */
  readonly expiresAtMs: number;
}

/**
 * State of a bucket. Invariant: level, outstanding grants and withheld tokens
 * together never exceed the burst, so that no time window admits more requests
 * than the burst plus the rate times the window's length.
 */
export interface LimitBucket {
  readonly limits: Limits;
  /** Tokens that can be spent or granted; may be fractional. */
  readonly level: number;
  readonly refilledAtMs: number;
  readonly grants: readonly OutstandingGrant[];
  /**
   * Tokens that the previous holder may have granted. They are kept out of the
   * level until `withheldUntilMs`, when all such grants have expired.
   */
  readonly withheld: number;
  readonly withheldUntilMs: number;
}

/** Result of taking tokens from a bucket. */
export interface BucketResult {
  /** The bucket afterwards, refilled also if no tokens were taken. */
  readonly bucket: LimitBucket;
  /** True if the tokens were taken. */
  readonly isAllowed: boolean;
}

/** Parameters of a new grant. */
export interface GrantOrder {
  readonly id: string;
  readonly vm: string;
  readonly tokens: number;
  /** The holder's monotonic time. */
  readonly nowMs: number;
  /** At most {@link GRANT_VALID_MS}, which is the default. */
  readonly validForMs?: number;
}

/**
 * Computes the most tokens that may be in outstanding grants.
 *
 * @param limits - rate and burst of the team
 * @returns a whole number of tokens
 */
export function computeMaxGranted(limits: Limits): number {
  return Math.floor(limits.burst * MAX_GRANTED_SHARE);
}

/**
 * Creates the bucket of a new holder. It starts empty, and withholds the tokens
 * that the previous holder may have granted until those grants have expired.
 *
 * @param limits - rate and burst of the team
 * @param nowMs - monotonic time since which this VM has held the shard
 * @param withheld - most tokens that the previous holder may have granted
 * @returns an empty bucket
 */
export function createBucket(
  limits: Limits,
  nowMs: number,
  withheld: number = computeMaxGranted(limits),
): LimitBucket {
  return {
    limits,
    level: 0,
    refilledAtMs: nowMs,
    grants: [],
    withheld,
    withheldUntilMs: nowMs + GRANT_VALID_MS * (1 + CLOCK_DRIFT),
  };
}

/**
 * Drops expired grants, and the withheld tokens once they have expired.
 *
 * @param bucket - state before the call
 * @param nowMs - the holder's monotonic time
 * @returns the bucket without them; all tokens of expired grants count as spent
 */
export function expire(bucket: LimitBucket, nowMs: number): LimitBucket {
  const isWithheldOver = bucket.withheld > 0 && nowMs >= bucket.withheldUntilMs;
  const hasExpired = bucket.grants.some((grant) => nowMs >= grant.expiresAtMs);
  if (!isWithheldOver && !hasExpired) {
    return bucket;
  }
  return {
    ...bucket,
    grants: bucket.grants.filter((grant) => nowMs < grant.expiresAtMs),
    withheld: isWithheldOver ? 0 : bucket.withheld,
  };
}

/**
 * Adds the tokens earned since the last call, up to the burst less outstanding
 * and withheld tokens.
 *
 * @param bucket - state before the call
 * @param nowMs - the holder's monotonic time
 * @returns the bucket at that time, without expired grants
 */
export function refill(bucket: LimitBucket, nowMs: number): LimitBucket {
  const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
  const earned = elapsedMs * bucket.limits.ratePerSecond / MS_PER_SECOND;
  const current = expire(bucket, nowMs);
  return {
    ...current,
    level: Math.max(
      0,
      Math.min(computeMaxLevel(current), current.level + earned),
    ),
    refilledAtMs: Math.max(nowMs, bucket.refilledAtMs),
  };
}

/**
 * Spends one token for a request at the holder.
 *
 * @param bucket - state before the call
 * @param nowMs - the holder's monotonic time
 * @returns the bucket, and whether a token was spent
 */
export function spend(bucket: LimitBucket, nowMs: number): BucketResult {
  const current = refill(bucket, nowMs);
  if (current.level < 1) {
    return { bucket: current, isAllowed: false };
  }
  return {
    bucket: { ...current, level: current.level - 1 },
    isAllowed: true,
  };
}

/**
 * Grants tokens to another VM.
 *
 * @param bucket - state before the call
 * @param order - parameters of the grant
 * @returns the bucket, and whether its level and the limit on outstanding grants
 * allowed the grant
 */
export function grant(bucket: LimitBucket, order: GrantOrder): BucketResult {
  const current = refill(bucket, order.nowMs);
  if (order.tokens < 1 || order.tokens > computeGrantable(current)) {
    return { bucket: current, isAllowed: false };
  }
  const validForMs = Math.min(
    GRANT_VALID_MS,
    order.validForMs ?? GRANT_VALID_MS,
  );
  const issued: OutstandingGrant = {
    id: order.id,
    vm: order.vm,
    tokens: order.tokens,
    expiresAtMs: order.nowMs + validForMs * (1 + CLOCK_DRIFT),
  };
  return {
    bucket: {
      ...current,
      level: current.level - order.tokens,
      grants: [...current.grants, issued],
    },
    isAllowed: true,
  };
}

/**
 * Puts the unspent tokens of a returned grant back into the bucket.
 *
 * @param bucket - state before the call
 * @param id - id of the grant, which its receiver has dropped
 * @param unspent - tokens returned
 * @returns the bucket; unchanged if the grant has expired or is unknown
 */
export function restore(
  bucket: LimitBucket,
  id: string,
  unspent: number,
): LimitBucket {
  const returned = bucket.grants.find((known) => known.id === id);
  if (returned === undefined) {
    return bucket;
  }
  return {
    ...bucket,
    level: bucket.level + Math.max(0, Math.min(unspent, returned.tokens)),
    grants: bucket.grants.filter((known) => known !== returned),
  };
}

/**
 * Records the tokens of a grant that its receiver reports as spent, so that the
 * bucket can refill by as many.
 *
 * @param bucket - state before the call
 * @param id - id of the grant
 * @param unspent - most tokens that the receiver may still spend
 * @returns the bucket; a grant without tokens left is dropped
 */
export function recordSpent(
  bucket: LimitBucket,
  id: string,
  unspent: number,
): LimitBucket {
  return {
    ...bucket,
    grants: bucket.grants
      .map((issued) =>
        issued.id === id
          ? { ...issued, tokens: Math.min(issued.tokens, unspent) }
          : issued
      )
      .filter((issued) => issued.tokens > 0),
  };
}

/**
 * Extends an unexpired grant to the full validity from now.
 *
 * @param bucket - a bucket refilled just before
 * @param id - id of the grant
 * @param nowMs - the holder's monotonic time
 * @returns the bucket; unchanged if the grant has expired or is unknown
 */
export function renewGrant(
  bucket: LimitBucket,
  id: string,
  nowMs: number,
): LimitBucket {
  const expiresAtMs = nowMs + GRANT_VALID_MS * (1 + CLOCK_DRIFT);
  return {
    ...bucket,
    grants: bucket.grants.map((issued) =>
      issued.id === id ? { ...issued, expiresAtMs } : issued
    ),
  };
}

/**
 * Changes rate and burst from now on.
 *
 * @param bucket - state before the call
 * @param limits - the new rate and burst
 * @param nowMs - the holder's monotonic time
 * @returns the bucket; outstanding grants stay valid
 */
export function updateLimits(
  bucket: LimitBucket,
  limits: Limits,
  nowMs: number,
): LimitBucket {
  const current = { ...refill(bucket, nowMs), limits };
  const level = Math.max(0, Math.min(current.level, computeMaxLevel(current)));
  return { ...current, level };
}

/**
 * Computes how many tokens may be granted now.
 *
 * @param bucket - a bucket refilled just before
 * @returns a whole number of tokens
 */
export function computeGrantable(bucket: LimitBucket): number {
  const allowance = computeMaxGranted(bucket.limits) - countGranted(bucket);
  return Math.max(0, Math.floor(Math.min(bucket.level, allowance)));
}

/**
 * Counts the tokens in outstanding grants.
 *
 * @param bucket - state before the call
 * @returns tokens that receivers may still spend
 */
export function countGranted(bucket: LimitBucket): number {
  return bucket.grants.reduce((sum, issued) => sum + issued.tokens, 0);
}

/**
 * Estimates when the bucket will have a token again.
 *
 * @param bucket - a bucket refilled just before
 * @returns milliseconds; the time to earn one token if the bucket has tokens but
 * the limit on outstanding grants is reached
 */
export function estimateWaitMs(bucket: LimitBucket): number {
  const missing = bucket.level >= 1 ? 1 : 1 - bucket.level;
  return Math.ceil(missing * MS_PER_SECOND / bucket.limits.ratePerSecond);
}

function computeMaxLevel(bucket: LimitBucket): number {
  return bucket.limits.burst - countGranted(bucket) - bucket.withheld;
}
