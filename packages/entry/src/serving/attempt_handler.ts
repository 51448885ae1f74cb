/** Passes the events of the HTTP client on to an attempt. */

import type { Dispatcher } from "undici";

import type { BackendAttempt } from "./backend_attempt.ts";

/**
 * Builds the handler of an attempt's HTTP exchange.
 *
 * @param attempt - receives the events
 * @returns handler for undici
 */
export function buildAttemptHandler(
  attempt: BackendAttempt,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart(controller) {
      attempt.handleRequestStart(controller);
    },
    onResponseStart(_controller, status, headers) {
      attempt.handleResponseStart(status, headers);
    },
    onResponseData(_controller, chunk) {
      attempt.handleChunk(chunk);
    },
    onResponseEnd() {
      attempt.handleEnd();
    },
    onResponseError() {
      attempt.handleError();
    },
  };
}
