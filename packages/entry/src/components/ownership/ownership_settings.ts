/** Settings of shard ownership and of claims. */

import { SHARD_COUNT } from "@limpetford/core/sharding/shard_hash";

/** Times and limits, equal on every VM of a fleet. */
export interface OwnershipSettings {
  /** Number of shards of the fleet. */
  readonly shardCount: number;
  /** Time between two looks at all shards. */
  readonly tickMs: number;
  /** Time between two renewals of the promises with a partner. */
  readonly renewMs: number;
  /** Length of a promise while the log answers. */
  readonly promiseMs: number;
  /** Length of a promise while the log is away; longer than the list lags. */
  readonly longPromiseMs: number;
  /** Time-out of a call to another VM. */
  readonly callTimeoutMs: number;
  /** Time between two reads of a stream by a standby. */
  readonly standbyPollMs: number;
  /** Time after the start in which no shard is claimed. */
  readonly settleMs: number;
  /** Time without a promise after which a standby is replaced. */
  readonly replaceAfterMs: number;
  /** Time for which an unreachable VM is not chosen as standby. */
  readonly avoidMs: number;
  /** Time for which callers may send a request again. */
  readonly resendHorizonMs: number;
  /** Time for which idempotency keys are kept. */
  readonly claimRetentionMs: number;
  /** Time after which ownership and claims are written again. */
  readonly checkpointMs: number;
  /** Limit for kept answers of one shard. */
  readonly responseCacheBytes: number;
  /** Largest answer that is kept. */
  readonly answerLimitBytes: number;
  /** Appends per second of the whole fleet for claims. */
  readonly claimAppendsPerSecond: number;
  /** Shortest time between two appends of claims to one shard. */
  readonly claimFlushMs: number;
  /** Time between two shards given to their first choice. */
  readonly rebalanceMs: number;
  /** Ownership changes that run at one time. */
  readonly concurrentChanges: number;
}

/** Default settings. */
export const DEFAULT_OWNERSHIP_SETTINGS: OwnershipSettings = {
  shardCount: SHARD_COUNT,
  tickMs: 100,
  renewMs: 500,
  promiseMs: 2_500,
  longPromiseMs: 45_000,
  callTimeoutMs: 400,
  standbyPollMs: 5_000,
  settleMs: 1_500,
  replaceAfterMs: 500,
  avoidMs: 5_000,
  resendHorizonMs: 3_600_000,
  claimRetentionMs: 2 * 3_600_000,
  checkpointMs: 1_800_000,
  responseCacheBytes: 1_048_576,
  answerLimitBytes: 8_192,
  claimAppendsPerSecond: 100,
  claimFlushMs: 50,
  rebalanceMs: 1_000,
  concurrentChanges: 16,
};
