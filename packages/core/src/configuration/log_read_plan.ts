/** Decides when a VM next reads the log's configuration stream. */

/** Number of VMs that long-poll the log for new records. */
export const LOG_WATCHER_COUNT = 3;

/** Time for which the log may hold the read of a watcher. */
const LONG_POLL_TIMEOUT_MS = 2_000;
/** Mean time between the reads of the other VMs. */
const POLL_INTERVAL_MS = 10_000;
/** Largest delay of a read by a VM that knows it may be out of date. */
const MAX_URGENT_DELAY_MS = 500;
/** Age of the newest read after which every VM reads the log itself. */
const STALE_LOG_AGE_MS = 5_000;
/** Mean delay after the first failed read; doubles with each further one. */
const FIRST_RETRY_DELAY_MS = 250;
/** Largest mean delay between failed reads. */
const MAX_RETRY_DELAY_MS = 8_000;

/** Conditions that the next read of the log depends on. */
export interface LogReadConditions {
  /**
   * Rank of this VM, from 0, in an order of the fleet that is the same on all
   * VMs.
   */
  readonly rank: number;
  /**
   * Time in milliseconds since the newest read of the log whose contents this
   * VM knows.
   */
  readonly logAgeMs: number;
  /** True if another VM announced a version that this VM does not have. */
  readonly isBehind: boolean;
  /** Number of consecutive failed reads. */
  readonly failureCount: number;
  /** Uniform random number from 0 to 1, to spread the VMs' reads over time. */
  readonly jitter: number;
}

/** Delay before the next read, and time for which the log may hold it. */
export interface LogReadPlan {
  readonly delayMs: number;
  readonly waitMs: number;
}

/**
 * Plans the next read. A few VMs, the watchers, long-poll the log and announce
 * new versions to the others. The others read on an announcement, seldom
 * otherwise, and in place of the watchers if these seem partitioned from the
 * log.
 *
 * @param conditions - rank of the VM and state of its log reads
 * @returns delay and hold time of the next read
 */
export function planLogRead(conditions: LogReadConditions): LogReadPlan {
  const { rank, logAgeMs, isBehind, failureCount, jitter } = conditions;
  if (failureCount > 0) {
    const delayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      FIRST_RETRY_DELAY_MS * 2 ** (failureCount - 1),
    );
    return { delayMs: delayMs * (0.5 + jitter), waitMs: 0 };
  }
  if (rank < LOG_WATCHER_COUNT) {
    return { delayMs: 0, waitMs: LONG_POLL_TIMEOUT_MS };
  }
  if (isBehind || logAgeMs > STALE_LOG_AGE_MS) {
    return { delayMs: MAX_URGENT_DELAY_MS * jitter, waitMs: 0 };
  }
  return { delayMs: POLL_INTERVAL_MS * (0.5 + jitter), waitMs: 0 };
}
