/** Divides requests between services by weight. */

import type { WeightedService } from "@limpetford/domain/host_route";
import type { ServiceId } from "@limpetford/domain/ids";

/**
 * Smooth weighted rotation: after any number of requests, each service has had
 * its share to within one request.
 */
export class WeightedRoundRobin {
  readonly #targets: readonly WeightedService[];
  readonly #credits: number[];
  readonly #totalWeight: number;

  /**
   * Prepares a rotation.
   *
   * @param targets - the services with their weights; at least one
   */
  constructor(targets: readonly WeightedService[]) {
    this.#targets = targets;
    this.#credits = targets.map(() => 0);
    this.#totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
  }

  /**
   * Chooses the service of the next request.
   *
   * @returns the service, or undefined without one
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
