/** Clock backed by the operating system. */

import { Clock } from "@limpetford/core/time/clock";

/**
 * Reads the monotonic and wall clocks of the system, in milliseconds.
 */
export class SystemClock extends Clock {
  override readMonotonicMs(): number {
    return performance.now();
  }

  override readWallMs(): number {
    return Date.now();
  }
}
