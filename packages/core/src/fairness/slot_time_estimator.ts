/** Estimates how long the requests of a team on a route occupy a slot. */

import type { RouteId, TeamId } from "@limpetford/domain/ids";

/** Weight of a new sample in the moving average. */
const SMOOTHING = 0.1;
/** Estimate for a team and route without samples. */
const INITIAL_ESTIMATE_MS = 25;

/**
 * Keeps an exponential moving average of slot time for each team and route.
 */
export class SlotTimeEstimator {
  readonly #averages = new Map<string, number>();

  /**
   * Adds the slot time of a completed request to the average.
   *
   * @param key - team and route of the request
   * @param slotMs - time for which the request held its slot, in milliseconds
   */
  record(
    key: { readonly team: TeamId | undefined; readonly route: RouteId },
    slotMs: number,
  ): void {
    const name = `${key.team ?? ""}|${key.route}`;
    const before = this.#averages.get(name) ?? INITIAL_ESTIMATE_MS;
    this.#averages.set(name, before + SMOOTHING * (slotMs - before));
  }

  /**
   * Estimates the slot time of the next request.
   *
   * @param team - the team; undefined for a route that needs no team
   * @param route - route that the request matched
   * @returns expected slot time, in milliseconds
   */
  estimateMs(team: TeamId | undefined, route: RouteId): number {
    return this.#averages.get(`${team ?? ""}|${route}`) ?? INITIAL_ESTIMATE_MS;
  }
}
