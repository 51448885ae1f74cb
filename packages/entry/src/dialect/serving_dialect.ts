/** Contract of an HTTP dialect: how heads of requests and responses look. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import type { RandomSource } from "@limpetford/core/time/random_source";
import type { RequestId, ServerId } from "@limpetford/domain/ids";
import type { Result } from "@limpetford/domain/result";
import type { ServerNotice } from "@limpetford/domain/server_notice";

import type { RequestContext } from "../ports/request_context.ts";
import type { AttemptOutcome } from "../ports/server_router.ts";
import type {
  Arrival,
  RequestTimes,
  UnreadArrival,
} from "../serving/arrival.ts";
import type { ResponseHead } from "../serving/attempt_listener.ts";
import type { AttemptRequest } from "../serving/attempt_message.ts";
import type { CallerExchange } from "../serving/caller_exchange.ts";
import type { PresentedKey } from "../serving/caller_key.ts";
import type { Refusal } from "../serving/refusal.ts";
import type { Admission } from "../serving/request_admission.ts";
import type { OutboundRequest } from "../serving/response_receiver.ts";
import type { ForwardingTerms } from "./forwarding_headers.ts";

/** Properties of one attempt that differ from those of other attempts. */
export interface AttemptDetails {
  /** 1 for the first attempt. */
  readonly number: number;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Trace context of this attempt's span; undefined without one. */
  readonly traceparent: string | undefined;
  /** Backend server that the attempt is sent to. */
  readonly server: ServerId;
  /** Set if another VM sends the request to a server. */
  readonly forwarding?: Pick<ForwardingTerms, "attempts" | "isCounted">;
}

/** Classification of a backend server's response by its head. */
export interface ResponseClassification {
  readonly outcome: Extract<AttemptOutcome, "served" | "failed" | "shed">;
  /** True if the backend server certainly did not run the request. */
  readonly isNotRun: boolean;
  /**
   * False if a copy of the response could not be told from the response to a later
   * request; absent if servers send none.
   */
  readonly isIdentified?: boolean;
  /**
   * True if the status promises the caller that the request was not run, although
   * that is not certain.
   */
  readonly isFalsePromise?: boolean;
  /** True if no other attempt may follow, whatever the outcome. */
  readonly isFinal?: boolean;
  /** Delay before the caller should retry, in ms; absent without one. */
  readonly retryAfterMs?: number | undefined;
  /** State of the server; absent if the response does not speak for it. */
  readonly notice?: ServerNotice | undefined;
}

/** Properties of the request that a refusal's response depends on. */
export interface RefusalOptions {
  readonly requestId: string;
  /** True to close the connection after the response. */
  readonly isLastOnConnection: boolean;
  /** True if another VM has forwarded the request. */
  readonly isForwarded: boolean;
  readonly random: RandomSource;
}

/** What of a request's head decides on its timeout. */
export type RequestHead = Pick<IncomingMessage, "headers" | "method" | "url">;

/**
 * Parses and builds the heads of requests and responses. The pipeline that
 * processes requests in between is the same for every dialect.
 */
export abstract class ServingDialect {
  /**
   * Number of response bytes that are buffered before any is forwarded, so that
   * a broken response can still be replaced; 0 forwards them immediately.
   */
  abstract readonly bufferedResponseBytes: number;

  /**
   * Finds the identifier that the caller assigned to its request.
   *
   * @param request - the caller's request
   * @returns the identifier; undefined to have one generated
   */
  abstract findRequestId(request: IncomingMessage): RequestId | undefined;

  /**
   * Handles a request to limpetford's own endpoints.
   *
   * @param exchange - the request and its response
   * @param isStopping - true once a graceful stop has begun
   * @returns false if the request is meant for a backend server
   */
  abstract handleOwnRequest(
    exchange: CallerExchange,
    isStopping: boolean,
  ): boolean;

  /**
   * Checks a request's head against the active configuration.
   *
   * @param request - the caller's request
   * @param arrival - time of arrival and identifier of the request
   * @returns the admitted request's context and key, or why it is refused
   */
  abstract admit(
    request: IncomingMessage,
    arrival: Arrival,
  ): Result<Admission, Refusal>;

  /**
   * Estimates the time in which a request can be served, before it is admitted.
   *
   * @param request - head of the caller's request
   * @param arrival - time of arrival
   * @returns the time; without limits if it is not known
   */
  abstract estimateTimes(
    request: RequestHead,
    arrival: UnreadArrival,
  ): RequestTimes;

  /**
   * Checks whether a request must be claimed in the idempotency ledger before
   * it is sent to a backend server.
   *
   * @param context - the admitted request
   * @returns false if the request is not deduplicated
   */
  abstract isClaimed(context: RequestContext): boolean;

  /**
   * Selects the caller's headers that are forwarded to a backend server.
   *
   * @param rawHeaders - alternating names and values, as received
   * @param key - the caller's key, which must not be forwarded
   * @returns alternating names in lower case and values
   */
  abstract selectRequestHeaders(
    rawHeaders: readonly string[],
    key: PresentedKey | undefined,
  ): string[];

  /**
   * Builds the request of one attempt, with the time left until the deadline.
   *
   * @param request - properties that all attempts share
   * @param details - properties of this attempt
   * @returns the request to send to the backend server
   */
  abstract buildAttempt(
    request: OutboundRequest,
    details: AttemptDetails,
  ): AttemptRequest;

  /**
   * Classifies a backend server's response.
   *
   * @param head - status and headers of the response
   * @param isForwarded - true if another VM sent it
   * @returns outcome of the attempt, and whether the request was not run
   */
  abstract readResponse(
    head: ResponseHead,
    isForwarded?: boolean,
  ): ResponseClassification;

  /**
   * Lists the headers that are added to a response forwarded to the caller.
   *
   * @param requestId - identifier of the request
   * @returns alternating names and values
   */
  abstract listResponseHeaders(requestId: RequestId): readonly string[];

  /**
   * Sends the error response to a refused request.
   *
   * @param response - response whose head has not been sent
   * @param refusal - why no backend server's response is returned
   * @param options - properties of the request, and the source of the jitter
   */
  abstract sendRefusal(
    response: ServerResponse,
    refusal: Refusal,
    options: RefusalOptions,
  ): void;

  /**
   * Responds to a request that the HTTP parser rejected, and closes the
   * connection.
   *
   * @param error - the parser's error
   * @param socket - the caller's connection
   * @param isBusy - true while the connection serves an earlier request
   */
  abstract refuseMalformed(
    error: NodeJS.ErrnoException,
    socket: Duplex,
    isBusy: boolean,
  ): void;
}
