/** A caller's request and the response to it. */

import type { IncomingMessage, ServerResponse } from "node:http";

import type { RandomSource } from "@limpetford/core/time/random_source";
import type { RequestId } from "@limpetford/domain/ids";
import { FORWARDED_HEADER } from "@limpetford/peer/call_protocol";

import {
  FORWARDED_RESULT,
  type ForwardingTerms,
} from "../dialect/forwarding_headers.ts";
import { HEADER } from "../dialect/header_names.ts";
import type { ServingDialect } from "../dialect/serving_dialect.ts";
import { closeBehindBody } from "../http/close_behind_body.ts";
import type { ReplayableResponse } from "../ports/idempotency_ledger.ts";
import { type RequestTimes, UNLIMITED_TIMES } from "./arrival.ts";
import type { Refusal } from "./refusal.ts";
import { hasBody } from "./response_framing.ts";
import { ResponseWriter } from "./response_writer.ts";

/** Context in which an exchange is created. */
export interface ExchangeOptions {
  readonly id: RequestId;
  /** Monotonic time, in milliseconds. */
  readonly receivedAtMs: number;
  /** Longest time for which the request may have lain unread. */
  readonly maxUnreadMs: number;
  /** Time for which it has certainly lain unread, in milliseconds. */
  readonly minUnreadMs: number;
  /** Time for which it is likely to have lain unread, in milliseconds. */
  readonly likelyUnreadMs: number;
  /** Set if another VM has forwarded the request to this one. */
  readonly forwarding?: ForwardingTerms | undefined;
  readonly random: RandomSource;
  readonly dialect: ServingDialect;
  /** Returns true if the connection is to be closed after the response. */
  readonly isStopping: () => boolean;
  /** Returns true if a later request of the connection waits for its response. */
  readonly isFollowed: (exchange: CallerExchange) => boolean;
  /** Called when the response is complete or its connection is closed. */
  readonly releaseExchange: (exchange: CallerExchange) => void;
}

/**
 * A caller's request and the response that is sent to it, either from a backend
 * server or from limpetford itself.
 */
export class CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly writer: ResponseWriter;
  readonly id: RequestId;
  readonly receivedAtMs: number;
  readonly maxUnreadMs: number;
  readonly minUnreadMs: number;
  readonly likelyUnreadMs: number;
  readonly forwarding: ForwardingTerms | undefined;
  readonly #options: ExchangeOptions;
  /** Resolves when nothing of the response can be sent any more. */
  readonly closed: Promise<void>;
  #resolveClosed: () => void = () => undefined;
  #disconnectListener: (() => void) | undefined;
  #isCallerDisconnected = false;
  #isLastOnConnection = false;
  /** Refusal that limpetford answered with, if it did. */
  refusal: Refusal | undefined;

  /**
   * Wraps a request and its response, whose headers have not been sent.
   *
   * @param request - request of Node's HTTP server
   * @param response - response of Node's HTTP server
   * @param options - identifier, arrival time and state of the server
   */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    options: ExchangeOptions,
  ) {
    this.request = request;
    this.response = response;
    this.writer = new ResponseWriter(response);
    this.id = options.id;
    this.receivedAtMs = options.receivedAtMs;
    this.maxUnreadMs = options.maxUnreadMs;
    this.minUnreadMs = options.minUnreadMs;
    this.likelyUnreadMs = options.likelyUnreadMs;
    this.forwarding = options.forwarding;
    this.#options = options;
    this.closed = new Promise((resolve) => {
      this.#resolveClosed = resolve;
    });
    response.on("close", () => {
      this.handleClose();
    });
    response.on("error", handleIgnoredError);
    request.on("error", handleIgnoredError);
  }

  /**
   * Whether the caller disconnected before the response was complete.
   *
   * @returns true if nothing more can be sent
   */
  get isCallerDisconnected(): boolean {
    return this.#isCallerDisconnected;
  }

  /**
   * Whether the response says that the connection is closed behind it.
   *
   * @returns true if no later request of the connection can be answered
   */
  get isLastOnConnection(): boolean {
    return this.#isLastOnConnection;
  }

  /**
   * Estimates the time in which the request can be served, before it is admitted.
   *
   * @returns the time; without limits if it is not known
   */
  estimateTimes(): RequestTimes {
    try {
      return this.#options.dialect.estimateTimes(this.request, this);
    } catch {
      // What is thrown here, the admission throws again.
      return UNLIMITED_TIMES;
    }
  }

  /**
   * Sets the callback for a caller that disconnects before the response is
   * complete.
   *
   * @param listener - called at once if the caller has already disconnected
   */
  setDisconnectListener(listener: () => void): void {
    this.#disconnectListener = listener;
    if (this.#isCallerDisconnected) {
      listener();
    }
  }

  /**
   * Sends a refusal in place of a backend server's response. Does nothing if a
   * response has begun or the caller has disconnected.
   *
   * @param refusal - reason and outcome to report
   */
  refuse(refusal: Refusal): void {
    this.refusal = refusal;
    if (this.#isCallerDisconnected || this.writer.hasSentHeaders) {
      return;
    }
    this.#isLastOnConnection = this.#shouldCloseConnection();
    this.#options.dialect.sendRefusal(this.response, refusal, {
      requestId: this.id,
      isLastOnConnection: this.#isLastOnConnection,
      isForwarded: this.forwarding !== undefined,
      random: this.#options.random,
    });
  }

  /**
   * Ends an exchange whose handling threw: by a refusal or, if the response has
   * begun, by a broken connection. A response that was sent whole stays.
   *
   * @param refusal - reason and outcome to report
   */
  abort(refusal: Refusal): void {
    try {
      if (!this.response.writableEnded) {
        this.refuse(refusal);
      }
    } catch {
      // The connection is broken instead.
    }
    if (!this.response.writableEnded) {
      this.writer.abort();
    }
  }

  /**
   * Sends a JSON document as the response.
   *
   * @param status - HTTP status
   * @param document - value that `JSON.stringify` can write
   */
  sendDocument(status: number, document: unknown): void {
    const body = Buffer.from(JSON.stringify(document));
    this.sendWhole(status, [
      "content-type",
      "application/json",
      "cache-control",
      "no-store",
    ], body);
  }

  /**
   * Sends status and headers. Without a length the body follows in chunks, whatever
   * the framing of the server's response was: if the connection or this process ends
   * before the last chunk, the caller knows that the response was cut.
   *
   * @param status - HTTP status
   * @param headers - alternating names and values; the array is modified
   */
  beginResponse(status: number, headers: string[]): void {
    headers.push(...this.#options.dialect.listResponseHeaders(this.id));
    if (this.forwarding !== undefined) {
      headers.push(FORWARDED_HEADER, FORWARDED_RESULT.answered);
    }
    this.#isLastOnConnection = this.#shouldCloseConnection();
    if (this.#isLastOnConnection) {
      headers.push("connection", "close");
    }
    this.writer.writeHeaders(status, headers);
  }

  /**
   * Sends a response whose whole body is known, with its length.
   *
   * @param status - HTTP status
   * @param headers - alternating names and values; the array is modified
   * @param body - the whole body
   */
  sendWhole(status: number, headers: string[], body: Uint8Array): void {
    const isSized = headers.some((value, index) =>
      index % 2 === 0 && value === "content-length"
    );
    if (!isSized && hasBody(this.request.method, status)) {
      headers.push("content-length", String(body.length));
    }
    this.beginResponse(status, headers);
    this.writer.complete(body.length === 0 ? undefined : body);
  }

  /**
   * Replays a stored response.
   *
   * @param stored - response to the first request with the same key
   */
  sendStoredResponse(stored: ReplayableResponse): void {
    if (this.#isCallerDisconnected) {
      return;
    }
    const headers = stored.headers.flatMap(([name, value]) => [name, value]);
    headers.push(HEADER.replayed, "true");
    this.sendWhole(stored.status, headers, stored.body);
  }

  /** Called when the caller has ended its connection, before it is closed. */
  handleEnd(): void {
    if (!this.response.writableEnded) {
      this.#markDisconnected();
    }
  }

  /**
   * Called when the response or its connection is closed. A response that waits
   * behind another one on its connection is not closed with it.
   */
  handleClose(): void {
    if (!this.response.writableFinished) {
      this.#markDisconnected();
    }
    this.#resolveClosed();
    this.#options.releaseExchange(this);
  }

  // A request that follows is read only behind the whole body of this one.
  #shouldCloseConnection(): boolean {
    const { isStopping, isFollowed } = this.#options;
    if (!this.request.complete) {
      closeBehindBody(this.request);
      return true;
    }
    return isStopping() && !isFollowed(this);
  }

  #markDisconnected(): void {
    if (!this.#isCallerDisconnected) {
      this.#isCallerDisconnected = true;
      this.#disconnectListener?.();
    }
  }
}

// A broken connection is handled by the "close" event of the response.
function handleIgnoredError(): void {
  return;
}
