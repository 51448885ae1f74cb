/** Estimates the probability that a backend server is in gray failure. */

/** Probability that a request fails at a healthy server. */
const FAILURE_RATE_HEALTHY = 0.015;
/** Probability that a request fails at a server in gray failure. */
const FAILURE_RATE_GRAY = 0.7;
/** Time constant with which an estimate decays to the prior. */
const DECAY_MS = 4_000;
/** Bounds that keep the estimate from becoming certain. */
const MIN_PROBABILITY = 0.002;
const MAX_PROBABILITY = 0.998;

/** Outcomes of a request that count for or against a server. */
export const EVIDENCE = {
  success: "success",
  failure: "failure",
} as const;
/** Outcome of a request that counts for or against a server. */
export type Evidence = typeof EVIDENCE[keyof typeof EVIDENCE];

/**
 * Bayes filter with two hidden states: a server is healthy or in gray failure,
 * and may change state at any time. Each request outcome updates the estimate
 * by Bayes' rule; without outcomes it decays to the prior, which is the share
 * of the service's servers in gray failure.
 */
export class GrayFailureEstimator {
  #probability: number;
  #updatedAtMs: number;
  #lastEvidenceAtMs: number;

  /**
   * Starts with the prior.
   *
   * @param grayShare - share of the service's servers in gray failure, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   */
  constructor(grayShare: number, nowMs: number) {
    this.#probability = grayShare;
    this.#updatedAtMs = nowMs;
    this.#lastEvidenceAtMs = nowMs;
  }

  /**
   * Monotonic time of the latest outcome.
   *
   * @returns milliseconds; the time of creation before the first outcome
   */
  get lastEvidenceAtMs(): number {
    return this.#lastEvidenceAtMs;
  }

  /**
   * Updates the estimate with the outcome of a request.
   *
   * @param evidence - success or failure
   * @param grayShare - share of the service's servers in gray failure, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   */
  recordEvidence(evidence: Evidence, grayShare: number, nowMs: number): void {
    const prior = this.estimateGrayProbability(grayShare, nowMs);
    const isFailure = evidence === EVIDENCE.failure;
    const likelihoodIfGray = isFailure
      ? FAILURE_RATE_GRAY
      : 1 - FAILURE_RATE_GRAY;
    const likelihoodIfHealthy = isFailure
      ? FAILURE_RATE_HEALTHY
      : 1 - FAILURE_RATE_HEALTHY;
    const gray = prior * likelihoodIfGray;
    const posterior = gray / (gray + (1 - prior) * likelihoodIfHealthy);
    this.#probability = toBoundedProbability(posterior);
    this.#updatedAtMs = nowMs;
    this.#lastEvidenceAtMs = nowMs;
  }

  /**
   * Estimates the probability that the server is in gray failure.
   *
   * @param grayShare - share of the service's servers in gray failure, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   * @returns a probability from 0 to 1
   */
  estimateGrayProbability(grayShare: number, nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.#updatedAtMs);
    const decay = Math.exp(-ageMs / DECAY_MS);
    return grayShare + (this.#probability - grayShare) * decay;
  }

  /**
   * Estimates the probability that the next request fails.
   *
   * @param grayShare - share of the service's servers in gray failure, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   * @returns a probability from 0 to 1
   */
  estimateFailureProbability(grayShare: number, nowMs: number): number {
    const gray = this.estimateGrayProbability(grayShare, nowMs);
    return gray * FAILURE_RATE_GRAY + (1 - gray) * FAILURE_RATE_HEALTHY;
  }
}

function toBoundedProbability(value: number): number {
  return Math.min(MAX_PROBABILITY, Math.max(MIN_PROBABILITY, value));
}
