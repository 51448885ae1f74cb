/** Bounds how long the end of what a connection brings may have been on its way. */

import type { Clock } from "@limpetford/core/time/clock";

import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";

/** Time without a read after which all that the other side had sent has come. */
const QUIET_MS = 200;

/** Dependencies of a {@link ReadFlow}. */
export interface ReadFlowOptions {
  readonly clock: Clock;
  /** When the event loop stood still; it never did if absent. */
  readonly loop?: Pick<EventLoopMonitor, "findStallStart"> | undefined;
}

/**
 * Reads of one connection that follow one another. The other side may have ended at
 * any time since the first of them: its kernel goes on sending, this one receiving,
 * while reads are held back or the process stands still.
 */
export class ReadFlow {
  readonly #options: ReadFlowOptions;
  #isHeld = false;
  /** Time of the last read or of the end of the last hold. */
  #activeAtMs: number;
  #startedAtMs: number | undefined;

  /**
   * Begins with a connection of which everything has been read.
   *
   * @param sinceMs - monotonic time of the beginning, in milliseconds
   * @param options - clock, and the event loop
   */
  constructor(sinceMs: number, options: ReadFlowOptions) {
    this.#options = options;
    this.#activeAtMs = sinceMs;
  }

  /**
   * Time since the first of the reads that follow one another, or since it could
   * have been made if the process stood still.
   *
   * @returns milliseconds; 0 before a read
   */
  get durationMs(): number {
    const nowMs = this.#options.clock.readMonotonicMs();
    return nowMs - (this.#startedAtMs ?? nowMs);
  }

  /** Observes that bytes or the end were read. */
  observeRead(): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    const quietSinceMs = nowMs - QUIET_MS;
    const stalledAtMs = this.#options.loop?.findStallStart(quietSinceMs);
    const isQuiet = stalledAtMs === undefined && !this.#isHeld &&
      this.#activeAtMs <= quietSinceMs;
    if (this.#startedAtMs === undefined || isQuiet) {
      this.#startedAtMs = Math.max(stalledAtMs ?? nowMs, this.#activeAtMs);
    }
    this.#activeAtMs = nowMs;
  }

  /** Observes that reads are held back from now on. */
  observeHold(): void {
    this.#isHeld = true;
  }

  /** Observes that reads go on. */
  observeResume(): void {
    this.#isHeld = false;
    this.#activeAtMs = this.#options.clock.readMonotonicMs();
  }
}
