/** The HTTP request of one attempt, and how its response is recognized. */

import type { Readable } from "node:stream";

import type { ResponseHead } from "./attempt_listener.ts";

const STATUS_LINE = /HTTP\/1\.[01] [1-5][0-9]{2}/;

/** The HTTP request of one attempt. */
export interface AttemptRequest {
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | Readable | undefined;
  /** Identifies the response to this attempt. */
  readonly identity: ResponseIdentity;
  /** True if the close of the connection may mark the end of the body. */
  readonly mayEndWithConnection: boolean;
  /** Checks that a success proves that the server has run the request. */
  readonly isProven: (head: ResponseHead) => boolean;
  /**
   * Finds out whether the server accepts connections; absent if that can't be known.
   * The kernel ends those of a process in order, whatever it was sending.
   */
  readonly verifyServer?: (() => Promise<boolean>) | undefined;
  /** Called immediately before the first byte; undefined to allow it always. */
  readonly mayDispatch: (() => boolean) | undefined;
}

/** Identifier that a response to an attempt bears. */
export interface ResponseIdentity {
  readonly id: string;
  /** Reads the identifier of a response; undefined if it bears none. */
  readonly readId: (headers: ResponseHead["headers"]) => string | undefined;
  /**
   * True if each response names its request. One that names none may then belong
   * to any of the requests that its connection has carried.
   */
  readonly isAlwaysNamed: boolean;
  /**
   * Recognizes a response that states that the request was not run; none if absent.
   * On a connection that has brought a named response, it has to name its request.
   */
  readonly isRefusal?: (head: ResponseHead) => boolean;
}

/** What a response that arrives for an attempt answers. */
export const RESPONSE_OWNER = {
  attempt: "attempt",
  /** An earlier request on the same connection, once more. */
  earlier: "earlier",
  /** Another request, or none. */
  other: "other",
} as const;
/** One of the values in `RESPONSE_OWNER`. */
export type ResponseOwner = typeof RESPONSE_OWNER[keyof typeof RESPONSE_OWNER];

/**
 * Finds out what a response answers.
 *
 * @param identity - identifier that the response should bear
 * @param headers - headers of the response
 * @param answeredIds - identifiers of requests that were answered before on the
 * same connection, the oldest first
 * @returns the attempt unless the response bears another identifier, or, on a
 * connection that has brought others, none or a status line within a header
 */
export function findResponseOwner(
  { id, readId, isAlwaysNamed }: ResponseIdentity,
  headers: ResponseHead["headers"],
  answeredIds: readonly string[],
): ResponseOwner {
  if (answeredIds.length > 0 && Object.values(headers).some(hasStatusLine)) {
    return RESPONSE_OWNER.other;
  }
  const responseId = readId(headers);
  if (responseId === undefined) {
    return isAlwaysNamed && answeredIds.length > 0
      ? RESPONSE_OWNER.other
      : RESPONSE_OWNER.attempt;
  }
  if (responseId === id) {
    return RESPONSE_OWNER.attempt;
  }
  return answeredIds.includes(responseId)
    ? RESPONSE_OWNER.earlier
    : RESPONSE_OWNER.other;
}

// A copy of an earlier response that breaks off within a header swallows the status
// line of the response behind it.
function hasStatusLine(value: string | string[] | undefined): boolean {
  return STATUS_LINE.test(String(value));
}
