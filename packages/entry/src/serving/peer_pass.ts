/** Passes a request on to the VM that holds its team's requests. */

import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";

import { HEADER, isHopByHop } from "../dialect/header_names.ts";
import type { HopSpan } from "../telemetry/span_recorder.ts";
import type { OutboundRequest } from "./response_receiver.ts";
import {
  type AttemptFailure,
  AttemptListener,
  BackendAttempt,
  type ResponseHead,
} from "./backend_attempt.ts";
import type { BackendConnections } from "./backend_connections.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { PresentedKey } from "./caller_key.ts";
import { refuseNotRun, refuseUnknown } from "./refusal.ts";
import type { ServingPorts } from "./serving_ports.ts";

/** What passing on works with. */
export interface PeerPassOptions {
  readonly ports: ServingPorts;
  /** Connections to the other VMs' callers' ports. */
  readonly connections: BackendConnections;
  readonly key: PresentedKey | undefined;
  /** Called once, when nothing more will come. */
  readonly complete: () => void;
}

/**
 * Sends a request once to another VM and streams its answer back. The other VM
 * checks the key again and makes all decisions.
 */
export class PeerPass extends AttemptListener {
  readonly #exchange: CallerExchange;
  readonly #request: OutboundRequest;
  readonly #options: PeerPassOptions;
  #attempt: BackendAttempt | undefined;
  #span: HopSpan | undefined;
  #isBegun = false;
  #status: number | undefined;

  /**
   * Prepares to pass a request on.
   *
   * @param exchange - the caller's request
   * @param request - what to send
   * @param options - what it works with
   */
  constructor(
    exchange: CallerExchange,
    request: OutboundRequest,
    options: PeerPassOptions,
  ) {
    super();
    this.#exchange = exchange;
    this.#request = request;
    this.#options = options;
  }

  /**
   * Status of the answer, once its head has come.
   *
   * @returns the current value
   */
  get status(): number | undefined {
    return this.#status;
  }

  /**
   * Sends the request.
   *
   * @param to - where the other VM serves callers
   */
  start(to: SocketAddress): void {
    const { context, body } = this.#request;
    this.#span = this.#options.ports.spans?.open(
      "peer",
      this.#request.traceparent,
      {
        requestId: context.id,
        method: context.method,
        route: context.route.id,
        peer: formatAddress(to),
      },
    );
    this.#attempt = new BackendAttempt(
      {
        method: context.method,
        target: context.target,
        headers: this.#buildHeaders(),
        body,
        isResponseToAttempt: (headers) =>
          headers[HEADER.attemptId] === undefined,
        mayEndWithConnection: false,
        mayDispatch: undefined,
      },
      this.#options.connections.take(to),
      { clock: this.#options.ports.clock, listener: this },
    );
    this.#attempt.start();
  }

  /** Gives up: the time is up. */
  expire(): void {
    this.#attempt?.cancel("timed-out");
  }

  /** Lets chunks come again. */
  resume(): void {
    this.#attempt?.resume();
  }

  override receiveHead(_attempt: BackendAttempt, head: ResponseHead): void {
    this.#isBegun = true;
    this.#status = head.status;
    if (!this.#exchange.isCallerGone) {
      this.#exchange.beginAnswer(head.status, selectPeerHeaders(head));
    }
  }

  override receiveChunk(_attempt: BackendAttempt, chunk: Buffer): boolean {
    return this.#exchange.isCallerGone || this.#exchange.sink.write(chunk);
  }

  override receiveEnd(
    _attempt: BackendAttempt,
    last: Buffer | undefined,
  ): void {
    if (!this.#exchange.isCallerGone) {
      this.#exchange.sink.complete(last);
    }
    this.#complete();
  }

  override receiveFailure(
    _attempt: BackendAttempt,
    failure: AttemptFailure,
  ): void {
    if (this.#isBegun) {
      this.#exchange.sink.abort();
    } else if (failure.outcome === "timed-out") {
      this.#exchange.refuse(
        failure.mayHaveRun
          ? refuseUnknown("deadline-passed")
          : refuseNotRun("deadline-passed"),
      );
    } else {
      this.#exchange.refuse(
        failure.mayHaveRun
          ? refuseUnknown("peer-failed")
          : refuseNotRun("peer-failed"),
      );
    }
    this.#complete();
  }

  #complete(): void {
    this.#span?.close(this.#status);
    this.#options.complete();
  }

  #buildHeaders(): string[] {
    const { context, headers } = this.#request;
    const traceparent = this.#span?.traceparent ?? this.#request.traceparent;
    const nowMs = this.#options.ports.clock.readMonotonicMs();
    const leftMs = Math.max(1, Math.floor(context.deadlineAtMs - nowMs));
    const all = [
      ...headers,
      HEADER.requestTimeoutMs,
      String(leftMs),
      HEADER.requestId,
      context.id,
      HEADER.passedOn,
      "1",
    ];
    if (this.#options.key !== undefined) {
      all.push("authorization", `Bearer ${this.#options.key.secret}`);
    }
    if (traceparent !== undefined) {
      all.push(HEADER.traceparent, traceparent);
    }
    return all;
  }
}

function selectPeerHeaders(head: ResponseHead): string[] {
  const selected: string[] = [];
  for (const [name, value] of Object.entries(head.headers)) {
    if (isHopByHop(name) || name === HEADER.requestId || value === undefined) {
      continue;
    }
    for (const single of typeof value === "string" ? [value] : value) {
      selected.push(name, single);
    }
  }
  return selected;
}
