/** Builds and reads the heads of forwarded requests and their responses. */

import { FORWARDED_HEADER } from "@limpetford/peer/call_protocol";
import { parseRetryAfterMs } from "@limpetford/platform/store/http_headers";

import type { RequestContext } from "../ports/request_context.ts";
import type { ResponseHead } from "../serving/attempt_listener.ts";
import {
  buildForwardingHeader,
  FORWARDED_RESULT,
  parseForwardedResult,
} from "./forwarding_headers.ts";
import type {
  AttemptDetails,
  ResponseClassification,
} from "./serving_dialect.ts";

/** Statuses from here on mean that a request was not served. */
export const FIRST_FAILED_STATUS = 500;

/**
 * Builds what a request carries for the VM that it is forwarded to.
 *
 * @param context - the admitted request
 * @param details - the attempt; not forwarded unless it says so
 * @param version - version of the configuration that admitted the request
 * @returns alternating names and values; empty for a backend server
 */
export function buildForwardedHeaders(
  { terms, route, team, deadlineAtMs }: RequestContext,
  { forwarding, nowMs }: AttemptDetails,
  version: number,
): string[] {
  if (forwarding === undefined) {
    return [];
  }
  return buildForwardingHeader({
    service: terms?.service ?? route.service,
    team,
    attempts: forwarding.attempts,
    isCounted: forwarding.isCounted || terms?.isCounted === true,
    version,
    targetLeftMs: (terms?.targetAtMs ?? deadlineAtMs) - nowMs,
  });
}

/**
 * Classifies a response of the VM that a request was forwarded to. It has made all
 * attempts that are allowed; only a request that has not run there, and never
 * will, may be tried elsewhere.
 *
 * @param head - status and headers of the response
 * @returns outcome of the attempt, and whether another may follow
 */
export function readForwardedResponse(
  { status, headers }: ResponseHead,
): ResponseClassification {
  const result = parseForwardedResult(headers[FORWARDED_HEADER]);
  if (result === FORWARDED_RESULT.notRun) {
    const retryAfterMs = parseRetryAfterMs(headers);
    return { outcome: "shed", isNotRun: true, retryAfterMs };
  }
  const isServed = result === FORWARDED_RESULT.answered &&
    status < FIRST_FAILED_STATUS;
  return {
    outcome: isServed ? "served" : "failed",
    isNotRun: false,
    isFinal: true,
  };
}
