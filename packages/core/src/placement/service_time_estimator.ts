/** Estimates the service time of requests at a healthy backend server. */

import type { RouteId } from "@limpetford/domain/ids";

/** Weight of a new sample in the moving averages. */
const SMOOTHING = 0.05;
/** Estimate for a route without samples. */
const INITIAL_ESTIMATE_MS = 200;
/** Longer samples count as this multiple of the estimate. */
const MAX_SAMPLE_FACTOR = 4;
/** Mean deviations above the average within which nearly all requests end. */
const LONG_DEVIATIONS = 4;

interface ServiceTime {
  readonly averageMs: number;
  readonly deviationMs: number;
}

const INITIAL: ServiceTime = {
  averageMs: INITIAL_ESTIMATE_MS,
  deviationMs: 0,
};

/**
 * Keeps exponential moving averages of each route's service time and of its mean
 * deviation, as retransmission timers do (RFC 6298).
 */
export class ServiceTimeEstimator {
  readonly #times = new Map<RouteId, ServiceTime>();

  /**
   * Adds the duration of a served request to the averages.
   *
   * @param route - the request's route
   * @param durationMs - time from dispatch to the end of the response
   */
  recordDuration(route: RouteId, durationMs: number): void {
    const { averageMs, deviationMs } = this.#find(route);
    const sample = Math.min(durationMs, averageMs * MAX_SAMPLE_FACTOR);
    const error = sample - averageMs;
    this.#times.set(route, {
      averageMs: averageMs + SMOOTHING * error,
      deviationMs: deviationMs + SMOOTHING * (Math.abs(error) - deviationMs),
    });
  }

  /**
   * Estimates the service time of the next request.
   *
   * @param route - the request's route
   * @returns milliseconds from dispatch to the end of the response
   */
  estimateMs(route: RouteId): number {
    return this.#find(route).averageMs;
  }

  /**
   * Estimates a service time that few requests exceed.
   *
   * @param route - the request's route
   * @returns milliseconds from dispatch to the end of the response
   */
  estimateLongMs(route: RouteId): number {
    const { averageMs, deviationMs } = this.#find(route);
    return averageMs + LONG_DEVIATIONS * deviationMs;
  }

  #find(route: RouteId): ServiceTime {
    return this.#times.get(route) ?? INITIAL;
  }
}
