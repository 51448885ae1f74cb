/** Sends a backend server's response to the caller. */

import { selectResponseHeaders } from "../dialect/header_filter.ts";
import type { ResponseHead } from "./attempt_listener.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { Refusal } from "./refusal.ts";
import { checkResponseFraming } from "./response_framing.ts";
import { ResponseReceiver } from "./response_receiver.ts";

/**
 * Streams a response to a caller. If the response is truncated, the caller's
 * connection is broken, so that the caller detects it.
 */
export class ExchangeReceiver extends ResponseReceiver {
  readonly #exchange: CallerExchange;
  readonly #complete: () => void;
  #status: number | undefined;

  /**
   * Prepares to stream one response.
   *
   * @param exchange - exchange of the caller
   * @param complete - called once, after the response or the refusal
   */
  constructor(exchange: CallerExchange, complete: () => void) {
    super();
    this.#exchange = exchange;
    this.#complete = complete;
  }

  /**
   * HTTP status of the backend server's response.
   *
   * @returns undefined until the headers have been received
   */
  get status(): number | undefined {
    return this.#status;
  }

  override receiveHead(head: ResponseHead): void {
    this.#status = head.status;
    if (!this.#exchange.isCallerDisconnected) {
      const { method } = this.#exchange.request;
      this.#exchange.beginResponse(
        head.status,
        selectResponseHeaders(head.headers),
        checkResponseFraming(method ?? "GET", head.status, head.headers),
      );
    }
  }

  override receiveChunk(chunk: Buffer): boolean {
    return this.#exchange.isCallerDisconnected ||
      this.#exchange.writer.write(chunk);
  }

  override receiveEnd(last: Buffer | undefined): void {
    if (!this.#exchange.isCallerDisconnected) {
      this.#exchange.writer.complete(last);
    }
    this.#complete();
  }

  override receiveCut(): void {
    if (!this.#exchange.isCallerDisconnected) {
      this.#exchange.writer.abort();
    }
    this.#complete();
  }

  override receiveRefusal(refusal: Refusal): void {
    this.#exchange.refuse(refusal);
    this.#complete();
  }
}
