/** Estimates how many bytes the requests of a route move. */

import type { RouteId } from "@limpetford/domain/ids";

/** Weight of a new sample in the moving averages. */
const SMOOTHING = 0.05;
/** Size of the heads of request and response, and of packet headers. */
const HEADER_BYTES = 700;
/** Estimate of a response's body for a route without samples. */
const INITIAL_BODY_BYTES = 600;

/** Keeps an exponential moving average of each route's response size. */
export class RouteSizeEstimator {
  readonly #bodyBytes = new Map<RouteId, number>();

  /**
   * Adds the size of a complete response to the average.
   *
   * @param route - the request's route
   * @param bodyBytes - size of the response's body
   */
  recordResponse(route: RouteId, bodyBytes: number): void {
    const average = this.#bodyBytes.get(route) ?? bodyBytes;
    this.#bodyBytes.set(route, average + SMOOTHING * (bodyBytes - average));
  }

  /**
   * Estimates what the next request moves to a server and back.
   *
   * @param route - the request's route
   * @returns bytes, heads included
   */
  estimateBytes(route: RouteId): number {
    return HEADER_BYTES + (this.#bodyBytes.get(route) ?? INITIAL_BODY_BYTES);
  }
}
