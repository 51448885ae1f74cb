/** Detection threshold, derived from the accepted false-ejection rate. */

import { GRAY_ALTERNATIVES } from "./observation.ts";

const SECONDS_PER_DAY = 86_400;
// One observation in ten seconds.
const MIN_OBSERVATIONS_PER_DAY = 8_640;
const MIN_FALSE_EJECTIONS_PER_DAY = 1e-9;

/**
 * Computes the score at which a server is detected as gray. A cumulative sum
 * (CUSUM) of log-likelihood ratios of a healthy server crosses h at most once
 * in e^h observations on average, and one sum runs per gray alternative.
 *
 * @param observationsPerSecond - requests per second at the server
 * @param falseEjectionsPerServerDay - accepted false ejections per server and
 *   day
 * @returns log-likelihood ratio that a cumulative sum has to reach
 */
export function computeThreshold(
  observationsPerSecond: number,
  falseEjectionsPerServerDay: number,
): number {
  const perDay = Math.max(
    MIN_OBSERVATIONS_PER_DAY,
    observationsPerSecond * SECONDS_PER_DAY,
  );
  const accepted = Math.max(
    MIN_FALSE_EJECTIONS_PER_DAY,
    falseEjectionsPerServerDay,
  );
  return Math.log(perDay * GRAY_ALTERNATIVES.length / accepted);
}
