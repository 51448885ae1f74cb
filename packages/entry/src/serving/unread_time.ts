/** Bounds for how long what is read next from a connection has lain unread. */

import type { Clock } from "@limpetford/core/time/clock";

import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";

/** Turns of the event loop in which a connection with unread bytes brings some. */
const TURNS_OF_A_READ = 3;

/** Dependencies of an {@link UnreadTime}. */
export interface UnreadTimeOptions {
  readonly clock: Clock;
  /** How far the event loop is behind; it never is if absent. */
  readonly loop?: Pick<EventLoopMonitor, "likelyUnreadMs"> | undefined;
}

/**
 * Follows the reads of one connection. They fall behind what arrives if the process
 * stands still or is busy, and while they are held back for a slow receiver. They
 * have caught up when the connection is read and brings nothing more.
 */
export class UnreadTime {
  readonly #options: UnreadTimeOptions;
  #behindSinceMs: number | undefined;
  #isHeld = false;
  /** Number of reads, holds and resumes so far. */
  #changes = 0;

  /**
   * Begins with a connection of which everything has been read.
   *
   * @param options - clock, and delay of the event loop
   */
  constructor(options: UnreadTimeOptions) {
    this.#options = options;
  }

  /**
   * Moment since which bytes or an end that are read next may have lain unread.
   *
   * @returns monotonic time, in milliseconds; undefined if the reads have caught up
   */
  get behindSinceMs(): number | undefined {
    return this.#behindSinceMs;
  }

  /** Observes that bytes or the end were read. */
  observeRead(): void {
    const delayMs = this.#options.loop?.likelyUnreadMs ?? 0;
    if (delayMs > 0) {
      this.#markBehind(this.#options.clock.readMonotonicMs() - delayMs);
    }
    this.#changes += 1;
    this.#checkCaughtUp();
  }

  /** Observes that reads are held back from now on. */
  observeHold(): void {
    this.#isHeld = true;
    this.#changes += 1;
    this.#markBehind(this.#options.clock.readMonotonicMs());
  }

  /** Observes that reads go on. */
  observeResume(): void {
    this.#isHeld = false;
    this.#changes += 1;
    this.#checkCaughtUp();
  }

  #markBehind(sinceMs: number): void {
    this.#behindSinceMs = Math.min(this.#behindSinceMs ?? Infinity, sinceMs);
  }

  #checkCaughtUp(): void {
    if (this.#behindSinceMs !== undefined && !this.#isHeld) {
      this.#waitForTurns(TURNS_OF_A_READ, this.#changes);
    }
  }

  #waitForTurns(turns: number, changes: number): void {
    setImmediate(() => {
      if (this.#changes !== changes) {
        return;
      }
      if (turns > 1) {
        this.#waitForTurns(turns - 1, changes);
      } else {
        this.#behindSinceMs = undefined;
      }
    });
  }
}
