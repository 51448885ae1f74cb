/** Measures which share of a service's requests is not served. */

import type { AttemptOutcome } from "../evidence/attempt_sample.ts";
import type { PlacementDemand } from "./placement_demand.ts";

/** Time constant of the moving average. */
const WINDOW_MS = 2_000;
/** Fewer recent requests say nothing. */
const MIN_REQUESTS = 5;

/** Moving average over this VM's requests, by an exponential window. */
export class UnservedMeter {
  #requests = 0;
  #unserved = 0;
  #updatedAtMs = 0;

  /**
   * Records the end of an attempt, unless the request can be sent again or its
   * caller has left.
   *
   * @param demand - the request
   * @param outcome - how the attempt ended
   * @param nowMs - monotonic time, in milliseconds
   */
  recordAttempt(
    demand: PlacementDemand,
    outcome: AttemptOutcome,
    nowMs: number,
  ): void {
    const hasNotRun = outcome === "shed" || outcome === "connect-failed";
    const mayBeSentAgain = demand.mayRetry &&
      (demand.isIdempotent || hasNotRun);
    if (outcome === "served") {
      this.#record(true, nowMs);
    } else if (outcome !== "cancelled" && !mayBeSentAgain) {
      this.#record(false, nowMs);
    }
  }

  /**
   * Records a request that was refused.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  recordRefused(nowMs: number): void {
    this.#record(false, nowMs);
  }

  /**
   * Reads the share of recent requests that were not served.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns from 0 to 1; 0 while there were too few requests
   */
  readShare(nowMs: number): number {
    this.#expireOld(nowMs);
    return this.#requests < MIN_REQUESTS ? 0 : this.#unserved / this.#requests;
  }

  #record(isServed: boolean, nowMs: number): void {
    this.#expireOld(nowMs);
    this.#requests += 1;
    this.#unserved += isServed ? 0 : 1;
  }

  #expireOld(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.#updatedAtMs) / WINDOW_MS);
    this.#requests *= factor;
    this.#unserved *= factor;
    this.#updatedAtMs = nowMs;
  }
}
