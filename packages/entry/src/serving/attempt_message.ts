/** The HTTP request of one attempt, and how its response is recognized. */

import type { Readable } from "node:stream";

import type { ReceivedHead, ResponseHead } from "./attempt_listener.ts";
import type { AnsweredRequests } from "./connection_history.ts";

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
  /** Called before that: false if the server has left since it was chosen. */
  readonly isServerInUse?: (() => boolean) | undefined;
}

/** Why a request is not sent, though its connection is there. */
export const ATTEMPT_DENIAL = {
  /** The request may not be sent to any server. */
  dispatch: "dispatch",
  /** It may be sent to another server. */
  server: "server",
} as const;
/** One of the values in `ATTEMPT_DENIAL`. */
export type AttemptDenial = typeof ATTEMPT_DENIAL[keyof typeof ATTEMPT_DENIAL];

/**
 * Finds out immediately before the first byte whether a request may be sent.
 *
 * @param request - the request of the attempt
 * @returns why it may not be sent; undefined if it may
 */
export function findDenial(
  { mayDispatch, isServerInUse }: AttemptRequest,
): AttemptDenial | undefined {
  if (isServerInUse?.() === false) {
    return ATTEMPT_DENIAL.server;
  }
  return mayDispatch?.() === false ? ATTEMPT_DENIAL.dispatch : undefined;
}

/** Identifier that a response to an attempt bears. */
export interface ResponseIdentity {
  /** Undefined if responses name none. */
  readonly id: string | undefined;
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
 * @param head - status line and headers of the response
 * @param answered - requests that were answered before on the same connection
 * @returns the attempt if the response bears its identifier and no earlier request
 * had it; or if it bears none, unless it has to, or its connection has brought
 * others and a second status line stands within its head
 */
export function findResponseOwner(
  { id, readId, isAlwaysNamed }: ResponseIdentity,
  { reason, headers }: Pick<ReceivedHead, "reason" | "headers">,
  answered: AnsweredRequests,
): ResponseOwner {
  if (
    hasStatusLine(reason) ||
    (answered.size > 0 && Object.values(headers).some(hasStatusLine))
  ) {
    return RESPONSE_OWNER.other;
  }
  const responseId = readId(headers);
  if (responseId === undefined) {
    return isAlwaysNamed && answered.size > 0
      ? RESPONSE_OWNER.other
      : RESPONSE_OWNER.attempt;
  }
  if (responseId !== id) {
    return answered.has(responseId)
      ? RESPONSE_OWNER.earlier
      : RESPONSE_OWNER.other;
  }
  return answered.has(responseId)
    ? RESPONSE_OWNER.other
    : RESPONSE_OWNER.attempt;
}

// A copy of an earlier response that breaks off within its status line or a header
// swallows the status line of the response behind it.
function hasStatusLine(value: string | string[] | undefined): boolean {
  return STATUS_LINE.test(String(value));
}
