/** Scales the number of a zone's leaders with its load. */

/** Requests per second that one core serves without overload. */
export const REQUESTS_PER_SECOND_PER_CORE = 300;
/** A leader is added above this share of the leaders' capacity. */
const ADD_ABOVE_LOAD = 1;
/** A leader is removed below this share of the remaining leaders' capacity. */
const REMOVE_BELOW_LOAD = 0.5;

/** Delay from which a leader gets more requests than its processor bears. */
const OVERLOADED_DELAY_MS = 100;
/**
 * Share of a leader's capacity below which its delay has other causes, unless
 * connections wait for it.
 */
const MIN_OVERLOADED_SHARE = 1 / 3;
/** Load of an overloaded leader, as a share of its capacity. */
const OVERLOADED_SHARE = 1.1;

/** What a leader knows of its own load. */
export interface LeaderLoad {
  readonly requestsPerSecond: number;
  /** Processor cores, also fractions of one. */
  readonly cores: number;
  /** Longest recent delay of timers and requests, in milliseconds. */
  readonly delayMs: number;
  /** Longest recent wait of connections for others, in milliseconds. */
  readonly queueMs: number;
}

/**
 * Checks whether a leader is behind because of its requests. Those that it has not
 * read yet do not count in their rate.
 *
 * @param load - rate of its requests, its size and its delays
 * @returns false if it is in time, or gets too few requests to be their fault
 */
export function isLeaderOverloaded(
  { requestsPerSecond, cores, delayMs, queueMs }: LeaderLoad,
): boolean {
  const minimum = MIN_OVERLOADED_SHARE * cores * REQUESTS_PER_SECOND_PER_CORE;
  return queueMs > OVERLOADED_DELAY_MS ||
    (delayMs > OVERLOADED_DELAY_MS && requestsPerSecond > minimum);
}

/**
 * Estimates the load of a leader. One that is overloaded has reached its capacity,
 * however few requests it gets.
 *
 * @param load - rate of its requests, its size and its delays
 * @returns requests per second
 */
export function estimateLeaderLoad(load: LeaderLoad): number {
  const { requestsPerSecond, cores } = load;
  const capacity = cores * REQUESTS_PER_SECOND_PER_CORE;
  return isLeaderOverloaded(load)
    ? Math.max(requestsPerSecond, OVERLOADED_SHARE * capacity)
    : requestsPerSecond;
}

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
