/** Timers that are injected into background tasks. */

/**
 * Schedules callbacks. A fake clock implements it in virtual time.
 */
export abstract class Timers {
  /**
   * Schedules a callback.
   *
   * @param delayMs - milliseconds from now
   * @param run - called once when the timer is due
   * @returns a function that cancels the timer
   */
  abstract schedule(delayMs: number, run: () => void): () => void;
}

/**
 * Calls a function periodically, first after one interval.
 *
 * @param timers - schedules the calls
 * @param intervalMs - milliseconds between two calls
 * @param run - called at each interval
 * @returns a function that cancels further calls
 */
export function scheduleRepeatedly(
  timers: Timers,
  intervalMs: number,
  run: () => void,
): () => void {
  let cancel = timers.schedule(intervalMs, runOnce);
  function runOnce(): void {
    cancel = timers.schedule(intervalMs, runOnce);
    run();
  }
  return () => {
    cancel();
  };
}

/**
 * Waits for a delay.
 *
 * @param timers - schedules the end of the wait
 * @param delayMs - milliseconds from now
 */
export async function waitFor(timers: Timers, delayMs: number): Promise<void> {
  await new Promise<void>((resolve) => {
    timers.schedule(delayMs, resolve);
  });
}
