/** Clock that is injected into all logic that depends on time. */

/**
 * Source of time. The core package reads time only from here, so that tests and
 * simulations can run in virtual time.
 */
export abstract class Clock {
  /**
   * Reads the monotonic clock.
   *
   * @returns milliseconds since an arbitrary start; never decreases
   */
  abstract readMonotonicMs(): number;

  /**
   * Reads the wall clock, which may jump forward or back.
   *
   * @returns milliseconds since the Unix epoch
   */
  abstract readWallMs(): number;
}
