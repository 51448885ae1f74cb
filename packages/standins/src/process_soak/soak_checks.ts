/** Checks invariants of request execution that must hold under any fault. */

import type { CallerResponse } from "../platform/caller_client.ts";
import { NOT_RUN_STATUSES } from "../platform/protocol_names.ts";

const STATUS_OK = 200;
/** Kind of the refusal of a quarantined request. */
const QUARANTINED = "quarantined";
/** Body of a complete successful response of a server stand-in. */
const RESPONSE_BODY = /^answer of i-\d+$/;

/** A request that a caller sent, and its response. */
export interface SentRequest {
  readonly id: string;
  readonly target: string;
  readonly isIdempotent: boolean;
  /** True if the request crashes each server that runs it. */
  readonly isCrashing: boolean;
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

/** Time within which the fleet must stop a request that crashes servers. */
const REACTION_MS = 3_000;
/** Runs of such a request that the users' rules allow after that time. */
const ALLOWED_LATE_RUNS = 3;

/** Runs of a request that crashes the server which runs it. */
export interface CrashObservations {
  /** Wall-clock times of its runs, in milliseconds. */
  readonly ranAtMs: readonly number[];
  /** Wall-clock time of the end of the last injected fault, in milliseconds. */
  readonly faultsEndedAtMs: number;
}

/**
 * Checks that a request which crashes servers was stopped. What ran while faults
 * were injected does not count, since no VM may have known of the crashes.
 *
 * @param observations - its runs and the end of the faults
 * @returns a message for the violation, if there is one
 */
export function findLateRuns(
  { ranAtMs, faultsEndedAtMs }: CrashObservations,
): readonly string[] {
  const thirdAtMs = [...ranAtMs].sort((a, b) => a - b)[2] ?? Infinity;
  const lateAfterMs = Math.max(thirdAtMs, faultsEndedAtMs) + REACTION_MS;
  const late = ranAtMs.filter((atMs) => atMs > lateAfterMs).length;
  return late > ALLOWED_LATE_RUNS
    ? [`a request that crashes servers ran ${late} times too late`]
    : [];
}

/** Length of the windows in which a server's requests are counted. */
const LIMIT_WINDOW_MS = 4_000;
/** What the users' rules allow in a window: this multiple of the limit ... */
const LIMIT_FACTOR = 1.5;
/** ... and this number of requests more. */
const LIMIT_EXTRA = 5;

/** Requests to a server that names a rate limit. */
export interface LimitObservations {
  /** Requests per second that the server names. */
  readonly limit: number;
  /** Wall-clock times of its requests, in milliseconds. */
  readonly receivedAtMs: readonly number[];
  /** Wall-clock time of the end of the last injected fault, in milliseconds. */
  readonly faultsEndedAtMs: number;
}

/**
 * Checks that a server got no more than the rate limit that it names. What came
 * while faults were injected does not count, since VMs that have started know no
 * limit.
 *
 * @param observations - the limit, its requests and the end of the faults
 * @returns a message for the violation, if there is one
 */
export function findLimitExcess(
  { limit, receivedAtMs, faultsEndedAtMs }: LimitObservations,
): readonly string[] {
  const times = receivedAtMs.filter((atMs) =>
    atMs > faultsEndedAtMs + REACTION_MS
  );
  const most = Math.max(
    0,
    ...times.map((first) =>
      times.filter((atMs) => atMs >= first && atMs < first + LIMIT_WINDOW_MS)
        .length
    ),
  );
  const allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW_MS / 1_000 + LIMIT_EXTRA;
  return most > allowed
    ? [`a server that names a limit of ${limit}/s got ${most} requests in 4 s`]
    : [];
}

/** Time after which a VM sends nothing to a server that says it leaves. */
const DRAIN_MS = 2_000;
/** Start of a pause in which requests in flight may still arrive. */
const PAUSE_GRACE_MS = 500;
/** Requests that the users' rules allow in the rest of a pause. */
const ALLOWED_IN_PAUSE = 2;

/** A request that a server received. */
export interface ReceivedFromVm {
  readonly vm: string;
  /** Wall-clock time, in milliseconds. */
  readonly atMs: number;
}

/**
 * Checks that VMs stop sending to a server that says in its answers that it is
 * leaving.
 *
 * @param received - requests since it says so, in the order of their arrival
 * @param processingMs - time until it answers
 * @returns a message for each request that came too late
 */
export function findRequestsAfterLeaving(
  received: readonly ReceivedFromVm[],
  processingMs: number,
): readonly string[] {
  const firstAtMs = new Map<string, number>();
  return received.flatMap(({ vm, atMs }) => {
    const first = firstAtMs.get(vm) ?? atMs;
    firstAtMs.set(vm, first);
    return atMs > first + processingMs + DRAIN_MS
      ? [`${vm} sent to a leaving server ${atMs - first} ms after its word`]
      : [];
  });
}

/**
 * Checks that VMs keep the pauses that a server names.
 *
 * @param received - requests while it turns all away, in the order of arrival
 * @param times - time until it answers, and length of the pause that it names
 * @returns a message for each pause that was not kept
 */
export function findRequestsInPauses(
  received: readonly ReceivedFromVm[],
  times: { readonly processingMs: number; readonly pauseMs: number },
): readonly string[] {
  return received.flatMap(({ vm, atMs }) => {
    const saidAtMs = atMs + times.processingMs;
    const count = received.filter((other) =>
      other.vm === vm && other.atMs > saidAtMs + PAUSE_GRACE_MS &&
      other.atMs < saidAtMs + times.pauseMs
    ).length;
    return count > ALLOWED_IN_PAUSE
      ? [`${vm} sent ${count} requests in a pause that a server named`]
      : [];
  });
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
  if (
    !isIdempotent && NOT_RUN_STATUSES.includes(response.status) && runCount > 0
  ) {
    violations.push(`${id} got status ${response.status} but ran`);
  }
  if (!sent.isCrashing && response.body.includes(QUARANTINED)) {
    violations.push(`${id} was quarantined but crashes no server`);
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
