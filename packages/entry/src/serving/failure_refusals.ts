/** Maps failed attempts to the refusals that callers get. */

import { REQUEST_OUTCOME } from "@limpetford/domain/request_outcome";

import type { ResponseClassification } from "../dialect/serving_dialect.ts";
import type { AttemptFailure } from "./attempt_listener.ts";
import { ATTEMPT_DENIAL } from "./attempt_message.ts";
import { type Refusal, type RefusalKind, refuseNotRun } from "./refusal.ts";

/** Reason of a refusal, without the outcome of the request. */
export interface RefusalCause {
  readonly kind: RefusalKind;
  readonly retryAfterMs?: number | undefined;
}

/**
 * Maps the failure of an attempt to the reason of a refusal.
 *
 * @param failure - failure of the last attempt
 * @returns kind of the refusal, without a delay before the next try
 */
export function mapFailure(failure: AttemptFailure): RefusalCause {
  switch (failure.denial) {
    case ATTEMPT_DENIAL.dispatch:
      return { kind: "claim-refused" };
    case ATTEMPT_DENIAL.server:
      return { kind: "no-server" };
    case undefined:
      break;
  }
  if (failure.isMalformed) {
    return { kind: "answer-malformed" };
  }
  switch (failure.outcome) {
    case "connect-failed":
      return { kind: "backend-unreachable" };
    case "timed-out":
      return { kind: "deadline-passed" };
    case "cut":
    case "cancelled":
      return { kind: "answer-cut" };
    case "reset-before-first-byte":
      return { kind: "reset-before-answer" };
  }
}

/**
 * Finds the reason why a response is not passed on to the caller.
 *
 * @param classified - meaning of its head
 * @returns the reason; undefined for a response that is passed on
 */
export function findUnusedCause(
  { isNotRun, isFalsePromise, retryAfterMs }: ResponseClassification,
): RefusalCause | undefined {
  if (isNotRun) {
    return { kind: "overloaded", retryAfterMs };
  }
  return isFalsePromise === true ? { kind: "answer-malformed" } : undefined;
}

/**
 * Merges the reason why the last attempt gave no response with the reason why
 * there is no further attempt.
 *
 * @param last - reason of the last attempt; undefined before the first one
 * @param refusal - why no slot was acquired for a further attempt
 * @returns the first reason; for a server without room, with the time at which
 * there is room at another one
 */
export function mergeCauses(
  last: RefusalCause | undefined,
  refusal: RefusalCause,
): RefusalCause {
  if (last === undefined) {
    return refusal;
  }
  return last.kind === "overloaded" && refusal.retryAfterMs !== undefined
    ? { ...last, retryAfterMs: refusal.retryAfterMs }
    : last;
}

/**
 * Builds the refusal of a request after its last attempt.
 *
 * @param cause - why there is no response
 * @param mayHaveRun - true if a backend server may have run the request
 * @returns refusal with the outcome that is certain
 */
export function buildRefusal(
  cause: RefusalCause,
  mayHaveRun: boolean,
): Refusal {
  const refusal = refuseNotRun(cause.kind, cause.retryAfterMs);
  return mayHaveRun
    ? { ...refusal, outcome: REQUEST_OUTCOME.unknown }
    : refusal;
}
