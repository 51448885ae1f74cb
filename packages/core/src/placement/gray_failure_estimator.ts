/** How likely a backend server fails its next request. */

/** Share of requests that fail at a server that is well. */
const FAILURE_RATE_WELL = 0.015;
/** Share of requests that fail at a server that turned gray. */
const FAILURE_RATE_GRAY = 0.7;
/** Time in which a belief without evidence falls back by a factor of e. */
const FORGETTING_MS = 4_000;
const LEAST_PROBABILITY = 0.002;
const MOST_PROBABILITY = 0.998;

/** Evidence of one request. */
export const EVIDENCE = {
  success: "success",
  failure: "failure",
} as const;
/** Evidence of one request. */
export type Evidence = typeof EVIDENCE[keyof typeof EVIDENCE];

/**
 * Two-state filter: a server is well or gray, and changes between the two
 * without notice. Evidence moves the belief by Bayes' rule; without evidence
 * it returns to the share of gray servers of its service.
 */
export class ServerBelief {
  #probability: number;
  #updatedAtMs: number;
  #lastEvidenceAtMs: number;

  /**
   * Starts with the service's share.
   *
   * @param grayShare - share of the service's servers that are gray
   * @param nowMs - monotonic time
   */
  constructor(grayShare: number, nowMs: number) {
    this.#probability = grayShare;
    this.#updatedAtMs = nowMs;
    this.#lastEvidenceAtMs = nowMs;
  }

  /**
   * Monotonic time of the last evidence, in milliseconds.
   *
   * @returns the current value
   */
  get lastEvidenceAtMs(): number {
    return this.#lastEvidenceAtMs;
  }

  /**
   * Takes in how one request ended.
   *
   * @param evidence - how it ended
   * @param grayShare - share of the service's servers that are gray
   * @param nowMs - monotonic time
   */
  recordEvidence(evidence: Evidence, grayShare: number, nowMs: number): void {
    const before = this.estimateGray(grayShare, nowMs);
    const isFailure = evidence === EVIDENCE.failure;
    const ifGray = isFailure ? FAILURE_RATE_GRAY : 1 - FAILURE_RATE_GRAY;
    const ifWell = isFailure ? FAILURE_RATE_WELL : 1 - FAILURE_RATE_WELL;
    const gray = before * ifGray;
    const after = gray / (gray + (1 - before) * ifWell);
    this.#probability = toProbability(after);
    this.#updatedAtMs = nowMs;
    this.#lastEvidenceAtMs = nowMs;
  }

  /**
   * Estimates the probability that the server is gray.
   *
   * @param grayShare - share of the service's servers that are gray
   * @param nowMs - monotonic time
   * @returns from 0 to 1
   */
  estimateGray(grayShare: number, nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.#updatedAtMs);
    const kept = Math.exp(-ageMs / FORGETTING_MS);
    return grayShare + (this.#probability - grayShare) * kept;
  }

  /**
   * Estimates the probability that the next request fails.
   *
   * @param grayShare - share of the service's servers that are gray
   * @param nowMs - monotonic time
   * @returns from 0 to 1
   */
  estimateFailure(grayShare: number, nowMs: number): number {
    const gray = this.estimateGray(grayShare, nowMs);
    return gray * FAILURE_RATE_GRAY + (1 - gray) * FAILURE_RATE_WELL;
  }
}

function toProbability(value: number): number {
  return Math.min(MOST_PROBABILITY, Math.max(LEAST_PROBABILITY, value));
}
