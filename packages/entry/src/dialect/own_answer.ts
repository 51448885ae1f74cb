/** Answers that limpetford makes itself, as RFC 9457 problem documents. */

import type { ServerResponse } from "node:http";

import type { RandomSource } from "@limpetford/core/time/random_source";
import type { RequestOutcome } from "@limpetford/domain/request_outcome";

import type { Refusal } from "../serving/refusal.ts";
import { HEADER } from "./header_names.ts";

const MS_PER_SECOND = 1_000;
const RETRY_JITTER_SHARE = 0.5;

/** A problem document with its status and headers. */
export interface OwnAnswer {
  readonly status: number;
  readonly type: string;
  readonly title: string;
  readonly detail: string;
  readonly outcome: RequestOutcome;
  /** Undefined if waiting does not help. */
  readonly retryAfterMs: number | undefined;
}

/** What an answer needs of its request. */
export interface OwnAnswerOptions {
  readonly requestId: string;
  readonly isLastOnConnection: boolean;
  readonly random: RandomSource;
}

/**
 * Builds the answer to a refusal.
 *
 * @param refusal - why the request is not answered by a backend server
 * @returns the answer
 */
export function buildOwnAnswer(refusal: Refusal): OwnAnswer {
  const form = FORMS[refusal.kind];
  return {
    status: form.status,
    type: `urn:limpetford:problem:${refusal.kind}`,
    title: form.title,
    detail: refusal.detail ?? form.title,
    outcome: refusal.outcome,
    retryAfterMs: refusal.retryAfterMs ?? form.retryAfterMs,
  };
}

/**
 * Sends an answer of limpetford's own and ends the response.
 *
 * @param response - the response, with no head sent
 * @param answer - what to send
 * @param options - what it needs of the request
 */
export function sendOwnAnswer(
  response: ServerResponse,
  answer: OwnAnswer,
  options: OwnAnswerOptions,
): void {
  const body = Buffer.from(renderProblem(answer, options.requestId));
  const headers = [
    "content-type",
    "application/problem+json",
    "content-length",
    String(body.length),
    "cache-control",
    "no-store",
    HEADER.outcome,
    answer.outcome,
    HEADER.requestId,
    options.requestId,
  ];
  if (answer.retryAfterMs !== undefined) {
    const spreadMs = computeSpread(answer.retryAfterMs, options.random);
    headers.push("retry-after", String(Math.ceil(spreadMs / MS_PER_SECOND)));
    headers.push(HEADER.retryAfterMs, String(spreadMs));
  }
  if (answer.status === 401) {
    headers.push("www-authenticate", "Bearer");
  }
  if (options.isLastOnConnection) {
    headers.push("connection", "close");
  }
  response.writeHead(answer.status, headers);
  response.end(body);
}

/**
 * Renders the body of an answer.
 *
 * @param answer - the answer
 * @param requestId - identifier for `limpetctl explain`
 * @returns a JSON text
 */
export function renderProblem(answer: OwnAnswer, requestId: string): string {
  return JSON.stringify({
    type: answer.type,
    title: answer.title,
    status: answer.status,
    detail: answer.detail,
    instance: `urn:limpetford:request:${requestId}`,
    outcome: answer.outcome,
  });
}

function computeSpread(retryAfterMs: number, random: RandomSource): number {
  const factor = 1 + RETRY_JITTER_SHARE * random.sampleUniform();
  return Math.max(1, Math.round(retryAfterMs * factor));
}

interface AnswerForm {
  readonly status: number;
  readonly title: string;
  readonly retryAfterMs?: number;
}

const FORMS: Readonly<Record<Refusal["kind"], AnswerForm>> = {
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
};
