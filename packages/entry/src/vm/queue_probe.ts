/** A connection of this VM to itself, which is accepted in its turn. */

import type { Duplex } from "node:stream";

/**
 * Waits in the queue of the operating system among the connections of callers. What
 * is accepted before it had arrived before it, and what is accepted later came later.
 */
export abstract class QueueProbe {
  /**
   * When it was certain to be in the queue.
   *
   * @returns monotonic milliseconds; undefined while it is not known to be
   */
  abstract get queuedAtMs(): number | undefined;

  /**
   * Whether it will not be accepted any more.
   *
   * @returns true after it was refused, closed or lost
   */
  abstract get isClosed(): boolean;

  /**
   * Checks whether an accepted connection is the other end of this one.
   *
   * @param socket - connection that was accepted
   * @returns true if it is
   */
  abstract isOtherEnd(socket: Duplex): boolean;

  /** Closes it. */
  abstract close(): void;
}
