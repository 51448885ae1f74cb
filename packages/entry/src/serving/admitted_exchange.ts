/** A caller's request that has been authenticated and routed. */

import type { IncomingMessage } from "node:http";

import { HEADER } from "../dialect/header_names.ts";
import type { ServingDialect } from "../dialect/serving_dialect.ts";
import type { RateVerdict } from "../ports/rate_limiter.ts";
import type { HopSpan } from "../telemetry/span_recorder.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { hasCallerKey, type PresentedKey } from "./caller_key.ts";
import type { MemoryShare } from "./memory_budget.ts";
import { refuseNotRun } from "./refusal.ts";
import type { Admission } from "./request_admission.ts";
import type { RequestRecord } from "./request_explanations.ts";
import { computeRepeatFingerprint } from "./request_fingerprint.ts";
import type { OutboundRequest } from "./response_receiver.ts";
import type { ServingPorts } from "./serving_ports.ts";

/** A caller's exchange with its record and its share of the VM's memory. */
export interface OpenedExchange {
  readonly exchange: CallerExchange;
  readonly record: RequestRecord;
  readonly memory: MemoryShare;
}

/** An admitted request with the caller's exchange and its span. */
export interface AdmittedExchange extends Admission, OpenedExchange {
  /** Trace span of this hop; undefined if tracing is off. */
  readonly span: HopSpan | undefined;
}

/**
 * Reads the caller's `traceparent` header. A value that contains the API key is
 * ignored, so that the key reaches neither backend servers nor traces.
 *
 * @param request - the caller's request
 * @param key - API key, if the caller sent one
 * @returns value of the header; undefined if it is absent, repeated or contains
 * the key
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
 * Opens the span of this hop.
 *
 * @param ports - records spans, if tracing is on
 * @param exchange - the caller's exchange
 * @param admission - the admitted request
 * @returns the span; undefined if tracing is off
 */
export function openEntrySpan(
  { spans }: Pick<ServingPorts, "spans">,
  exchange: CallerExchange,
  { context, key }: Admission,
): HopSpan | undefined {
  if (spans === undefined) {
    return undefined;
  }
  return spans.open("entry", readTraceparent(exchange.request, key), {
    requestId: exchange.id,
    method: context.method,
    route: context.route.id,
  });
}

/**
 * Builds the request to send to backend servers from the caller's request.
 *
 * @param admitted - the caller's request
 * @param body - buffered or streamed body; undefined if there is none
 * @param dialect - selects the headers that may be forwarded
 * @returns the outbound request, shared by all attempts
 */
export function buildOutboundRequest(
  admitted: AdmittedExchange,
  body: OutboundRequest["body"],
  dialect: ServingDialect,
): OutboundRequest {
  const { exchange, context, key, record } = admitted;
  const { rawHeaders, headers } = exchange.request;
  const selected = dialect.selectRequestHeaders(rawHeaders, key);
  const isStreamed = body !== undefined && !Buffer.isBuffer(body);
  const announcedLength = headers["content-length"] ?? "0";
  if (isStreamed) {
    selected.push("content-length", announcedLength);
  }
  return {
    context,
    headers: selected,
    body,
    isRetryable: context.route.isIdempotent &&
      (body === undefined || Buffer.isBuffer(body)),
    computeFingerprint: () =>
      computeRepeatFingerprint({
        context,
        body: Buffer.isBuffer(body) ? body : undefined,
        streamedBytes: isStreamed ? Number(announcedLength) : undefined,
      }),
    traceparent: admitted.span?.traceparent ??
      readTraceparent(exchange.request, key),
    record,
  };
}

/**
 * Refuses a request that the rate limiter did not admit.
 *
 * @param exchange - exchange on which the refusal is sent
 * @param verdict - reason and delay before the next try
 */
export function refuseOverRate(
  exchange: CallerExchange,
  verdict: Exclude<RateVerdict, { readonly kind: "granted" }>,
): void {
  exchange.refuse(refuseNotRun(verdict.kind, verdict.retryAfterMs));
}
