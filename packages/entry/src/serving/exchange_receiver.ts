/** Sends a response to the caller. */

import { selectResponseHeaders } from "../dialect/header_filter.ts";
import type { ResponseHead } from "./attempt_listener.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { type Refusal, refuseUnknown } from "./refusal.ts";
import { isTruncationDetectable } from "./response_framing.ts";
import { ResponseReceiver } from "./response_receiver.ts";

/** Longest response without a length that a caller without chunks can get. */
const MAX_COLLECTED_BYTES = 262_144;

/** Options of an {@link ExchangeReceiver}. */
export interface ExchangeReceiverOptions {
  /** Called once, after the response or the refusal. */
  readonly complete: () => void;
  /**
   * Selects the headers that the caller gets, as alternating names and values;
   * default: those of a backend server's response.
   */
  readonly selectHeaders?: (headers: ResponseHead["headers"]) => string[];
}

// A response of which nothing can be sent before its length is known.
interface CollectedResponse {
  readonly head: ResponseHead;
  readonly chunks: Buffer[];
  bytes: number;
}

/**
 * Streams a response to a caller. If the response is truncated, the caller's
 * connection is broken, so that the caller detects it.
 */
export class ExchangeReceiver extends ResponseReceiver {
  readonly #exchange: CallerExchange;
  readonly #complete: () => void;
  readonly #selectHeaders: (headers: ResponseHead["headers"]) => string[];
  #status: number | undefined;
  #collected: CollectedResponse | undefined;
  #isRefused = false;

  /**
   * Prepares to stream one response.
   *
   * @param exchange - exchange of the caller
   * @param options - callback for the end, and selection of headers
   */
  constructor(
    exchange: CallerExchange,
    { complete, selectHeaders }: ExchangeReceiverOptions,
  ) {
    super();
    this.#exchange = exchange;
    this.#complete = complete;
    this.#selectHeaders = selectHeaders ?? selectResponseHeaders;
  }

  /**
   * HTTP status of the response.
   *
   * @returns undefined until the headers have been received
   */
  get status(): number | undefined {
    return this.#status;
  }

  /**
   * Bytes of the body that are collected until its length is known.
   *
   * @returns number of bytes
   */
  get collectedBytes(): number {
    return this.#collected?.bytes ?? 0;
  }

  override receiveHead(head: ResponseHead): void {
    this.#status = head.status;
    if (!this.#isOpen()) {
      return;
    }
    const { request } = this.#exchange;
    const names = Object.keys(head.headers);
    if (isTruncationDetectable(request, head.status, names)) {
      this.#exchange.beginResponse(
        head.status,
        this.#selectHeaders(head.headers),
      );
    } else {
      this.#collected = { head, chunks: [], bytes: 0 };
    }
  }

  override receiveChunk(chunk: Buffer): boolean {
    if (!this.#isOpen()) {
      return true;
    }
    if (this.#collected === undefined) {
      return this.#exchange.writer.write(chunk);
    }
    this.#collected.chunks.push(chunk);
    this.#collected.bytes += chunk.length;
    if (this.#collected.bytes > MAX_COLLECTED_BYTES) {
      this.#refuse(refuseUnknown("answer-malformed"));
    }
    return true;
  }

  override receiveEnd(last: Buffer | undefined): void {
    if (this.#collected !== undefined) {
      const { head, chunks } = this.#collected;
      this.#collected = undefined;
      this.receiveWhole(
        head,
        Buffer.concat(last === undefined ? chunks : [...chunks, last]),
      );
      return;
    }
    if (this.#isOpen()) {
      this.#exchange.writer.complete(last);
    }
    this.#complete();
  }

  override receiveWhole(head: ResponseHead, body: Buffer): void {
    this.#status = head.status;
    if (this.#isOpen()) {
      this.#exchange.sendWhole(
        head.status,
        this.#selectHeaders(head.headers),
        body,
      );
    }
    this.#complete();
  }

  override receiveCut(): void {
    if (this.#collected !== undefined) {
      this.#refuse(refuseUnknown("answer-cut"));
    } else if (this.#isOpen()) {
      this.#exchange.writer.abort();
    }
    this.#complete();
  }

  override receiveRefusal(refusal: Refusal): void {
    this.#refuse(refusal);
    this.#complete();
  }

  #isOpen(): boolean {
    return !this.#isRefused && !this.#exchange.isCallerDisconnected;
  }

  #refuse(refusal: Refusal): void {
    this.#isRefused = true;
    this.#collected = undefined;
    this.#exchange.refuse(refusal);
  }
}
