/** Histogram of observations with exponential decay. */

import type { Observation, ObservationMix } from "./observation.ts";
import { HEALTHY_MIX } from "./observation.ts";

// Pseudo-observations of the healthy mix that every estimate contains.
const PRIOR_WEIGHT_OBSERVATIONS = 2;

/**
 * Counts observations per class. The counts decay exponentially with time.
 */
export class DecayingHistogram {
  readonly #counts: [number, number, number, number] = [0, 0, 0, 0];
  #updatedAtMs = 0;
  #timeConstantMs: number;

  /**
   * Creates an empty histogram.
   *
   * @param timeConstantMs - time in which counts fall to 1/e, in milliseconds
   */
  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  /**
   * Sets the decay rate that applies from the next update on.
   *
   * @param timeConstantMs - time in which counts fall to 1/e, in milliseconds
   */
  setTimeConstant(timeConstantMs: number): void {
    this.#timeConstantMs = timeConstantMs;
  }

  /**
   * Adds observations of one class, after decaying the earlier ones.
   *
   * @param observation - class of the observations
   * @param count - number of observations
   * @param nowMs - monotonic time in milliseconds
   */
  add(observation: Observation, count: number, nowMs: number): void {
    this.advance(nowMs);
    this.#counts[observation] += count;
  }

  /**
   * Decays the counts to the given time.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  advance(nowMs: number): void {
    const ageMs = nowMs - this.#updatedAtMs;
    if (ageMs <= 0) {
      return;
    }
    const factor = Math.exp(-ageMs / this.#timeConstantMs);
    this.#counts[0] *= factor;
    this.#counts[1] *= factor;
    this.#counts[2] *= factor;
    this.#counts[3] *= factor;
    this.#updatedAtMs = nowMs;
  }

  /**
   * Sums the decayed counts of all classes.
   *
   * @returns number of observations, usually fractional
   */
  countAll(): number {
    const [fast, slow, verySlow, bad] = this.#counts;
    return fast + slow + verySlow + bad;
  }

  /**
   * Estimates the probability of a class. With few observations the estimate
   * is close to that of a healthy server.
   *
   * @param observation - class to estimate
   * @returns probability, above 0 and below 1
   */
  estimateShare(observation: Observation): number {
    const prior = HEALTHY_MIX[observation] * PRIOR_WEIGHT_OBSERVATIONS;
    const count = this.#counts[observation] + prior;
    return count / (this.countAll() + PRIOR_WEIGHT_OBSERVATIONS);
  }

  /**
   * Estimates the probabilities of all classes.
   *
   * @returns probability of each class, from fast to bad; their sum is 1
   */
  estimateMix(): ObservationMix {
    return [
      this.estimateShare(0),
      this.estimateShare(1),
      this.estimateShare(2),
      this.estimateShare(3),
    ];
  }
}
