/** Refusals: error responses of limpetford instead of a backend server's. */

import {
  REQUEST_OUTCOME,
  type RequestOutcome,
} from "@limpetford/domain/request_outcome";

/** Kind of a refusal; the last part of its problem type URN. */
export type RefusalKind =
  | "answer-cut"
  | "answer-malformed"
  | "answer-not-kept"
  | "backend-failed"
  | "backend-unreachable"
  | "body-too-large"
  | "body-too-slow"
  | "claim-refused"
  | "configuration-stale"
  | "deadline-passed"
  | "headers-too-large"
  | "idempotency-key-missing"
  | "idempotency-key-reused"
  | "key-in-target"
  | "key-missing"
  | "key-unknown"
  | "malformed-request"
  | "no-configuration"
  | "no-holder"
  | "no-server"
  | "not-holder"
  | "outcome-unknown"
  | "over-rate"
  | "overloaded"
  | "peer-failed"
  | "quarantined"
  | "reset-before-answer"
  | "route-unknown"
  | "still-running"
  | "vm-busy"
  | "vm-starting"
  | "vm-stopping";

/** Reason and outcome of a request that limpetford answers itself. */
export interface Refusal {
  readonly kind: RefusalKind;
  /** Whether the request ran, as far as it is known. */
  readonly outcome: RequestOutcome;
  /** Explanation for the caller; never contains data of the request. */
  readonly detail?: string;
  /** Delay before the caller should retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/**
 * Builds a refusal of a request that certainly did not run.
 *
 * @param kind - reason of the refusal
 * @param retryAfterMs - delay before the caller should retry, in milliseconds
 * @returns a refusal with the outcome "not run"
 */
export function refuseNotRun(
  kind: RefusalKind,
  retryAfterMs?: number,
): Refusal {
  const refusal = { kind, outcome: REQUEST_OUTCOME.notRun };
  return retryAfterMs === undefined ? refusal : { ...refusal, retryAfterMs };
}

/**
 * Builds a refusal of a request that may have run.
 *
 * @param kind - reason of the refusal
 * @returns a refusal with the outcome "unknown"
 */
export function refuseUnknown(kind: RefusalKind): Refusal {
  return { kind, outcome: REQUEST_OUTCOME.unknown };
}
