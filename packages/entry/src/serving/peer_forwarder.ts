/** Forwards a request to the VM that holds the shard of its team. */

import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";

import { HEADER, isHopByHop } from "../dialect/header_names.ts";
import { EXCEPTION_SOURCE } from "../telemetry/contained_exceptions.ts";
import type { HopSpan } from "../telemetry/span_recorder.ts";
import {
  type AttemptFailure,
  AttemptListener,
  type ResponseHead,
} from "./attempt_listener.ts";
import { readAttemptId } from "./attempt_request.ts";
import { BackendAttempt } from "./backend_attempt.ts";
import type { BackendConnectionPool } from "./backend_connection_pool.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { PresentedKey } from "./caller_key.ts";
import { ExchangeReceiver } from "./exchange_receiver.ts";
import { GuardedListener } from "./guarded_listener.ts";
import { refuseNotRun, refuseUnknown } from "./refusal.ts";
import type { OutboundRequest } from "./response_receiver.ts";
import type { ServingPorts } from "./serving_ports.ts";
import { StepGuard } from "./step_guard.ts";

/** Dependencies of a forwarded request. */
export interface PeerForwarderOptions {
  readonly ports: ServingPorts;
  /** Connections to the caller ports of the other VMs. */
  readonly connections: BackendConnectionPool;
  readonly key: PresentedKey | undefined;
  /** Called once, after the response or the refusal. */
  readonly complete: () => void;
}

/**
 * Sends a request once to another VM and streams its response back to the
 * caller. The other VM authenticates the API key again and decides on limits,
 * claims and placement.
 */
export class PeerForwarder extends AttemptListener {
  readonly #request: OutboundRequest;
  readonly #options: PeerForwarderOptions;
  readonly #receiver: ExchangeReceiver;
  readonly #guard: StepGuard;
  readonly #listener: GuardedListener;
  #attempt: BackendAttempt | undefined;
  #span: HopSpan | undefined;
  #hasHead = false;
  #hasEnded = false;

  /**
   * Prepares to forward a request; nothing is sent before {@link start}.
   *
   * @param exchange - exchange of the caller
   * @param request - outbound request
   * @param options - ports, connection pool and API key
   */
  constructor(
    exchange: CallerExchange,
    request: OutboundRequest,
    options: PeerForwarderOptions,
  ) {
    super();
    this.#request = request;
    this.#options = options;
    this.#receiver = new ExchangeReceiver(exchange, {
      complete: () => {
        this.#complete();
      },
      selectHeaders: selectPeerHeaders,
    });
    this.#guard = new StepGuard({
      exceptions: options.ports.exceptions,
      source: EXCEPTION_SOURCE.caller,
      abort: () => {
        this.#abort(exchange);
      },
    });
    this.#listener = new GuardedListener(this, this.#guard);
  }

  /**
   * HTTP status of the other VM's response.
   *
   * @returns undefined until the headers have been received
   */
  get status(): number | undefined {
    return this.#receiver.status;
  }

  /**
   * Sends the request.
   *
   * @param to - caller address of the other VM
   */
  start(to: SocketAddress): void {
    const { context, body } = this.#request;
    const { clock, exceptions, spans } = this.#options.ports;
    this.#span = spans?.open(
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
        // The other VM has taken the identifiers of attempts off.
        identity: {
          id: undefined,
          readId: readAttemptId,
          isAlwaysNamed: false,
        },
        mayEndWithConnection: false,
        isProven: () => true,
        mayDispatch: undefined,
      },
      this.#options.connections.acquire(to, undefined),
      { clock, exceptions, listener: this.#listener },
    );
    this.#attempt.start();
  }

  /** Cancels the request because its deadline has passed. */
  expire(): void {
    this.#guard.run(() => this.#attempt?.cancel("timed-out"));
  }

  /** Continues a response that was paused for a slow caller. */
  resume(): void {
    this.#guard.run(() => this.#attempt?.resume());
  }

  override receiveHead(_attempt: BackendAttempt, head: ResponseHead): void {
    this.#hasHead = true;
    this.#receiver.receiveHead(head);
  }

  override receiveChunk(_attempt: BackendAttempt, chunk: Buffer): boolean {
    return this.#receiver.receiveChunk(chunk);
  }

  override receiveEnd(
    _attempt: BackendAttempt,
    last: Buffer | undefined,
  ): void {
    this.#receiver.receiveEnd(last);
  }

  override receiveFailure(
    _attempt: BackendAttempt,
    { outcome, mayHaveRun }: AttemptFailure,
  ): void {
    if (this.#hasEnded) {
      return;
    }
    if (this.#hasHead) {
      this.#receiver.receiveCut();
      return;
    }
    const kind = outcome === "timed-out" ? "deadline-passed" : "peer-failed";
    this.#receiver.receiveRefusal(
      mayHaveRun ? refuseUnknown(kind) : refuseNotRun(kind),
    );
  }

  // What was known of the attempt may have been lost with the exception.
  #abort(exchange: CallerExchange): void {
    const mayHaveRun = this.#attempt?.mayHaveRun === true;
    this.#complete();
    this.#guard.run(() => this.#attempt?.cancel("cancelled"));
    exchange.abort((mayHaveRun ? refuseUnknown : refuseNotRun)("vm-busy"));
  }

  #complete(): void {
    if (this.#hasEnded) {
      return;
    }
    this.#hasEnded = true;
    this.#guard.offer(() => this.#span?.close(this.status));
    this.#options.complete();
  }

  #buildHeaders(): string[] {
    const { context, headers } = this.#request;
    const traceparent = this.#span?.traceparent ?? this.#request.traceparent;
    const nowMs = this.#options.ports.clock.readMonotonicMs();
    const remainingMs = Math.max(1, Math.floor(context.deadlineAtMs - nowMs));
    const all = [
      ...headers,
      HEADER.requestTimeoutMs,
      String(remainingMs),
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

function selectPeerHeaders(headers: ResponseHead["headers"]): string[] {
  const selected: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (isHopByHop(name) || name === HEADER.requestId || value === undefined) {
      continue;
    }
    for (const single of typeof value === "string" ? [value] : value) {
      selected.push(name, single);
    }
  }
  return selected;
}
