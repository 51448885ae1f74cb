/** Settings of shard ownership and idempotency claims. */

import { SHARD_COUNT } from "@limpetford/core/sharding/shard_hash";

/**
 * Intervals, timeouts and limits of shard ownership. Every VM of a fleet must
 * use the same values. Times are in milliseconds, sizes in bytes.
 */
export interface OwnershipSettings {
  /** Number of shards of the fleet. */
  readonly shardCount: number;
  /** Interval at which the scheduler checks all shards for due work. */
  readonly tickMs: number;
  /** Interval at which promises are renewed with each partner. */
  readonly renewMs: number;
  /** Duration of a promise while the log is available. */
  readonly promiseMs: number;
  /**
   * Duration of a promise while the log is unavailable; longer than the VM
   * list's delay in dropping a VM.
   */
  readonly longPromiseMs: number;
  /** Timeout of an RPC to another VM. */
  readonly callTimeoutMs: number;
  /** Interval at which holder and standby poll a shard's log stream. */
  readonly standbyPollMs: number;
  /** Time after startup before this VM claims shards. */
  readonly startupDelayMs: number;
  /** Time since a standby's promise expired after which it is replaced. */
  readonly replaceAfterMs: number;
  /** Time for which an unreachable VM is excluded as standby. */
  readonly standbyCooldownMs: number;
  /** Time during which callers may resend a request. */
  readonly resendHorizonMs: number;
  /** Retention of idempotency keys; longer than `resendHorizonMs`. */
  readonly claimRetentionMs: number;
  /** Age of the last ownership record at which a checkpoint is written. */
  readonly checkpointMs: number;
  /** Capacity of the cache of stored responses, per shard. */
  readonly responseCacheBytes: number;
  /** Largest response body that is stored for replay. */
  readonly maxStoredResponseBytes: number;
  /** Budget of log appends per second for claims, for the whole fleet. */
  readonly claimAppendsPerSecond: number;
  /** Minimum time between two appends of claims to the log by one VM. */
  readonly claimFlushMs: number;
  /** Minimum time between two moves of a shard to its preferred holder. */
  readonly rebalanceMs: number;
  /** Maximum number of shards with background work in progress. */
  readonly concurrentChanges: number;
}

/** Default values of {@link OwnershipSettings}. */
export const DEFAULT_OWNERSHIP_SETTINGS: OwnershipSettings = {
  shardCount: SHARD_COUNT,
  tickMs: 100,
  renewMs: 500,
  promiseMs: 2_500,
  longPromiseMs: 45_000,
  callTimeoutMs: 400,
  standbyPollMs: 5_000,
  startupDelayMs: 1_500,
  replaceAfterMs: 500,
  standbyCooldownMs: 5_000,
  resendHorizonMs: 3_600_000,
  claimRetentionMs: 2 * 3_600_000,
  checkpointMs: 1_800_000,
  responseCacheBytes: 1_048_576,
  maxStoredResponseBytes: 8_192,
  claimAppendsPerSecond: 100,
  claimFlushMs: 50,
  rebalanceMs: 1_000,
  concurrentChanges: 16,
};
