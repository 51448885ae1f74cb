/** Checks invariants of request execution that must hold under any fault. */

import type { CallerResponse } from "../platform/caller_client.ts";

/** Status codes that guarantee that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const STATUS_OK = 200;
/** Body of a complete successful response of a server stand-in. */
const RESPONSE_BODY = /^answer of i-\d+$/;

/** A request that a caller sent, and its response. */
export interface SentRequest {
  readonly id: string;
  readonly target: string;
  readonly isIdempotent: boolean;
  /** Undefined until the exchange ends, or if no directory named a VM. */
  readonly response: CallerResponse | undefined;
  /** Request identifier in the response's headers; undefined if absent. */
  readonly responseRequestId: string | undefined;
}

/** One execution of a request at a backend server. */
export interface RequestRun {
  readonly id: string;
  readonly target: string;
}

/** Requests of the callers and executions at the backend servers of a soak. */
export interface SoakObservations {
  readonly sent: readonly SentRequest[];
  readonly runs: readonly RequestRun[];
}

/**
 * Finds violations of the invariants.
 *
 * @param observations - requests and executions of a soak
 * @returns a message for each violation
 */
export function findViolations(
  observations: SoakObservations,
): readonly string[] {
  const runsById = countRuns(observations.runs);
  const sentById = new Map(observations.sent.map((sent) => [sent.id, sent]));
  const unsentViolations = observations.runs
    .filter(({ id, target }) => sentById.get(id)?.target !== target)
    .map(({ id, target }) => `${id} ${target} ran but was never sent`);
  const requestViolations = observations.sent.flatMap((sent) =>
    findRequestViolations(sent, runsById.get(sent.id) ?? 0)
  );
  return [...unsentViolations, ...requestViolations];
}

function findRequestViolations(
  sent: SentRequest,
  runCount: number,
): readonly string[] {
  const { id, response, isIdempotent } = sent;
  const violations: string[] = [];
  if (!isIdempotent && runCount > 1) {
    violations.push(`${id} is not idempotent but ran ${runCount} times`);
  }
  if (response === undefined) {
    return violations;
  }
  if (!isIdempotent && NOT_RUN_STATUSES.has(response.status) && runCount > 0) {
    violations.push(`${id} got status ${response.status} but ran`);
  }
  if (response.status === STATUS_OK) {
    if (sent.responseRequestId !== id) {
      violations.push(
        `${id} got the response to ${String(sent.responseRequestId)}`,
      );
    }
    if (!RESPONSE_BODY.test(response.body)) {
      violations.push(`${id} got an unexpected body: ${response.body}`);
    }
    if (runCount === 0) {
      violations.push(`${id} got status 200 but never ran`);
    }
  }
  return violations;
}

function countRuns(runs: readonly RequestRun[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { id } of runs) {
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}
