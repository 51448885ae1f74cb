/** How many VMs of a zone take its callers. */

/** Requests per second that one core serves in comfort. */
export const REQUESTS_PER_CORE = 300;
/** Load above which another lead is added, as a part of the leads' capacity. */
const ADD_ABOVE = 1;
/** Load below which a lead is dropped, as a part of what the others carry. */
const DROP_BELOW = 0.5;

/**
 * Decides how many leads a zone needs. Between the two bounds the number stays,
 * so that callers move as little as possible.
 *
 * @param current - leads so far
 * @param requestsPerSecond - the zone's load
 * @param cores - processor share of the zone's VMs, in the order of leading
 * @returns at least 1
 */
export function decideLeaderCount(
  current: number,
  requestsPerSecond: number,
  cores: readonly number[],
): number {
  let count = Math.max(1, Math.min(current, cores.length));
  while (
    count < cores.length &&
    requestsPerSecond > ADD_ABOVE * sumCapacity(cores, count)
  ) {
    count += 1;
  }
  while (
    count > 1 &&
    requestsPerSecond < DROP_BELOW * sumCapacity(cores, count - 1)
  ) {
    count -= 1;
  }
  return count;
}

function sumCapacity(cores: readonly number[], count: number): number {
  return cores.slice(0, count).reduce(
    (sum, share) => sum + share * REQUESTS_PER_CORE,
    0,
  );
}
