/** Heads of requests and answers between callers, VMs and backend servers. */

import { WIRE_HEADER } from "./wire_names.ts";

const MS_PER_S = 1_000;
const STATUS_MISDIRECTED = 421;
const TIME_PATTERN = /^[0-9]{1,9}(\.[0-9]+)?$/;
/** Header names that a VM sets itself, whatever the caller sent. */
const SET_BY_VM: ReadonlySet<string> = new Set([
  WIRE_HEADER.callerKey,
  WIRE_HEADER.team,
  WIRE_HEADER.expectedServer,
  WIRE_HEADER.timeLeftMs,
  WIRE_HEADER.requestId,
]);

/** Headers by name in lower case. */
export type HeaderTable = Readonly<
  Record<string, string | string[] | undefined>
>;

/** What a caller says at the head of its request. */
export interface CallerRequestHeaders {
  /** Identifies one sending of the caller; undefined if it names none. */
  readonly requestId: string | undefined;
  /** How long the caller waits, in milliseconds; undefined if it does not say. */
  readonly timeLeftMs: number | undefined;
  readonly secret: string | undefined;
  /** In lower case, without a port. */
  readonly host: string;
}

/** What a VM tells a backend server about a request. */
export interface ServerHead {
  readonly requestId: string;
  readonly timeLeftMs: number;
  /** The server that is meant; any other refuses the request. */
  readonly server: string;
  /** Undefined on a route open to all. */
  readonly team: string | undefined;
}

/** What the head of a backend server's answer says. */
export interface ServerAnswerHead {
  /** Undefined if the server names none. */
  readonly requestId: string | undefined;
  /** True if the server did not run the request. */
  readonly isNotRun: boolean;
  readonly isSigned: boolean;
}

/**
 * Reads the head of a caller's request.
 *
 * @param headers - its headers
 * @returns what it says
 */
export function parseCallerHeaders(headers: HeaderTable): CallerRequestHeaders {
  const timeLeft = readText(headers, WIRE_HEADER.timeLeftMs);
  const host = readText(headers, "host") ?? "";
  return {
    requestId: readText(headers, WIRE_HEADER.requestId),
    timeLeftMs: timeLeft !== undefined && TIME_PATTERN.test(timeLeft)
      ? Number(timeLeft)
      : undefined,
    secret: readText(headers, WIRE_HEADER.callerKey),
    host: host.replace(/:[0-9]*$/, "").toLowerCase(),
  };
}

/**
 * Checks whether a VM sets a header itself.
 *
 * @param name - name in lower case
 * @returns true if the caller's value is not forwarded
 */
export function isSetByVm(name: string): boolean {
  return SET_BY_VM.has(name);
}

/**
 * Builds the headers that a VM adds for a backend server.
 *
 * @param head - what to tell it
 * @returns names and values in turn
 */
export function buildServerHeaders(head: ServerHead): string[] {
  const headers: string[] = [
    WIRE_HEADER.requestId,
    head.requestId,
    WIRE_HEADER.timeLeftMs,
    String(Math.max(1, Math.floor(head.timeLeftMs))),
    WIRE_HEADER.expectedServer,
    head.server,
  ];
  if (head.team !== undefined) {
    headers.push(WIRE_HEADER.team, head.team);
  }
  return headers;
}

/**
 * Reads the head of a backend server's answer.
 *
 * @param status - HTTP status
 * @param headers - its headers
 * @returns what it says
 */
export function parseServerResponse(
  status: number,
  headers: HeaderTable,
): ServerAnswerHead {
  return {
    requestId: readText(headers, WIRE_HEADER.requestId),
    isNotRun: status === STATUS_MISDIRECTED ||
      headers[WIRE_HEADER.notRun] !== undefined,
    isSigned: headers[WIRE_HEADER.signature] !== undefined,
  };
}

/**
 * Builds the header that tells a caller when to come back.
 *
 * @param retryAfterMs - time to wait, in milliseconds
 * @returns name and value
 */
export function buildRetryAfter(retryAfterMs: number): [string, string] {
  return [WIRE_HEADER.retryAfter, (retryAfterMs / MS_PER_S).toFixed(3)];
}

function readText(headers: HeaderTable, name: string): string | undefined {
  const value = headers[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}
