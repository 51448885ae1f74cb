/** Classifies the response of a backend server by its status and headers. */

import { REQUEST_OUTCOME } from "@limpetford/domain/request_outcome";

import type { ResponseHead } from "../serving/attempt_listener.ts";
import { HEADER } from "./header_names.ts";
import type { ResponseClassification } from "./serving_dialect.ts";

const STATUS_SERVICE_UNAVAILABLE = 503;
const FIRST_FAILED_STATUS = 500;

/**
 * Decides the outcome of an attempt from its response. A 503 counts as load
 * shedding if it has a Retry-After header or says that the request did not run.
 *
 * @param head - status and headers of the response
 * @returns the outcome that is reported to the router
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
 * Checks whether the backend server states that it did not run the request. A
 * 503 alone does not state that.
 *
 * @param head - status and headers of the response
 * @returns true if the outcome header of a 503 says so
 */
export function isCertainlyNotRun(head: ResponseHead): boolean {
  return head.status === STATUS_SERVICE_UNAVAILABLE &&
    head.headers[HEADER.outcome] === REQUEST_OUTCOME.notRun;
}
