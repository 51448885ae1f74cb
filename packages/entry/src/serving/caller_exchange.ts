/** One request of a caller and the answer to it. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import type { RandomSource } from "@limpetford/core/time/random_source";
import type { RequestId } from "@limpetford/domain/ids";

import { HEADER } from "../dialect/header_names.ts";
import type { ServingDialect } from "../dialect/serving_dialect.ts";
import type { ReplayableResponse } from "../ports/idempotency_ledger.ts";
import { AnswerSink } from "./answer_sink.ts";
import type { Refusal } from "./refusal.ts";

/** What an exchange needs of its server. */
export interface ExchangeOptions {
  readonly id: RequestId;
  readonly receivedAtMs: number;
  readonly random: RandomSource;
  readonly dialect: ServingDialect;
  /** True if the connection is to be closed after the answer. */
  readonly isStopping: () => boolean;
  /** Called when the response is closed. */
  readonly releaseSocket: (socket: Duplex) => void;
}

/**
 * A caller's request with the means to answer it exactly once.
 */
export class CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly sink: AnswerSink;
  readonly id: RequestId;
  readonly receivedAtMs: number;
  readonly #options: ExchangeOptions;
  #goneListener: (() => void) | undefined;
  #isCallerGone = false;
  /** Kind of the refusal that was sent, if one was. */
  refusal: Refusal | undefined;

  /**
   * Wraps a request and its response.
   *
   * @param request - the request
   * @param response - the response, with no head sent
   * @param options - what it needs of its server
   */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    options: ExchangeOptions,
  ) {
    this.request = request;
    this.response = response;
    this.sink = new AnswerSink(response);
    this.id = options.id;
    this.receivedAtMs = options.receivedAtMs;
    this.#options = options;
    const { socket } = request;
    response.on("close", () => {
      this.#handleClose();
      options.releaseSocket(socket);
    });
    response.on("error", dropError);
    request.on("error", dropError);
  }

  /**
   * True if the caller left before its answer was whole.
   *
   * @returns the current value
   */
  get isCallerGone(): boolean {
    return this.#isCallerGone;
  }

  /**
   * Sets what to call when the caller leaves before its answer is whole.
   *
   * @param listener - the callback; called at once if the caller has left
   */
  setGoneListener(listener: () => void): void {
    this.#goneListener = listener;
    if (this.#isCallerGone) {
      listener();
    }
  }

  /**
   * Answers in place of a backend server.
   *
   * @param refusal - why
   */
  refuse(refusal: Refusal): void {
    this.refusal = refusal;
    if (this.#isCallerGone || this.sink.hasBegun) {
      return;
    }
    const isBodyLeft = !this.request.complete;
    this.#options.dialect.sendRefusal(this.response, refusal, {
      requestId: this.id,
      isLastOnConnection: isBodyLeft || this.#options.isStopping(),
      random: this.#options.random,
    });
  }

  /**
   * Answers with a JSON document.
   *
   * @param status - HTTP status
   * @param document - what to send
   */
  sendDocument(status: number, document: unknown): void {
    const body = Buffer.from(JSON.stringify(document));
    this.beginAnswer(status, [
      "content-type",
      "application/json",
      "content-length",
      String(body.length),
      "cache-control",
      "no-store",
    ]);
    this.response.end(body);
  }

  /**
   * Sends the head of an answer.
   *
   * @param status - HTTP status
   * @param headers - names and values in turn; taken over
   * @param isFramed - false for an answer that ends with its connection: its
   * length is not known to be whole, so none is stated
   */
  beginAnswer(status: number, headers: string[], isFramed = true): void {
    headers.push(...this.#options.dialect.listResponseHeaders(this.id));
    if (!isFramed) {
      this.response.useChunkedEncodingByDefault = false;
    }
    if (!isFramed || this.#options.isStopping() || !this.request.complete) {
      headers.push("connection", "close");
    }
    this.sink.begin(status, headers);
  }

  /**
   * Answers with a stored answer.
   *
   * @param answer - the answer of the first request with the same key
   */
  sendStored(answer: ReplayableResponse): void {
    if (this.#isCallerGone) {
      return;
    }
    const headers = answer.headers.flatMap(([name, value]) => [name, value]);
    headers.push(HEADER.replayed, "true");
    this.beginAnswer(answer.status, headers);
    this.response.end(answer.body);
  }

  #handleClose(): void {
    if (this.response.writableFinished) {
      return;
    }
    this.#isCallerGone = true;
    this.#goneListener?.();
  }
}

// Broken connections show in the close of the response.
function dropError(): void {
  return;
}
