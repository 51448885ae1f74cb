/** State that the detector keeps per server. */

import type { DecayingHistogram } from "./decaying_histogram.ts";
import type { GrayAlternative } from "./observation.ts";
import type { ServerStatistic } from "./server_statistic.ts";

/** Time constant of the estimate of requests per second, in milliseconds. */
export const RATE_TIME_CONSTANT_MS = 30_000;

// Slowness of more servers than both of these is overload.
const MAX_SLOW_SERVERS = 2;
const MAX_SLOW_SHARE = 0.25;

/** Recent observations of one server and the state of its tests. */
export interface ServerRecord {
  /**
   * Monotonic time at which it last refused connections, which suggests a
   * restart; negative infinity if it never did.
   */
  restartedAtMs: number;
  /** Observations of the last few requests. */
  readonly recent: DecayingHistogram;
  /** Observations that decay with {@link RATE_TIME_CONSTANT_MS}. */
  readonly rate: DecayingHistogram;
  readonly statistics: readonly {
    readonly alternative: GrayAlternative;
    readonly statistic: ServerStatistic;
  }[];
}

/**
 * Finds the highest score of a server over all gray alternatives.
 *
 * @param record - state of the server
 * @returns log-likelihood ratio, at least 0
 */
export function findWorstScore(record: ServerRecord): number {
  return Math.max(
    ...record.statistics.map(({ statistic }) => statistic.computeScore()),
  );
}

/**
 * Estimates the request rate of a server.
 *
 * @param record - state of the server
 * @returns requests per second
 */
export function computeRate(record: ServerRecord): number {
  return 1_000 * record.rate.countAll() / RATE_TIME_CONSTANT_MS;
}

/**
 * Checks whether so many servers look slow at once that the load is the cause
 * rather than single servers.
 *
 * @param records - states of all servers of the service
 * @param score - log-likelihood ratio from which a server counts as slow
 * @returns true if the slowness is overload
 */
export function isSlownessCommon(
  records: Iterable<ServerRecord>,
  score: number,
): boolean {
  let all = 0;
  let slow = 0;
  for (const { statistics } of records) {
    all += 1;
    const isSlow = statistics.some(({ alternative, statistic }) =>
      alternative.isLatency && statistic.computeScore() >= score
    );
    slow += isSlow ? 1 : 0;
  }
  return slow > Math.max(MAX_SLOW_SERVERS, MAX_SLOW_SHARE * all);
}
