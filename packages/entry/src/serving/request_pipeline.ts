/** Serves a caller's request from admission to the end of the response. */

import { PassThrough } from "node:stream";

import type { ServingDialect } from "../dialect/serving_dialect.ts";
import { hasExpired } from "../ports/request_context.ts";
import { EXCEPTION_SOURCE } from "../telemetry/contained_exceptions.ts";
import type { AcceptQueueMonitor } from "../vm/accept_queue_monitor.ts";
import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import {
  type AdmittedExchange,
  buildOutboundRequest,
  type OpenedExchange,
  openEntrySpan,
  refuseOverRate,
} from "./admitted_exchange.ts";
import { ArrivalQueue, MIN_RETRY_MS } from "./arrival_queue.ts";
import { AttemptSeries } from "./attempt_series.ts";
import type { BackendConnectionPool } from "./backend_connection_pool.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { ClaimedRequestHandler } from "./claimed_request_handler.ts";
import { ExchangeReceiver } from "./exchange_receiver.ts";
import { InFlightRequests } from "./in_flight_requests.ts";
import { MemoryBudget, type MemoryShare } from "./memory_budget.ts";
import {
  DEFAULT_BODY_BUDGET_BYTES,
  DEFAULT_STORED_RESPONSE_BYTES,
  DEFAULT_STREAM_ABOVE_BYTES,
  type PipelineOptions,
} from "./pipeline_options.ts";
import { refuseNotRun, refuseUnknown } from "./refusal.ts";
import type { Admission } from "./request_admission.ts";
import {
  BodyBudget,
  type BufferedBody,
  hasBody,
  NO_BODY,
  readBody,
  readBodyLength,
} from "./request_body.ts";
import { RequestExplanations, RequestRecord } from "./request_explanations.ts";
import { openMemoryShare, UnsentBytesReceiver } from "./request_memory.ts";
import type { OutboundRequest } from "./response_receiver.ts";
import type { ServingPorts } from "./serving_ports.ts";

/**
 * Serves requests: admits them, takes a token from the rate limiter, claims
 * those that are not idempotent, and sends them to backend servers.
 */
export class RequestPipeline {
  readonly explanations = new RequestExplanations();
  /** Requests that wait for their turn. */
  readonly arrivals: ArrivalQueue;
  /** What open requests and connections hold. */
  readonly memory: MemoryBudget;
  readonly #ports: ServingPorts;
  readonly #dialect: ServingDialect;
  readonly #connections: BackendConnectionPool;
  readonly #peerConnections: BackendConnectionPool;
  readonly #claimedHandler: ClaimedRequestHandler;
  readonly #bodyBudget: BodyBudget;
  readonly #streamAboveBytes: number;
  readonly #inFlight = new InFlightRequests();
  /** Unclaimed requests in flight; undefined until their attempts begin. */
  readonly #unclaimed = new Map<CallerExchange, AttemptSeries | undefined>();
  #isAborted = false;

  /**
   * Prepares the pipeline.
   *
   * @param dependencies - ports to the components of the VM, dialect and monitors
   * @param connections - connection pools for backend servers and other VMs
   * @param options - memory limits
   */
  constructor(
    dependencies: {
      readonly ports: ServingPorts;
      readonly dialect: ServingDialect;
      readonly loop: EventLoopMonitor;
      readonly acceptQueue: AcceptQueueMonitor;
    },
    connections: {
      readonly backend: BackendConnectionPool;
      readonly peer: BackendConnectionPool;
    },
    options: PipelineOptions = {},
  ) {
    const { ports, dialect, loop, acceptQueue } = dependencies;
    this.#ports = ports;
    this.arrivals = new ArrivalQueue(ports.clock, loop, acceptQueue);
    this.#dialect = dialect;
    this.#connections = connections.backend;
    this.#peerConnections = connections.peer;
    this.#bodyBudget = new BodyBudget(
      options.bodyBudgetBytes ?? DEFAULT_BODY_BUDGET_BYTES,
    );
    this.memory = new MemoryBudget(options.heldBytes ?? Infinity);
    this.#streamAboveBytes = options.streamAboveBytes ??
      DEFAULT_STREAM_ABOVE_BYTES;
    this.#claimedHandler = new ClaimedRequestHandler({
      ports,
      dialect,
      connections,
      arrivals: this.arrivals,
      bodyBudget: this.#bodyBudget,
      keptAnswerBytes: options.keptAnswerBytes ?? DEFAULT_STORED_RESPONSE_BYTES,
    });
  }

  /**
   * Number of requests that have not ended. A request whose caller has got a
   * response counts until its claim has been settled.
   *
   * @returns number of requests
   */
  get inFlight(): number {
    return this.#inFlight.count;
  }

  /** Waits until no request is in flight. */
  async waitIdle(): Promise<void> {
    await this.#inFlight.waitIdle();
  }

  /**
   * Refuses the requests that have not been sent, and all that come later. Those
   * that were sent end with an unknown outcome. Claimed requests go on.
   */
  abort(): void {
    this.#isAborted = true;
    for (const [exchange, series] of [...this.#unclaimed]) {
      if (series === undefined) {
        exchange.abort(refuseNotRun("vm-stopping"));
      } else {
        series.stop();
      }
    }
  }

  /**
   * Serves a request that was read, unless its caller leaves before its turn or
   * this VM has no memory for it.
   *
   * @param exchange - exchange of the caller
   */
  accept(exchange: CallerExchange): void {
    this.#inFlight.add();
    const memory = openMemoryShare(this.memory, exchange);
    if (memory === undefined) {
      // The connection holds memory as well.
      exchange.response.shouldKeepAlive = false;
      this.#ports.metrics?.count("memory_refusals");
      this.#refuseBusy(exchange);
      return;
    }
    // A slow caller's response is held until its connection has taken it.
    const release = async (): Promise<void> => {
      await exchange.closed;
      memory.close();
    };
    this.arrivals.begin({
      run: () => {
        void this.#serve(exchange, memory).then(release);
      },
      refuse: (retryAfterMs) => {
        this.#ports.metrics?.count("queue_refusals");
        this.#refuseBusy(exchange, retryAfterMs);
        void release();
      },
      estimateTimes: () => exchange.estimateTimes(),
    });
  }

  #refuseBusy(exchange: CallerExchange, retryAfterMs?: number): void {
    const record = this.#addRecord(exchange);
    exchange.abort(refuseNotRun("vm-busy", retryAfterMs));
    this.#complete(exchange, record);
  }

  #addRecord(exchange: CallerExchange): RequestRecord {
    const record = new RequestRecord(
      exchange.id,
      this.#ports.clock.readWallMs(),
    );
    this.explanations.add(record);
    return record;
  }

  // Serves one request until it has ended; never rejects.
  async #serve(exchange: CallerExchange, memory: MemoryShare): Promise<void> {
    const record = this.#addRecord(exchange);
    if (exchange.isCallerDisconnected) {
      this.#complete(exchange, record);
      return;
    }
    try {
      const admission = this.#dialect.admit(exchange.request, exchange);
      if (!admission.ok) {
        exchange.refuse(admission.error);
      } else if (hasExpired(admission.value.context, this.#ports.clock)) {
        // Its timeout passed while it lay unread or waited for its turn.
        exchange.refuse(refuseNotRun("vm-busy", MIN_RETRY_MS));
      } else {
        await this.#serveAdmitted(
          { exchange, record, memory },
          admission.value,
        );
      }
    } catch (error) {
      // What attempts throw ends in `SeriesDependencies.abort`.
      this.#ports.exceptions?.report(EXCEPTION_SOURCE.caller, error);
      const mayBeSent = (record.claim ?? record.passedOnTo) !== undefined;
      exchange.abort((mayBeSent ? refuseUnknown : refuseNotRun)("vm-busy"));
    }
    this.#complete(exchange, record);
  }

  async #serveAdmitted(
    { exchange, record, memory }: OpenedExchange,
    { context, key }: Admission,
  ): Promise<void> {
    record.route = context.route.id;
    record.team = context.team;
    record.isPassedOn = context.isPassedOn;
    const span = openEntrySpan(this.#ports, exchange, { context, key });
    const admitted = { context, key, exchange, record, span, memory };
    try {
      if (context.team !== undefined && this.#dialect.isClaimed(context)) {
        await this.#claimedHandler.serve(admitted, context.team);
      } else {
        await this.#serveUnclaimed(admitted);
      }
    } finally {
      span?.close(exchange.response.statusCode);
    }
  }

  async #serveUnclaimed(admitted: AdmittedExchange): Promise<void> {
    const { exchange } = admitted;
    this.#unclaimed.set(exchange, undefined);
    try {
      await this.#serveOnce(admitted);
    } finally {
      this.#unclaimed.delete(exchange);
    }
  }

  async #serveOnce(admitted: AdmittedExchange): Promise<void> {
    const { context, exchange } = admitted;
    this.#ports.decisions?.recordAdmitted(context, exchange.maxUnreadMs);
    // The VM that forwarded a request to this one's peer address took its token.
    const isTokenTaken = exchange.forwarding !== undefined;
    if (context.team !== undefined && !isTokenTaken) {
      const verdict = await this.#ports.rateLimiter.acquire(
        context.team,
        context,
      );
      if (verdict.kind !== "granted") {
        refuseOverRate(exchange, verdict);
        return;
      }
    }
    const announcedBytes = readBodyLength(exchange.request) ?? 0;
    if (announcedBytes > context.route.bodyLimitBytes) {
      exchange.refuse(refuseNotRun("body-too-large"));
      return;
    }
    if (announcedBytes > this.#streamAboveBytes) {
      // A failed attempt destroys the stream that it was sending. The pipe
      // protects the caller's connection, which must still carry the refusal.
      await this.#send(admitted, exchange.request.pipe(new PassThrough()));
      return;
    }
    const buffered = await this.#readBufferedBody(admitted);
    if (buffered === undefined) {
      return;
    }
    try {
      await this.#send(admitted, buffered.bytes);
    } finally {
      this.#bodyBudget.release(buffered.reservedBytes);
    }
  }

  async #readBufferedBody(
    admitted: AdmittedExchange,
  ): Promise<BufferedBody | undefined> {
    const { exchange, context, key } = admitted;
    if (!hasBody(exchange.request)) {
      return NO_BODY;
    }
    const body = await readBody(exchange.request, {
      limitBytes: context.route.bodyLimitBytes,
      timeoutMs: context.deadlineAtMs - this.#ports.clock.readMonotonicMs(),
      budget: this.#bodyBudget,
      memory: admitted.memory,
    });
    if (!body.ok) {
      exchange.refuse(body.error);
      return undefined;
    }
    if (key !== undefined && body.value.bytes?.includes(key.secret) === true) {
      this.#bodyBudget.release(body.value.reservedBytes);
      exchange.refuse(refuseNotRun("key-in-target"));
      return undefined;
    }
    return body.value;
  }

  #send(
    admitted: AdmittedExchange,
    body: OutboundRequest["body"],
  ): Promise<void> {
    const { exchange, context } = admitted;
    if (this.#isAborted) {
      exchange.refuse(refuseNotRun("vm-stopping"));
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const request = buildOutboundRequest(admitted, body, this.#dialect);
      const writer = new ExchangeReceiver(exchange, {
        complete: () => {
          clearTimeout(timer);
          admitted.record.status = writer.status;
          resolve();
        },
      });
      const receiver = new UnsentBytesReceiver(
        writer,
        exchange,
        admitted.memory,
      );
      const series = new AttemptSeries(
        {
          ports: this.#ports,
          dialect: this.#dialect,
          connections: this.#connections,
          peerConnections: this.#peerConnections,
          arrivals: this.arrivals,
          memory: admitted.memory,
          abort: (refusal) => {
            clearTimeout(timer);
            exchange.abort(refusal);
            resolve();
          },
        },
        request,
        receiver,
      );
      const timer = setTimeout(() => {
        this.arrivals.runOnceRead(() => {
          series.expire();
        });
      }, context.deadlineAtMs - this.#ports.clock.readMonotonicMs());
      this.#unclaimed.set(exchange, series);
      exchange.setDisconnectListener(() => {
        series.cancel();
      });
      exchange.writer.setDrainListener(() => {
        receiver.update();
        series.resume();
      });
      series.start();
    });
  }

  #complete(exchange: CallerExchange, record: RequestRecord): void {
    try {
      this.#recordEnd(exchange, record);
    } catch (error) {
      this.#ports.exceptions?.report(EXCEPTION_SOURCE.caller, error);
    }
    this.#inFlight.release();
  }

  #recordEnd(exchange: CallerExchange, record: RequestRecord): void {
    const nowMs = this.#ports.clock.readMonotonicMs();
    record.durationMs = nowMs - exchange.receivedAtMs;
    record.refusal = exchange.refusal;
    this.#ports.decisions?.recordEnd({
      requestId: record.id,
      refusal: exchange.isCallerDisconnected ? undefined : exchange.refusal,
      status: exchange.response.headersSent
        ? exchange.response.statusCode
        : undefined,
      durationMs: record.durationMs,
    });
    this.#ports.metrics?.count(
      "requests",
      exchange.refusal === undefined
        ? "answer:relayed"
        : `answer:${exchange.refusal.kind}`,
    );
    this.#ports.metrics?.recordDuration("request_ms", record.durationMs);
  }
}
