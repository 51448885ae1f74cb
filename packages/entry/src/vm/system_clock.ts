/** Clock of the operating system. */

import { Clock } from "@limpetford/core/time/clock";

/**
 * Difference between the progress of both clocks that counts as a suspension of
 * the machine; smaller ones come from corrections of the wall clock.
 */
const MIN_SUSPENSION_MS = 200;

/** Sources that a {@link SystemClock} reads, in milliseconds. */
export interface ClockSources {
  /** Stands still while the machine is suspended. */
  readonly readSteadyMs: () => number;
  readonly readWallMs: () => number;
}

const SYSTEM_SOURCES: ClockSources = {
  readSteadyMs: () => performance.now(),
  readWallMs: () => Date.now(),
};

/**
 * Reads the clocks of the operating system. Its monotonic time includes the time
 * for which the machine was suspended, which it takes from the wall clock, so
 * that what has expired meanwhile is seen to have expired. A wall clock that is
 * set forward looks the same and lets things expire early; one that is set back
 * has no effect.
 */
export class SystemClock extends Clock {
  readonly #sources: ClockSources;
  #suspendedMs = 0;
  #steadyMs: number;
  #wallMs: number;

  /**
   * Creates a clock.
   *
   * @param sources - the system's clocks, or others in tests
   */
  constructor(sources: ClockSources = SYSTEM_SOURCES) {
    super();
    this.#sources = sources;
    this.#steadyMs = sources.readSteadyMs();
    this.#wallMs = sources.readWallMs();
  }

  override readMonotonicMs(): number {
    const steadyMs = this.#sources.readSteadyMs();
    const wallMs = this.#sources.readWallMs();
    const missingMs = (wallMs - this.#wallMs) - (steadyMs - this.#steadyMs);
    if (missingMs > MIN_SUSPENSION_MS) {
      this.#suspendedMs += missingMs;
    }
    this.#steadyMs = steadyMs;
    this.#wallMs = wallMs;
    return steadyMs + this.#suspendedMs;
  }

  override readWallMs(): number {
    return this.#sources.readWallMs();
  }
}
