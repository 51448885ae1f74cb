/** Longest recent durations of the requests of each route. */

import type { RouteId } from "@limpetford/domain/ids";

/** Durations are kept for this time at least, and twice this at most. */
const WINDOW_MS = 10_000;
/** With fewer recent requests, the longest of them says little. */
const MIN_REQUESTS = 10;

interface Window {
  readonly startedAtMs: number;
  readonly count: number;
  readonly longestMs: number;
}

interface Windows {
  readonly current: Window;
  readonly before: Window | undefined;
}

/** Keeps the longest duration of each route over a sliding window. */
export class LongestDurations {
  readonly #windows = new Map<RouteId, Windows>();

  /**
   * Records the duration of a request that a server has answered.
   *
   * @param route - the request's route
   * @param durationMs - time from dispatch to the end of the response
   * @param nowMs - monotonic time, in milliseconds
   */
  record(route: RouteId, durationMs: number, nowMs: number): void {
    const { current, before } = this.#advance(route, nowMs);
    this.#windows.set(route, {
      current: {
        ...current,
        count: current.count + 1,
        longestMs: Math.max(current.longestMs, durationMs),
      },
      before,
    });
  }

  /**
   * Finds the longest recent duration.
   *
   * @param route - the route
   * @param nowMs - monotonic time, in milliseconds
   * @returns milliseconds; undefined if too few requests ended recently
   */
  find(route: RouteId, nowMs: number): number | undefined {
    const { current, before } = this.#advance(route, nowMs);
    const count = current.count + (before?.count ?? 0);
    return count < MIN_REQUESTS
      ? undefined
      : Math.max(current.longestMs, before?.longestMs ?? 0);
  }

  #advance(route: RouteId, nowMs: number): Windows {
    const empty = { startedAtMs: nowMs, count: 0, longestMs: 0 };
    const known = this.#windows.get(route);
    if (known === undefined) {
      return { current: empty, before: undefined };
    }
    const ageMs = nowMs - known.current.startedAtMs;
    if (ageMs < WINDOW_MS) {
      return known;
    }
    return {
      current: empty,
      before: ageMs < 2 * WINDOW_MS ? known.current : undefined,
    };
  }
}
