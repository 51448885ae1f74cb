/** Estimates and tracks the memory that a caller's request holds. */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

import { countHeaderBytes } from "../dialect/header_size.ts";
import type { ResponseHead } from "./attempt_listener.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { ExchangeReceiver } from "./exchange_receiver.ts";
import { type MemoryBudget, MemoryShare } from "./memory_budget.ts";
import type { Refusal } from "./refusal.ts";
import { readBodyLength } from "./request_body.ts";
import { ResponseReceiver } from "./response_receiver.ts";

/** Memory of a caller's connection, in bytes. */
const CONNECTION_BYTES = 6_144;
/**
 * Memory of a request besides its head and bodies, in bytes: its objects, its
 * timers, its place in queues and one attempt with a connection of its own.
 */
const REQUEST_BYTES = 14_336;
/** Memory of a body that is passed on while it is read, in bytes. */
const STREAMED_BODY_BYTES = 98_304;

/**
 * Counts a caller's connection until it is closed.
 *
 * @param budget - budget of the VM
 * @param socket - connection that was accepted
 */
export function trackConnection(budget: MemoryBudget, socket: Socket): void {
  budget.add(CONNECTION_BYTES);
  socket.once("close", () => {
    budget.release(CONNECTION_BYTES);
  });
}

/**
 * Opens the share of a request that was read, if the VM has room for it.
 *
 * @param budget - budget of the VM
 * @param exchange - exchange of the caller; its response has not begun
 * @returns the share; undefined if the request has to be refused
 */
export function openMemoryShare(
  budget: MemoryBudget,
  { request }: CallerExchange,
): MemoryShare | undefined {
  const share = new MemoryShare(budget);
  return share.reserve(estimateRequestBytes(request)) ? share : undefined;
}

/**
 * Estimates what a request holds while it is open.
 *
 * @param request - request whose body has not been read
 * @returns bytes, without those of the response and of a body of unknown length
 */
export function estimateRequestBytes(request: IncomingMessage): number {
  const headBytes = countHeaderBytes(request.rawHeaders) +
    (request.url ?? "").length;
  return REQUEST_BYTES + headBytes +
    Math.min(readBodyLength(request) ?? 0, STREAMED_BODY_BYTES);
}

/**
 * Counts the part of a response that the caller has not taken yet. Node keeps it
 * until then, also when the response is complete.
 */
export class UnsentBytesReceiver extends ResponseReceiver {
  readonly #receiver: ExchangeReceiver;
  readonly #exchange: CallerExchange;
  readonly #share: MemoryShare;
  #unsentBytes = 0;

  /**
   * Prepares to count for one response.
   *
   * @param receiver - writes the response to the caller
   * @param exchange - exchange of the caller
   * @param share - share of the request
   */
  constructor(
    receiver: ExchangeReceiver,
    exchange: CallerExchange,
    share: MemoryShare,
  ) {
    super();
    this.#receiver = receiver;
    this.#exchange = exchange;
    this.#share = share;
  }

  override receiveHead(head: ResponseHead): void {
    this.#receiver.receiveHead(head);
  }

  override receiveChunk(chunk: Buffer): boolean {
    const mayContinue = this.#receiver.receiveChunk(chunk);
    this.update();
    return mayContinue;
  }

  override receiveEnd(last: Buffer | undefined): void {
    this.#receiver.receiveEnd(last);
    this.update();
  }

  override receiveWhole(head: ResponseHead, body: Buffer): void {
    this.#receiver.receiveWhole(head, body);
    this.update();
  }

  override receiveCut(): void {
    this.#receiver.receiveCut();
  }

  override receiveRefusal(refusal: Refusal): void {
    this.#receiver.receiveRefusal(refusal);
  }

  override dropResponse(): boolean {
    return this.#receiver.dropResponse();
  }

  /** Counts again, after the caller has taken more. */
  update(): void {
    const unsentBytes = this.#exchange.response.writableLength +
      this.#receiver.collectedBytes;
    this.#share.add(unsentBytes - this.#unsentBytes);
    this.#unsentBytes = unsentBytes;
  }
}
