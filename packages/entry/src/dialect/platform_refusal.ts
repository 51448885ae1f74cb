/** Builds the platform's responses to refused requests. */

import type { RandomSource } from "@limpetford/core/time/random_source";
import { REQUEST_OUTCOME } from "@limpetford/domain/request_outcome";
import { buildRetryAfter } from "@limpetford/platform/store/http_headers";

import type { Refusal } from "../serving/refusal.ts";
import { buildProblemResponse } from "./problem_response.ts";

const STATUS_BAD_GATEWAY = 502;
/** Retry delays are lengthened at random by up to this share. */
const RETRY_JITTER_SHARE = 0.5;
/** Statuses that guarantee that the request did not run and never will. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  408,
  421,
  429,
  503,
]);

/** A response to a refused request. */
export interface RefusalResponse {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: string;
}

/**
 * Builds the response to a refused request.
 *
 * @param refusal - why no backend server's response is returned
 * @param random - source of the jitter of retry delays
 * @returns a new response, without what depends on its connection
 */
export function buildRefusalResponse(
  refusal: Refusal,
  random: RandomSource,
): RefusalResponse {
  const problem = buildProblemResponse(refusal);
  const isStatusAccurate = refusal.outcome === REQUEST_OUTCOME.notRun ||
    !NOT_RUN_STATUSES.has(problem.status);
  const status = isStatusAccurate ? problem.status : STATUS_BAD_GATEWAY;
  const body = JSON.stringify({
    error: refusal.kind,
    detail: problem.detail,
  });
  const headers = [
    "content-type",
    "application/json",
    "content-length",
    String(Buffer.byteLength(body)),
  ];
  if (problem.retryAfterMs !== undefined && NOT_RUN_STATUSES.has(status)) {
    const jitterFactor = 1 + RETRY_JITTER_SHARE * random.sampleUniform();
    headers.push(...buildRetryAfter(problem.retryAfterMs * jitterFactor));
  }
  return { status, headers, body };
}
