/** Timers of the Node.js event loop. */

import { Timers } from "@limpetford/core/time/timers";

/**
 * Schedules callbacks with `setTimeout`.
 */
export class SystemTimers extends Timers {
  override schedule(delayMs: number, run: () => void): () => void {
    const timer = setTimeout(run, delayMs);
    return () => {
      clearTimeout(timer);
    };
  }
}
