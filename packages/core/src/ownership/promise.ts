/**
 * Time-limited promises not to change the ownership of a shard. An unexpired
 * promise of the standby is the holder's lease on the shard.
 */

import { isSameIncarnation, type VmIncarnation } from "@limpetford/domain/vm";

/**
 * A promise between two VMs on one shard. Until it ends, the VM that made it
 * appends no ownership record for the shard, unless the other VM is gone.
 */
export interface ShardPromise {
  /** The VM that made the promise, or the one to which it was made. */
  readonly peer: VmIncarnation;
  /** End of the promise on this VM's monotonic clock, in milliseconds. */
  readonly untilMs: number;
}

/**
 * Largest drift assumed between two VMs' monotonic clocks, as a fraction of the
 * length of a promise.
 */
const CLOCK_DRIFT_SHARE = 0.01;

/**
 * Computes when a received promise ends. It is counted from before the request
 * was sent and shortened by the clock drift, so that it ends at this VM before
 * it ends at the VM that made it.
 *
 * @param sentAtMs - monotonic time in milliseconds before the request was sent
 * @param lengthMs - length of the promise in milliseconds
 * @returns the end on this VM's monotonic clock, in milliseconds
 */
export function computeReceivedEnd(sentAtMs: number, lengthMs: number): number {
  return sentAtMs + lengthMs * (1 - CLOCK_DRIFT_SHARE);
}

/**
 * Finds the end of the promise made to or by a peer.
 *
 * @param promises - promises that this VM has made, or those it has received
 * @param peer - the other VM
 * @returns monotonic time of the end in milliseconds; undefined if there is no
 * promise
 */
export function findPromiseEnd(
  promises: readonly ShardPromise[],
  peer: VmIncarnation,
): number | undefined {
  return promises.find((item) => isSameIncarnation(item.peer, peer))?.untilMs;
}

/**
 * Adds a promise. Of two promises with the same peer, the later end is kept.
 *
 * @param promises - promises so far; not modified
 * @param added - the new promise
 * @returns the promises, at most one per peer
 */
export function addPromise(
  promises: readonly ShardPromise[],
  added: ShardPromise,
): readonly ShardPromise[] {
  const known = findPromiseEnd(promises, added.peer);
  if (known !== undefined && known >= added.untilMs) {
    return promises;
  }
  const others = promises.filter(
    (item) => !isSameIncarnation(item.peer, added.peer),
  );
  return [...others, added];
}
