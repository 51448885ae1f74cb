/** A request that has passed the checks of its head. */

import type { IncomingMessage } from "node:http";

import { HEADER } from "../dialect/header_names.ts";
import type { ServingDialect } from "../dialect/serving_dialect.ts";
import type { RateVerdict } from "../ports/rate_limiter.ts";
import type { HopSpan } from "../telemetry/span_recorder.ts";
import type { OutboundRequest } from "./response_receiver.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { hasCallerKey, type PresentedKey } from "./caller_key.ts";
import { refuseNotRun } from "./refusal.ts";
import type { Admission } from "./request_admission.ts";
import type { RequestRecord } from "./request_explanations.ts";
import { computeFingerprint } from "./request_fingerprint.ts";

/** A request whose head has passed all checks. */
export interface AdmittedExchange extends Admission {
  readonly exchange: CallerExchange;
  readonly record: RequestRecord;
  /** Span of this hop; undefined if spans are off. */
  readonly span: HopSpan | undefined;
}

/**
 * Reads the caller's `traceparent`, unless it holds the key.
 *
 * @param request - the caller's request
 * @param key - the key, if the caller sent one
 * @returns the header's value, or undefined
 */
export function readTraceparent(
  request: IncomingMessage,
  key: PresentedKey | undefined,
): string | undefined {
  const value = request.headers[HEADER.traceparent];
  if (typeof value !== "string") {
    return undefined;
  }
  return key !== undefined && hasCallerKey(value, key.secret)
    ? undefined
    : value;
}

/**
 * Builds what a series sends from what the caller sent.
 *
 * @param admitted - the request
 * @param body - its body
 * @param dialect - what the backend server speaks
 * @returns the request as backend servers may see it
 */
export function buildSeriesRequest(
  admitted: AdmittedExchange,
  body: OutboundRequest["body"],
  dialect: ServingDialect,
): OutboundRequest {
  const { exchange, context, key, record } = admitted;
  const { rawHeaders, headers } = exchange.request;
  const selected = dialect.selectRequestHeaders(rawHeaders, key);
  if (body !== undefined && !Buffer.isBuffer(body)) {
    selected.push("content-length", headers["content-length"] ?? "0");
  }
  return {
    context,
    headers: selected,
    body,
    isRepeatable: context.route.isIdempotent &&
      (body === undefined || Buffer.isBuffer(body)),
    computeFingerprint: () =>
      computeFingerprint(context, Buffer.isBuffer(body) ? body : undefined),
    traceparent: admitted.span?.traceparent ??
      readTraceparent(exchange.request, key),
    record,
  };
}

/**
 * Refuses a request that got no token.
 *
 * @param exchange - the request
 * @param verdict - the limiter's decision
 */
export function refuseRate(
  exchange: CallerExchange,
  verdict: Exclude<RateVerdict, { readonly kind: "granted" }>,
): void {
  exchange.refuse(refuseNotRun(verdict.kind, verdict.retryAfterMs));
}
