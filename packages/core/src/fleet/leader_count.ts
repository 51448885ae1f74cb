/** Scales the number of a zone's leaders with its load. */

/** Requests per second that one core serves without overload. */
export const REQUESTS_PER_SECOND_PER_CORE = 300;
/** A leader is added above this share of the leaders' capacity. */
const ADD_ABOVE_LOAD = 1;
/** A leader is removed below this share of the remaining leaders' capacity. */
const REMOVE_BELOW_LOAD = 0.5;

/**
 * Decides how many leaders a zone needs. The gap between the two thresholds is
 * a hysteresis, so that callers move as little as possible.
 *
 * @param current - number of leaders so far
 * @param requestsPerSecond - load of the zone
 * @param cores - processor cores of the zone's VMs, the first leader first
 * @returns the number of leaders, at least 1
 */
export function decideLeaderCount(
  current: number,
  requestsPerSecond: number,
  cores: readonly number[],
): number {
  let count = Math.max(1, Math.min(current, cores.length));
  while (
    count < cores.length &&
    requestsPerSecond > ADD_ABOVE_LOAD * sumCapacity(cores, count)
  ) {
    count += 1;
  }
  while (
    count > 1 &&
    requestsPerSecond < REMOVE_BELOW_LOAD * sumCapacity(cores, count - 1)
  ) {
    count -= 1;
  }
  return count;
}

function sumCapacity(cores: readonly number[], count: number): number {
  return cores.slice(0, count).reduce(
    (sum, share) => sum + share * REQUESTS_PER_SECOND_PER_CORE,
    0,
  );
}
