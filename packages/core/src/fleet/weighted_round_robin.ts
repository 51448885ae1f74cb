/** Splits requests between services by weighted round robin. */

import type { WeightedService } from "@limpetford/domain/host_route";
import type { ServiceId } from "@limpetford/domain/ids";

/**
 * Smooth weighted round robin: after any number of requests, each service has
 * received its share to within one request.
 */
export class WeightedRoundRobin {
  readonly #targets: readonly WeightedService[];
  readonly #credits: number[];
  readonly #totalWeight: number;

  /**
   * Starts with equal credits.
   *
   * @param targets - the services with their weights, at least one
   */
  constructor(targets: readonly WeightedService[]) {
    this.#targets = targets;
    this.#credits = targets.map(() => 0);
    this.#totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
  }

  /**
   * Chooses the service of the next request.
   *
   * @returns the service; undefined if there are no services
   */
  takeNext(): ServiceId | undefined {
    let best: number | undefined;
    for (const [index, target] of this.#targets.entries()) {
      const credit = (this.#credits[index] ?? 0) + target.weight;
      this.#credits[index] = credit;
      if (best === undefined || credit > (this.#credits[best] ?? 0)) {
        best = index;
      }
    }
    if (best === undefined) {
      return undefined;
    }
    this.#credits[best] = (this.#credits[best] ?? 0) - this.#totalWeight;
    return this.#targets[best]?.service;
  }
}
