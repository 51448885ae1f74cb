/** Hands a backend server's answer to the caller. */

import { selectResponseHeaders } from "../dialect/header_filter.ts";
import { checkAnswerFraming } from "./answer_framing.ts";
import { AnswerReceiver } from "./response_receiver.ts";
import type { ResponseHead } from "./backend_attempt.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { Refusal } from "./refusal.ts";

/**
 * Streams an answer to a caller, whole or visibly broken.
 */
export class ExchangeReceiver extends AnswerReceiver {
  readonly #exchange: CallerExchange;
  readonly #complete: () => void;
  #status: number | undefined;

  /**
   * Prepares to answer.
   *
   * @param exchange - the caller's request
   * @param complete - called once, when nothing more will come
   */
  constructor(exchange: CallerExchange, complete: () => void) {
    super();
    this.#exchange = exchange;
    this.#complete = complete;
  }

  /**
   * Status of the answer, once its head has come.
   *
   * @returns the current value
   */
  get status(): number | undefined {
    return this.#status;
  }

  override receiveHead(head: ResponseHead): void {
    this.#status = head.status;
    if (!this.#exchange.isCallerGone) {
      const { method } = this.#exchange.request;
      this.#exchange.beginAnswer(
        head.status,
        selectResponseHeaders(head.headers),
        checkAnswerFraming(method ?? "GET", head.status, head.headers),
      );
    }
  }

  override receiveChunk(chunk: Buffer): boolean {
    return this.#exchange.isCallerGone || this.#exchange.sink.write(chunk);
  }

  override receiveEnd(last: Buffer | undefined): void {
    if (!this.#exchange.isCallerGone) {
      this.#exchange.sink.complete(last);
    }
    this.#complete();
  }

  override receiveCut(): void {
    if (!this.#exchange.isCallerGone) {
      this.#exchange.sink.abort();
    }
    this.#complete();
  }

  override receiveRefusal(refusal: Refusal): void {
    this.#exchange.refuse(refusal);
    this.#complete();
  }
}
