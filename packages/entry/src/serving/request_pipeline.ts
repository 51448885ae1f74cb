/** The way of a request through a VM. */

import { PassThrough } from "node:stream";

import { REQUEST_OUTCOME } from "@limpetford/domain/request_outcome";

import type { ServingDialect } from "../dialect/serving_dialect.ts";
import type { HopSpan } from "../telemetry/span_recorder.ts";
import {
  type AdmittedExchange,
  buildSeriesRequest,
  readTraceparent,
  refuseRate,
} from "./admitted_exchange.ts";
import type { OutboundRequest } from "./response_receiver.ts";
import { AttemptSeries } from "./attempt_series.ts";
import type { BackendConnections } from "./backend_connections.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { ClaimedRequests } from "./claimed_requests.ts";
import { ExchangeReceiver } from "./exchange_receiver.ts";
import { refuseNotRun } from "./refusal.ts";
import type { Admission } from "./request_admission.ts";
import {
  BodyBudget,
  hasBody,
  type HeldBody,
  NO_BODY,
  readBody,
  readBodyLength,
} from "./request_body.ts";
import { RequestExplanations, RequestRecord } from "./request_explanations.ts";
import type { ServingPorts } from "./serving_ports.ts";

const DEFAULT_BODY_BUDGET_BYTES = 67_108_864;
const DEFAULT_STREAM_ABOVE_BYTES = 65_536;
const DEFAULT_KEPT_ANSWER_BYTES = 65_536;

/** Limits of the serving path. */
export interface PipelineOptions {
  /** Bytes of bodies held at a time; default 64 MiB. */
  readonly bodyBudgetBytes?: number;
  /** Bodies above this are streamed on idempotent routes; default 64 KiB. */
  readonly streamAboveBytes?: number;
  /** Largest answer kept for replay; default 64 KiB. */
  readonly keptAnswerBytes?: number;
}

/**
 * Runs requests: checks, limits, claims, sends, answers.
 */
export class RequestPipeline {
  readonly explanations = new RequestExplanations();
  readonly #ports: ServingPorts;
  readonly #dialect: ServingDialect;
  readonly #connections: BackendConnections;
  readonly #claimed: ClaimedRequests;
  readonly #bodyBudget: BodyBudget;
  readonly #streamAboveBytes: number;
  readonly #idleListeners: (() => void)[] = [];
  #inFlight = 0;

  /**
   * Prepares the pipeline.
   *
   * @param environment - the components that decide, and the dialect
   * @param connections - connections to backend servers and to other VMs
   * @param options - limits
   */
  constructor(
    environment: {
      readonly ports: ServingPorts;
      readonly dialect: ServingDialect;
    },
    connections: {
      readonly backend: BackendConnections;
      readonly peer: BackendConnections;
    },
    options: PipelineOptions = {},
  ) {
    const { ports, dialect } = environment;
    this.#ports = ports;
    this.#dialect = dialect;
    this.#connections = connections.backend;
    this.#bodyBudget = new BodyBudget(
      options.bodyBudgetBytes ?? DEFAULT_BODY_BUDGET_BYTES,
    );
    this.#streamAboveBytes = options.streamAboveBytes ??
      DEFAULT_STREAM_ABOVE_BYTES;
    this.#claimed = new ClaimedRequests({
      ports,
      dialect,
      connections,
      bodyBudget: this.#bodyBudget,
      keptAnswerBytes: options.keptAnswerBytes ?? DEFAULT_KEPT_ANSWER_BYTES,
    });
  }

  /**
   * Requests that have not ended, claims that are not settled included.
   *
   * @returns the current value
   */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Waits until no request is in flight.
   */
  async waitIdle(): Promise<void> {
    if (this.#inFlight > 0) {
      await new Promise<void>((resolve) => {
        this.#idleListeners.push(resolve);
      });
    }
  }

  /**
   * Serves one request to its end.
   *
   * @param exchange - the request
   */
  async serve(exchange: CallerExchange): Promise<void> {
    this.#inFlight += 1;
    const record = new RequestRecord(
      exchange.id,
      this.#ports.clock.readWallMs(),
    );
    this.explanations.add(record);
    try {
      const admission = this.#dialect.admit(exchange.request, exchange);
      if (admission.ok) {
        await this.#serveAdmitted(exchange, record, admission.value);
      } else {
        exchange.refuse(admission.error);
      }
    } catch {
      // A fault in a component must not leave the caller without an answer.
      exchange.refuse({ kind: "vm-busy", outcome: REQUEST_OUTCOME.unknown });
      if (!exchange.response.writableEnded) {
        exchange.sink.abort();
      }
    }
    this.#complete(exchange, record);
  }

  async #serveAdmitted(
    exchange: CallerExchange,
    record: RequestRecord,
    { context, key }: Admission,
  ): Promise<void> {
    record.route = context.route.id;
    record.team = context.team;
    record.isPassedOn = context.isPassedOn;
    const span = this.#openSpan(exchange, { context, key });
    const admitted = { context, key, exchange, record, span };
    try {
      if (context.team !== undefined && this.#dialect.isClaimed(context)) {
        await this.#claimed.serve(admitted, context.team);
      } else {
        await this.#serveUnclaimed(admitted);
      }
    } finally {
      span?.close(exchange.response.statusCode);
    }
  }

  #openSpan(
    exchange: CallerExchange,
    { context, key }: Admission,
  ): HopSpan | undefined {
    const { spans } = this.#ports;
    if (spans === undefined) {
      return undefined;
    }
    return spans.open("entry", readTraceparent(exchange.request, key), {
      requestId: exchange.id,
      method: context.method,
      route: context.route.id,
    });
  }

  async #serveUnclaimed(admitted: AdmittedExchange): Promise<void> {
    const { context, exchange } = admitted;
    this.#ports.decisions?.recordAdmitted(context);
    if (context.team !== undefined) {
      const verdict = await this.#ports.rateLimiter.acquire(
        context.team,
        context,
      );
      if (verdict.kind !== "granted") {
        refuseRate(exchange, verdict);
        return;
      }
    }
    const announcedBytes = readBodyLength(exchange.request) ?? 0;
    if (announcedBytes > context.route.bodyLimitBytes) {
      exchange.refuse(refuseNotRun("body-too-large"));
      return;
    }
    if (announcedBytes > this.#streamAboveBytes) {
      // A failed attempt destroys what it was sending; the caller's connection
      // must outlive it to carry the refusal.
      await this.#send(admitted, exchange.request.pipe(new PassThrough()));
      return;
    }
    const held = await this.#loadBody(admitted);
    if (held === undefined) {
      return;
    }
    try {
      await this.#send(admitted, held.bytes);
    } finally {
      this.#bodyBudget.release(held.reservedBytes);
    }
  }

  async #loadBody(
    admitted: AdmittedExchange,
  ): Promise<HeldBody | undefined> {
    const { exchange, context, key } = admitted;
    if (!hasBody(exchange.request)) {
      return NO_BODY;
    }
    const body = await readBody(exchange.request, {
      limitBytes: context.route.bodyLimitBytes,
      timeoutMs: context.deadlineAtMs - this.#ports.clock.readMonotonicMs(),
      budget: this.#bodyBudget,
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
    return new Promise((resolve) => {
      const request = buildSeriesRequest(admitted, body, this.#dialect);
      const receiver = new ExchangeReceiver(exchange, () => {
        clearTimeout(timer);
        admitted.record.status = receiver.status;
        resolve();
      });
      const series = new AttemptSeries(
        {
          ports: this.#ports,
          dialect: this.#dialect,
          connections: this.#connections,
        },
        request,
        receiver,
      );
      const leftMs = context.deadlineAtMs -
        this.#ports.clock.readMonotonicMs();
      const timer = setTimeout(() => {
        series.expire();
      }, leftMs);
      exchange.setGoneListener(() => {
        series.cancel();
      });
      exchange.sink.setDrainListener(() => {
        series.resume();
      });
      series.start();
    });
  }

  #complete(exchange: CallerExchange, record: RequestRecord): void {
    const nowMs = this.#ports.clock.readMonotonicMs();
    record.durationMs = nowMs - exchange.receivedAtMs;
    record.refusal = exchange.refusal;
    this.#ports.decisions?.recordEnd({
      requestId: record.id,
      refusal: exchange.isCallerGone ? undefined : exchange.refusal,
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
    this.#inFlight -= 1;
    if (this.#inFlight === 0) {
      this.#idleListeners.splice(0).forEach((listener) => {
        listener();
      });
    }
  }
}
