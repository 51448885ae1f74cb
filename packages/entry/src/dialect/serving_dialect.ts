/** What differs between the interfaces that callers and backend servers speak. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import type { RandomSource } from "@limpetford/core/time/random_source";
import type { RequestId, ServerId } from "@limpetford/domain/ids";
import type { Result } from "@limpetford/domain/result";

import type { RequestContext } from "../ports/request_context.ts";
import type { AttemptOutcome } from "../ports/server_router.ts";
import type { OutboundRequest } from "../serving/response_receiver.ts";
import type {
  AttemptRequest,
  ResponseHead,
} from "../serving/backend_attempt.ts";
import type { CallerExchange } from "../serving/caller_exchange.ts";
import type { PresentedKey } from "../serving/caller_key.ts";
import type { Refusal } from "../serving/refusal.ts";
import type { Admission, Arrival } from "../serving/request_admission.ts";

/** What differs from attempt to attempt. */
export interface AttemptDetails {
  /** 1 for the first attempt. */
  readonly number: number;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Set if this hop has a span of its own. */
  readonly traceparent: string | undefined;
  readonly server: ServerId;
}

/** What the head of a backend server's answer means. */
export interface ResponseClassification {
  readonly outcome: Extract<AttemptOutcome, "served" | "failed" | "shed">;
  /** True if the backend server certainly did not run the request. */
  readonly isNotRun: boolean;
}

/** What a refusal needs of its request. */
export interface RefusalOptions {
  readonly requestId: string;
  readonly isLastOnConnection: boolean;
  readonly random: RandomSource;
}

/**
 * Reads and writes the heads of requests and answers. The pipeline between
 * them is the same for every dialect.
 */
export abstract class ServingDialect {
  /**
   * Bytes of an answer that are read before any is passed on, so that a broken
   * answer can be replaced; 0 passes on at once.
   */
  abstract readonly bufferedResponseBytes: number;

  /**
   * Finds the identifier that the caller gave its request.
   *
   * @param request - the request
   * @returns the identifier, or undefined to have one generated
   */
  abstract findRequestId(request: IncomingMessage): RequestId | undefined;

  /**
   * Answers requests that are meant for limpetford itself.
   *
   * @param exchange - the request
   * @param isStopping - true during a planned stop
   * @returns false if the request is not one of them
   */
  abstract handleOwnRequest(
    exchange: CallerExchange,
    isStopping: boolean,
  ): boolean;

  /**
   * Checks a request's head against the configuration in force.
   *
   * @param request - the request
   * @param arrival - when and as what it came
   * @returns the request's context, or why it is refused
   */
  abstract admit(
    request: IncomingMessage,
    arrival: Arrival,
  ): Result<Admission, Refusal>;

  /**
   * Decides whether the ledger records a request before it is sent.
   *
   * @param context - the request
   * @returns false if each request is sent on its own account
   */
  abstract isClaimed(context: RequestContext): boolean;

  /**
   * Selects the headers that a backend server gets.
   *
   * @param rawHeaders - names and values in turn, as they came
   * @param key - the caller's key, which must not be passed on
   * @returns names in lower case and values in turn
   */
  abstract selectRequestHeaders(
    rawHeaders: readonly string[],
    key: PresentedKey | undefined,
  ): string[];

  /**
   * Builds one attempt at a request. It carries the time that is left.
   *
   * @param request - the request
   * @param details - what differs from the other attempts
   * @returns what to send
   */
  abstract buildAttempt(
    request: OutboundRequest,
    details: AttemptDetails,
  ): AttemptRequest;

  /**
   * Reads what an answer means.
   *
   * @param head - its head
   * @returns the meaning
   */
  abstract readResponse(head: ResponseHead): ResponseClassification;

  /**
   * Lists the headers that are added to a backend server's answer.
   *
   * @param requestId - identifier of the request
   * @returns names and values in turn
   */
  abstract listResponseHeaders(requestId: RequestId): readonly string[];

  /**
   * Answers in place of a backend server.
   *
   * @param response - the response, with no head sent
   * @param refusal - why
   * @param options - what it needs of the request
   */
  abstract sendRefusal(
    response: ServerResponse,
    refusal: Refusal,
    options: RefusalOptions,
  ): void;

  /**
   * Answers what the HTTP parser rejected, and closes the connection.
   *
   * @param error - the parser's error
   * @param socket - the connection
   * @param isBusy - true while it carries a request
   */
  abstract refuseMalformed(
    error: NodeJS.ErrnoException,
    socket: Duplex,
    isBusy: boolean,
  ): void;
}
