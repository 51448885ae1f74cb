/** Sends HTTP requests with JSON bodies to the platform's services. */

import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";
import type { Dispatcher } from "undici";

/** An HTTP request with an optional JSON body. */
export interface JsonCall {
  readonly method: "GET" | "POST" | "PUT";
  readonly path: string;
  readonly body?: unknown;
  /** Timeout from connecting to the end of the response, in milliseconds. */
  readonly timeoutMs: number;
}

/** A complete HTTP response. */
export interface JsonResponse {
  readonly status: number;
  /** Value of `retry-after` in milliseconds; undefined if absent or invalid. */
  readonly retryAfterMs: number | undefined;
  /** Parsed body; undefined if it is not valid JSON. */
  readonly body: unknown;
}

/** Why a call got no response. */
export type CallError =
  /** No connection was made, so nothing was sent. */
  | { readonly kind: "not-sent"; readonly cause: string }
  /** The request may have been received and may have taken effect. */
  | { readonly kind: "no-answer"; readonly cause: string };

/** Codes of errors that occur before a connection is established. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const MS_PER_S = 1_000;

/**
 * Sends a request and reads the complete response.
 *
 * @param dispatcher - HTTP connections to one origin
 * @param call - method, path, body and timeout
 * @returns the response, or why there is none
 */
export async function sendJson(
  dispatcher: Dispatcher,
  call: JsonCall,
): Promise<Result<JsonResponse, CallError>> {
  try {
    const response = await dispatcher.request({
      method: call.method,
      path: call.path,
      headers: { "content-type": "application/json" },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: AbortSignal.timeout(call.timeoutMs),
    });
    const text = await response.body.text();
    return makeOk({
      status: response.statusCode,
      retryAfterMs: parseRetryAfter(response.headers["retry-after"]),
      body: parseJson(text),
    });
  } catch (error) {
    return makeError(describeFailure(error));
  }
}

function describeFailure(error: unknown): CallError {
  const cause = error instanceof Error ? error.message : String(error);
  const code = findErrorCode(error);
  const kind = code !== undefined && NOT_SENT_CODES.has(code)
    ? "not-sent"
    : "no-answer";
  return { kind, cause: code === undefined ? cause : `${code}: ${cause}` };
}

function findErrorCode(error: unknown): string | undefined {
  if (typeof error !== "object" || error === null || !("code" in error)) {
    return undefined;
  }
  return typeof error.code === "string" ? error.code : undefined;
}

function parseRetryAfter(
  value: string | string[] | undefined,
): number | undefined {
  const seconds = Number(value);
  return Number.isFinite(seconds) ? seconds * MS_PER_S : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
