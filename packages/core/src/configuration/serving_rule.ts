/** Decides whether a VM may serve requests with the configuration it knows. */

/**
 * Age of the newest read of the log up to which a VM serves, in milliseconds.
 */
export const LOG_AGE_LIMIT_MS = 8_000;
/**
 * Time without a message from any other VM up to which a VM serves while its
 * last read of the log is older than {@link LOG_AGE_LIMIT_MS}, in milliseconds.
 */
export const SILENCE_LIMIT_MS = 4_000;

/** Connectivity of a VM to the log and to the other VMs. */
export interface Connectivity {
  /**
   * Time in milliseconds since the newest read of the log whose contents this
   * VM knows.
   */
  readonly logAgeMs: number;
  /** Time in milliseconds since the last message from any other VM. */
  readonly silenceMs: number;
  /** Number of VMs of the fleet, this one included. */
  readonly memberCount: number;
  /** Number of VMs not suspected to have failed, this one included. */
  readonly reachableCount: number;
}

/**
 * Checks whether a VM may serve, which requires that withdrawals of keys can
 * still reach it. They come from the log or, during an outage of the log, from
 * a majority of the fleet. A partitioned minority cannot tell an outage of the
 * log from its own partition and stops serving.
 *
 * @param connectivity - connectivity of the VM
 * @returns true if withdrawals can reach the VM
 */
export function mayServe(connectivity: Connectivity): boolean {
  const { logAgeMs, silenceMs, memberCount, reachableCount } = connectivity;
  if (logAgeMs <= LOG_AGE_LIMIT_MS) {
    return true;
  }
  const isAlone = memberCount <= 1;
  return isAlone ||
    (silenceMs <= SILENCE_LIMIT_MS && reachableCount * 2 > memberCount);
}
