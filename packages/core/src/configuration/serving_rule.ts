/** Decides whether a VM may serve on the configuration that it knows. */

/** Age of the log's newest reading up to which a VM serves, in milliseconds. */
export const LOG_AGE_LIMIT_MS = 8_000;
/** Time without a message from any VM up to which a VM serves. */
export const SILENCE_LIMIT_MS = 4_000;

/** What a VM knows of its connection to the log and to the other VMs. */
export interface Connectivity {
  /** Age of the newest reading of the log that reached this VM. */
  readonly logAgeMs: number;
  /** Time since the last message from any other VM. */
  readonly silenceMs: number;
  /** Number of VMs of the fleet, this one included. */
  readonly memberCount: number;
  /** Number of those that are not suspected, this one included. */
  readonly reachableCount: number;
}

/**
 * Checks whether withdrawals can still reach a VM. They come from the log, or,
 * with the log away, from a majority of the fleet: a minority that is cut off
 * cannot tell an outage of the log from its own and stops serving.
 *
 * @param connectedness - what the VM knows
 * @returns true if it may serve
 */
export function mayServe(connectedness: Connectivity): boolean {
  const { logAgeMs, silenceMs, memberCount, reachableCount } = connectedness;
  if (logAgeMs <= LOG_AGE_LIMIT_MS) {
    return true;
  }
  const isAlone = memberCount <= 1;
  return isAlone ||
    (silenceMs <= SILENCE_LIMIT_MS && reachableCount * 2 > memberCount);
}
