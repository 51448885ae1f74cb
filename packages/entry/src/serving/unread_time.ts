/** Bounds for how long what is read next from a connection has lain unread. */

import type { Clock } from "@limpetford/core/time/clock";

import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";

/** Time without a read in which whatever the other side has sent arrives. */
const QUIET_MS = 200;

/** Dependencies of an {@link UnreadTime}. */
export interface UnreadTimeOptions {
  readonly clock: Clock;
  /** How far the event loop is behind; it never is if absent. */
  readonly loop?: Pick<EventLoopMonitor, "likelyUnreadMs"> | undefined;
}

/**
 * Follows the reads of one connection. They fall behind what is sent by the time for
 * which they are held back for a slow receiver and for which the process stands
 * still or is busy. They have caught up once the connection is quiet.
 */
export class UnreadTime {
  readonly #options: UnreadTimeOptions;
  /** Length of all holds since the connection was quiet. */
  #heldMs = 0;
  #heldSinceMs: number | undefined;
  /** Longest delay of a read since then. */
  #delayMs = 0;
  /** Time of the last read or of the end of the last hold. */
  #activeAtMs: number;

  /**
   * Begins with a connection of which everything has been read.
   *
   * @param sinceMs - monotonic time of the beginning, in milliseconds
   * @param options - clock, and delay of the event loop
   */
  constructor(sinceMs: number, options: UnreadTimeOptions) {
    this.#options = options;
    this.#activeAtMs = sinceMs;
  }

  /**
   * Longest time for which what is read now may have lain unread.
   *
   * @returns milliseconds, the present hold included
   */
  get unreadMs(): number {
    const sinceMs = this.#heldSinceMs;
    const heldMs = sinceMs === undefined ? 0 : this.#readMs() - sinceMs;
    return this.#heldMs + heldMs + this.#delayMs;
  }

  /** Observes that bytes or the end were read. */
  observeRead(): void {
    const nowMs = this.#readMs();
    const sinceActiveMs = nowMs - this.#activeAtMs;
    const loopDelayMs = this.#options.loop?.likelyUnreadMs ?? 0;
    const isHeld = this.#heldSinceMs !== undefined;
    if (!isHeld && sinceActiveMs - loopDelayMs >= QUIET_MS) {
      this.#heldMs = 0;
      this.#delayMs = 0;
    }
    const delayMs = Math.min(loopDelayMs, sinceActiveMs);
    this.#delayMs = Math.max(this.#delayMs, delayMs);
    this.#activeAtMs = nowMs;
  }

  /** Observes that reads are held back from now on. */
  observeHold(): void {
    this.#heldSinceMs ??= this.#readMs();
  }

  /** Observes that reads go on. */
  observeResume(): void {
    const nowMs = this.#readMs();
    this.#heldMs += nowMs - (this.#heldSinceMs ?? nowMs);
    this.#heldSinceMs = undefined;
    this.#activeAtMs = nowMs;
  }

  #readMs(): number {
    return this.#options.clock.readMonotonicMs();
  }
}
