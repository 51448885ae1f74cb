/** Estimates the service time of requests at a healthy backend server. */

import type { RouteId } from "@limpetford/domain/ids";

/** Weight of a new sample in the moving average. */
const SMOOTHING = 0.05;
/** Estimate for a route without samples. */
const INITIAL_ESTIMATE_MS = 200;
/** Longer samples count as this multiple of the estimate. */
const MAX_SAMPLE_FACTOR = 4;

/** Keeps an exponential moving average of the service time of each route. */
export class ServiceTimeEstimator {
  readonly #averages = new Map<RouteId, number>();

  /**
   * Adds the duration of a served request to the average.
   *
   * @param route - the request's route
   * @param durationMs - time from dispatch to the end of the response
   */
  recordDuration(route: RouteId, durationMs: number): void {
    const before = this.estimateMs(route);
    const sample = Math.min(durationMs, before * MAX_SAMPLE_FACTOR);
    this.#averages.set(route, before + SMOOTHING * (sample - before));
  }

  /**
   * Estimates the service time of the next request.
   *
   * @param route - the request's route
   * @returns milliseconds from dispatch to the end of the response
   */
  estimateMs(route: RouteId): number {
    return this.#averages.get(route) ?? INITIAL_ESTIMATE_MS;
  }
}
