/** Builds the HTTP request of one attempt at a backend server. */

import { HEADER } from "../dialect/header_names.ts";
import { isCertainlyNotRun } from "../dialect/response_classification.ts";
import type { AttemptDetails } from "../dialect/serving_dialect.ts";
import type { ResponseHead } from "./attempt_listener.ts";
import type { AttemptRequest } from "./attempt_message.ts";
import type { OutboundRequest } from "./response_receiver.ts";

/**
 * Builds the request of one attempt. It carries the remaining time of the
 * deadline and the identifiers of the request and the attempt.
 *
 * @param request - the outbound request, shared by all attempts
 * @param details - values that differ from attempt to attempt
 * @returns method, target, headers and body of the attempt
 */
export function buildAttemptRequest(
  request: OutboundRequest,
  details: AttemptDetails,
): AttemptRequest {
  const { context, mayDispatch, body } = request;
  const attemptId = `${context.id}.${details.number}`;
  const remainingMs = Math.max(
    1,
    Math.floor(context.deadlineAtMs - details.nowMs),
  );
  const headers = [
    ...request.headers,
    HEADER.requestTimeoutMs,
    String(remainingMs),
    HEADER.requestId,
    context.id,
    HEADER.attemptId,
    attemptId,
  ];
  const traceparent = details.traceparent ?? request.traceparent;
  if (traceparent !== undefined) {
    headers.push(HEADER.traceparent, traceparent);
  }
  const { method, target } = context;
  return {
    method,
    target,
    headers,
    body,
    identity: {
      id: attemptId,
      readId: readAttemptId,
      isAlwaysNamed: false,
      isRefusal: isCertainlyNotRun,
    },
    mayEndWithConnection: false,
    isProven: () => true,
    mayDispatch,
  };
}

/**
 * Reads the identifier of the attempt that a response names.
 *
 * @param headers - headers of the response
 * @returns the identifier; undefined if there is none
 */
export function readAttemptId(
  headers: ResponseHead["headers"],
): string | undefined {
  return headers[HEADER.attemptId]?.toString();
}
