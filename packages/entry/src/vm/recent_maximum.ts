/** Keeps the largest recent value of a measurement. */

import type { Clock } from "@limpetford/core/time/clock";

/** Period over which the maximum is kept. */
const WINDOW_MS = 1_000;

/** Largest value that was recorded within the last one to two seconds. */
export class RecentMaximum {
  readonly #clock: Clock;
  #windowStartedAtMs: number;
  #inWindow = 0;
  #before = 0;

  /**
   * Starts without a value.
   *
   * @param clock - decides which values are recent
   */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#windowStartedAtMs = clock.readMonotonicMs();
  }

  /**
   * Reads the largest recent value.
   *
   * @returns the value; 0 if none was recorded
   */
  read(): number {
    this.#advanceWindow();
    return Math.max(this.#inWindow, this.#before);
  }

  /**
   * Records a value.
   *
   * @param value - a value; negative ones have no effect
   */
  record(value: number): void {
    this.#advanceWindow();
    this.#inWindow = Math.max(this.#inWindow, value);
  }

  #advanceWindow(): void {
    const nowMs = this.#clock.readMonotonicMs();
    const passedMs = nowMs - this.#windowStartedAtMs;
    if (passedMs < WINDOW_MS) {
      return;
    }
    this.#before = passedMs < 2 * WINDOW_MS ? this.#inWindow : 0;
    this.#inWindow = 0;
    this.#windowStartedAtMs = nowMs;
  }
}
