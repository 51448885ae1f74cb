/** Clock of the operating system. */

import { Clock } from "@limpetford/core/time/clock";

/**
 * Reads the monotonic clock and the wall clock of the operating system.
 */
export class SystemClock extends Clock {
  override readMonotonicMs(): number {
    return performance.now();
  }

  override readWallMs(): number {
    return Date.now();
  }
}
