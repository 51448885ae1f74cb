/** Error responses of limpetford itself, as RFC 9457 problem documents. */

import type { ServerResponse } from "node:http";

import type { RandomSource } from "@limpetford/core/time/random_source";
import type { RequestOutcome } from "@limpetford/domain/request_outcome";

import type { Refusal } from "../serving/refusal.ts";
import { HEADER } from "./header_names.ts";

const MS_PER_SECOND = 1_000;
/** A VM that has started learns what it lacks within this time. */
const STARTING_RETRY_MS = 300;
/** Retry delays are lengthened at random by up to this share. */
const RETRY_JITTER_SHARE = 0.5;

/** Content of a problem document, with status and retry delay. */
export interface ProblemResponse {
  readonly status: number;
  /** URN that identifies the kind of problem. */
  readonly type: string;
  readonly title: string;
  readonly detail: string;
  /** Whether the request ran, as far as it is known. */
  readonly outcome: RequestOutcome;
  /** In milliseconds; undefined if a retry would not help. */
  readonly retryAfterMs: number | undefined;
}

/** Properties of the request that its error response depends on. */
export interface ProblemResponseOptions {
  readonly requestId: string;
  /** True to close the connection after the response. */
  readonly isLastOnConnection: boolean;
  readonly random: RandomSource;
}

/**
 * Builds the error response to a refused request.
 *
 * @param refusal - why no backend server's response is returned
 * @returns status and document for the kind of refusal
 */
export function buildProblemResponse(refusal: Refusal): ProblemResponse {
  const template = PROBLEM_TEMPLATES[refusal.kind];
  return {
    status: template.status,
    type: `urn:limpetford:problem:${refusal.kind}`,
    title: template.title,
    detail: refusal.detail ?? template.title,
    outcome: refusal.outcome,
    retryAfterMs: refusal.retryAfterMs ?? template.retryAfterMs,
  };
}

/**
 * Sends an error response with its headers and ends it.
 *
 * @param response - response whose head has not been sent
 * @param problem - status and document to send
 * @param options - properties of the request, and the source of the jitter
 */
export function sendProblemResponse(
  response: ServerResponse,
  problem: ProblemResponse,
  options: ProblemResponseOptions,
): void {
  const body = Buffer.from(renderProblem(problem, options.requestId));
  const headers = [
    "content-type",
    "application/problem+json",
    "content-length",
    String(body.length),
    "cache-control",
    "no-store",
    HEADER.outcome,
    problem.outcome,
    HEADER.requestId,
    options.requestId,
  ];
  if (problem.retryAfterMs !== undefined) {
    const jitteredMs = computeJitteredMs(problem.retryAfterMs, options.random);
    headers.push("retry-after", String(Math.ceil(jitteredMs / MS_PER_SECOND)));
    headers.push(HEADER.retryAfterMs, String(jitteredMs));
  }
  if (problem.status === 401) {
    headers.push("www-authenticate", "Bearer");
  }
  if (options.isLastOnConnection) {
    headers.push("connection", "close");
  }
  response.writeHead(problem.status, headers);
  response.end(body);
}

/**
 * Renders a problem document.
 *
 * @param problem - content of the document
 * @param requestId - identifier of the request, for `limpetctl explain`
 * @returns the document as JSON
 */
export function renderProblem(
  problem: ProblemResponse,
  requestId: string,
): string {
  return JSON.stringify({
    type: problem.type,
    title: problem.title,
    status: problem.status,
    detail: problem.detail,
    instance: `urn:limpetford:request:${requestId}`,
    outcome: problem.outcome,
  });
}

function computeJitteredMs(retryAfterMs: number, random: RandomSource): number {
  const factor = 1 + RETRY_JITTER_SHARE * random.sampleUniform();
  return Math.max(1, Math.round(retryAfterMs * factor));
}

interface ProblemTemplate {
  readonly status: number;
  readonly title: string;
  readonly retryAfterMs?: number;
}

const PROBLEM_TEMPLATES: Readonly<Record<Refusal["kind"], ProblemTemplate>> = {
  "answer-cut": { status: 502, title: "The backend server's answer broke off" },
  "answer-malformed": {
    status: 502,
    title: "The backend server's answer was malformed",
  },
  "answer-not-kept": {
    status: 409,
    title: "The request ran before; its answer was too large to keep",
  },
  "backend-failed": {
    status: 502,
    title: "The backend server failed, and no other could take the request",
  },
  "backend-unreachable": {
    status: 503,
    title: "No connection to a backend server",
    retryAfterMs: MS_PER_SECOND,
  },
  "body-too-large": {
    status: 413,
    title: "The body is above the route's limit",
  },
  "body-too-slow": { status: 408, title: "The body did not arrive in time" },
  "claim-refused": {
    status: 503,
    title: "The request could not be recorded",
    retryAfterMs: MS_PER_SECOND,
  },
  "configuration-stale": {
    status: 503,
    title: "The configuration may be out of date",
    retryAfterMs: MS_PER_SECOND,
  },
  "deadline-passed": { status: 504, title: "The request's time is up" },
  "headers-too-large": {
    status: 431,
    title: "The headers are above the limit",
  },
  "idempotency-key-missing": {
    status: 400,
    title: "This route needs an Idempotency-Key header",
  },
  "idempotency-key-reused": {
    status: 422,
    title: "The idempotency key was used with another request",
  },
  "key-in-target": { status: 400, title: "The path or body holds the key" },
  "key-missing": { status: 401, title: "This route needs a key" },
  "key-unknown": { status: 401, title: "The key is not valid" },
  "malformed-request": { status: 400, title: "The request is malformed" },
  "no-configuration": {
    status: 503,
    title: "No configuration is in force",
    retryAfterMs: MS_PER_SECOND,
  },
  "no-holder": {
    status: 503,
    title: "The team's rate could not be checked",
    retryAfterMs: MS_PER_SECOND,
  },
  "no-server": {
    status: 503,
    title: "No backend server may take the request",
    retryAfterMs: MS_PER_SECOND,
  },
  "not-holder": {
    status: 503,
    title: "This VM does not hold the team's requests",
    retryAfterMs: MS_PER_SECOND,
  },
  "outcome-unknown": {
    status: 409,
    title: "The request was sent before, and whether it ran is unknown",
  },
  "over-rate": {
    status: 429,
    title: "The team has used up its rate and burst",
    retryAfterMs: MS_PER_SECOND,
  },
  "overloaded": {
    status: 503,
    title: "All slots of the service are taken",
    retryAfterMs: MS_PER_SECOND,
  },
  "peer-failed": {
    status: 503,
    title: "The VM that holds the team's requests did not answer",
    retryAfterMs: MS_PER_SECOND,
  },
  "quarantined": {
    status: 503,
    title: "The request has crashed backend servers",
    retryAfterMs: MS_PER_SECOND,
  },
  "reset-before-answer": {
    status: 502,
    title: "The connection broke before an answer",
  },
  "route-unknown": { status: 404, title: "No route answers this path" },
  "still-running": {
    status: 409,
    title: "The first request with this key is still running",
    retryAfterMs: MS_PER_SECOND,
  },
  "vm-busy": {
    status: 503,
    title: "This VM has no room for the request",
    retryAfterMs: MS_PER_SECOND,
  },
  "vm-starting": {
    status: 503,
    title: "This VM has just started",
    retryAfterMs: STARTING_RETRY_MS,
  },
  "vm-stopping": { status: 503, title: "This VM stops", retryAfterMs: 0 },
};
