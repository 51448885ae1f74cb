/** Headers of requests and responses between callers, VMs and servers. */

import {
  RATE_LIMIT_NOTICE,
  type RateLimitNotice,
} from "@limpetford/domain/rate_limit_notice";
import type { ServerNotice } from "@limpetford/domain/server_notice";

import { WIRE_HEADER } from "./wire_names.ts";

const MS_PER_S = 1_000;
const STATUS_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;
const LEAVING_VALUE = "1";
const DEADLINE_PATTERN = /^[0-9]{1,9}(\.[0-9]+)?$/;
/** A number without sign or exponent, of requests per second or of seconds. */
const DECIMAL_PATTERN = /^([0-9]{1,9}(\.[0-9]*)?|\.[0-9]+)$/;
/** Headers that a VM sets itself; values from the caller are dropped. */
const HEADERS_SET_BY_VM: ReadonlySet<string> = new Set([
  WIRE_HEADER.callerKey,
  WIRE_HEADER.team,
  WIRE_HEADER.expectedServer,
  WIRE_HEADER.timeLeftMs,
  WIRE_HEADER.requestId,
]);

/** Header values by lower-case header name. */
export type HeaderTable = Readonly<
  Record<string, string | string[] | undefined>
>;

/** The headers of a caller's request that the proxy evaluates. */
export interface CallerRequestHeaders {
  /** Unique to one request of the caller; undefined if it sent none. */
  readonly requestId: string | undefined;
  /** Time until the deadline, in milliseconds; undefined if not sent. */
  readonly timeLeftMs: number | undefined;
  /** API key of the caller's team; undefined if not sent. */
  readonly secret: string | undefined;
  /** In lower case, without a port; empty if not sent. */
  readonly host: string;
}

/** Values of the headers that a VM adds to a request to a backend server. */
export interface ServerRequestHeaders {
  readonly requestId: string;
  /** Time until the request's deadline, in milliseconds. */
  readonly timeLeftMs: number;
  /**
   * Identifier of the target server; any other server refuses the request.
   * Undefined if another VM chooses the server.
   */
  readonly server: string | undefined;
  /** The caller's team; undefined on a public route. */
  readonly team: string | undefined;
}

/** What the status and headers of a backend server's response mean. */
export interface ServerResponseHeaders {
  /** Identifier of the request; undefined if the server sent none. */
  readonly requestId: string | undefined;
  /** True if the server did not execute the request. */
  readonly isNotRun: boolean;
  /** True if the response has a server signature; it is not verified here. */
  readonly isSigned: boolean;
  /**
   * State of the server; undefined if another server sent the response, which has
   * taken over the address.
   */
  readonly notice: ServerNotice | undefined;
}

/**
 * Parses the headers of a caller's request. Invalid values count as not sent.
 *
 * @param headers - headers of the request
 * @returns the values that the proxy evaluates
 */
export function parseCallerHeaders(headers: HeaderTable): CallerRequestHeaders {
  const timeLeft = findHeader(headers, WIRE_HEADER.timeLeftMs);
  const host = findHeader(headers, "host") ?? "";
  return {
    requestId: findHeader(headers, WIRE_HEADER.requestId),
    timeLeftMs: timeLeft !== undefined && DEADLINE_PATTERN.test(timeLeft)
      ? Number(timeLeft)
      : undefined,
    secret: findHeader(headers, WIRE_HEADER.callerKey),
    host: host.replace(/:[0-9]*$/, "").toLowerCase(),
  };
}

/**
 * Checks whether a VM sets a header itself.
 *
 * @param name - header name in lower case
 * @returns true if the caller's value is not forwarded
 */
export function isSetByVm(name: string): boolean {
  return HEADERS_SET_BY_VM.has(name);
}

/**
 * Builds the headers that a VM adds to a request to a backend server.
 *
 * @param values - values of the headers
 * @returns header names and values, alternating
 */
export function buildServerHeaders(values: ServerRequestHeaders): string[] {
  const headers: string[] = [
    WIRE_HEADER.requestId,
    values.requestId,
    WIRE_HEADER.timeLeftMs,
    String(Math.max(1, Math.floor(values.timeLeftMs))),
  ];
  if (values.server !== undefined) {
    headers.push(WIRE_HEADER.expectedServer, values.server);
  }
  if (values.team !== undefined) {
    headers.push(WIRE_HEADER.team, values.team);
  }
  return headers;
}

/**
 * Interprets the status and headers of a backend server's response.
 *
 * @param status - HTTP status
 * @param headers - headers of the response
 * @returns request identifier, and whether the request was executed
 */
export function parseServerResponse(
  status: number,
  headers: HeaderTable,
): ServerResponseHeaders {
  return {
    requestId: findHeader(headers, WIRE_HEADER.requestId),
    isNotRun: status === STATUS_MISDIRECTED ||
      headers[WIRE_HEADER.notRun] !== undefined,
    isSigned: headers[WIRE_HEADER.signature] !== undefined,
    notice: status === STATUS_MISDIRECTED
      ? undefined
      : parseNotice(status, headers),
  };
}

/**
 * Builds the `retry-after` header of a refusal.
 *
 * @param retryAfterMs - time until the caller may retry, in milliseconds
 * @returns header name, and value in seconds with three decimals
 */
export function buildRetryAfter(retryAfterMs: number): [string, string] {
  return [WIRE_HEADER.retryAfter, (retryAfterMs / MS_PER_S).toFixed(3)];
}

/**
 * Parses the `retry-after` header of a response.
 *
 * @param headers - headers of the response
 * @returns milliseconds; undefined if it is absent or not a number of seconds
 */
export function parseRetryAfterMs(headers: HeaderTable): number | undefined {
  return parsePauseMs(headers[WIRE_HEADER.retryAfter]);
}

function parseNotice(status: number, headers: HeaderTable): ServerNotice {
  return {
    rateLimit: parseRateLimit(headers[WIRE_HEADER.serverLimit]),
    isLeaving: listValues(headers[WIRE_HEADER.serverLeaving]).includes(
      LEAVING_VALUE,
    ),
    pauseMs: status === STATUS_UNAVAILABLE
      ? parsePauseMs(headers[WIRE_HEADER.retryAfter])
      : undefined,
  };
}

// Of several values the longest counts. Dates and malformed values are ignored.
function parsePauseMs(
  value: string | string[] | undefined,
): number | undefined {
  const seconds = listValues(value).filter((text) => DECIMAL_PATTERN.test(text))
    .map(Number);
  return seconds.length === 0 ? undefined : Math.max(...seconds) * MS_PER_S;
}

// A header that was sent several times is an array, or one list with commas.
function listValues(value: string | string[] | undefined): readonly string[] {
  const lines = typeof value === "string" ? [value] : value ?? [];
  return lines.flatMap((line) => line.split(",")).map((text) => text.trim());
}

function parseRateLimit(
  value: string | string[] | undefined,
): RateLimitNotice {
  if (value === undefined) {
    return { kind: RATE_LIMIT_NOTICE.none };
  }
  return typeof value === "string" && DECIMAL_PATTERN.test(value.trim())
    ? { kind: RATE_LIMIT_NOTICE.named, requestsPerSecond: Number(value.trim()) }
    : { kind: RATE_LIMIT_NOTICE.unreadable };
}

function findHeader(headers: HeaderTable, name: string): string | undefined {
  const value = headers[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}
