/** What the head of an answer says about its backend server. */

import { REQUEST_OUTCOME } from "@limpetford/domain/request_outcome";

import type { ResponseHead } from "../serving/backend_attempt.ts";
import { HEADER } from "./header_names.ts";
import type { ResponseClassification } from "./serving_dialect.ts";

const STATUS_SERVICE_UNAVAILABLE = 503;
const FIRST_FAILED_STATUS = 500;

/**
 * Decides what an answer counts as. A 503 that says when to come back is a refusal of load.
 *
 * @param head - head of the answer
 * @returns the outcome that the router counts
 */
export function decideOutcome(
  head: ResponseHead,
): ResponseClassification["outcome"] {
  if (head.status < FIRST_FAILED_STATUS) {
    return "served";
  }
  const isShed = head.status === STATUS_SERVICE_UNAVAILABLE &&
    (head.headers["retry-after"] !== undefined || isCertainlyNotRun(head));
  return isShed ? "shed" : "failed";
}

/**
 * Checks whether the backend server says that it did not run the request. A
 * plain 503 does not say so.
 *
 * @param head - head of the answer
 * @returns true if it says so in as many words
 */
export function isCertainlyNotRun(head: ResponseHead): boolean {
  return head.status === STATUS_SERVICE_UNAVAILABLE &&
    head.headers[HEADER.outcome] === REQUEST_OUTCOME.notRun;
}
