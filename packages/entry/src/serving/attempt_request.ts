/** What is sent to a backend server. */

import { HEADER } from "../dialect/header_names.ts";
import type { AttemptDetails } from "../dialect/serving_dialect.ts";
import type { OutboundRequest } from "./response_receiver.ts";
import type { AttemptRequest } from "./backend_attempt.ts";

/**
 * Builds one attempt at a request. It carries the time that is left.
 *
 * @param request - the request
 * @param details - what differs from the other attempts
 * @returns what to send
 */
export function buildAttemptRequest(
  request: OutboundRequest,
  details: AttemptDetails,
): AttemptRequest {
  const { context, mayDispatch, body } = request;
  const attemptId = `${context.id}.${details.number}`;
  const leftMs = Math.max(1, Math.floor(context.deadlineAtMs - details.nowMs));
  const headers = [
    ...request.headers,
    HEADER.requestTimeoutMs,
    String(leftMs),
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
    isResponseToAttempt: (answer) =>
      isEchoOf(answer[HEADER.attemptId], attemptId),
    mayEndWithConnection: false,
    mayDispatch,
  };
}

function isEchoOf(
  echo: string | string[] | undefined,
  identifier: string,
): boolean {
  return echo === undefined || echo === identifier;
}
