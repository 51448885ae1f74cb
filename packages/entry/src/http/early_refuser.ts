/** Refuses requests of connections that have waited too long to be accepted. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";
import type { RequestId } from "@limpetford/domain/ids";

import type { ServingDialect } from "../dialect/serving_dialect.ts";
import { type RequestTimes, UNLIMITED_TIMES } from "../serving/arrival.ts";
import type { ArrivalQueue } from "../serving/arrival_queue.ts";
import { refuseNotRun } from "../serving/refusal.ts";
import type { DecisionLog } from "../telemetry/decision_log.ts";
import type { ServingMetrics } from "../telemetry/serving_metrics.ts";
import type { AcceptQueueMonitor } from "../vm/accept_queue_monitor.ts";
import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import { closeBehindBody } from "./close_behind_body.ts";

/** Least estimated wait of a connection whose request may be refused here. */
const MIN_WAITED_MS = 100;

/** What an {@link EarlyRefuser} depends on. */
export interface EarlyRefuserOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly loop: Pick<EventLoopMonitor, "observeRead">;
  readonly acceptQueue: Pick<AcceptQueueMonitor, "estimateUnread">;
  readonly arrivals: Pick<ArrivalQueue, "findRetryAfterMs">;
  readonly dialect: Pick<ServingDialect, "estimateTimes" | "sendRefusal">;
  readonly decisions?: DecisionLog | undefined;
  readonly metrics?: ServingMetrics | undefined;
}

/** A request of Node's HTTP server, and where its response goes. */
export interface UnservedRequest {
  readonly id: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/**
 * Refuses a request that the queue would refuse before anything is made for it. A VM
 * that refuses as slowly as it serves never gets through an accept queue that is longer
 * than its requests have time.
 */
export class EarlyRefuser {
  readonly #options: EarlyRefuserOptions;
  /** Connections that are closed behind a refusal. */
  readonly #refused = new WeakSet<Duplex>();

  /**
   * Prepares to refuse requests.
   *
   * @param options - what decides on a request, and what hears of it
   */
  constructor(options: EarlyRefuserOptions) {
    this.#options = options;
  }

  /**
   * Checks whether a refusal was the last response of a connection.
   *
   * @param socket - connection of a caller
   * @returns true if no further request of it can be answered
   */
  hasRefused(socket: Duplex): boolean {
    return this.#refused.has(socket);
  }

  /**
   * Refuses a request whose connection has waited, if it can't be served in time.
   *
   * @param unserved - request of a caller, whose headers were read
   * @returns false if it may be served; nothing was done then
   */
  refuse(unserved: UnservedRequest): boolean {
    const { loop, acceptQueue, arrivals } = this.#options;
    const { request } = unserved;
    const unread = acceptQueue.estimateUnread(request.socket);
    if (unread.likelyUnreadMs < MIN_WAITED_MS) {
      return false;
    }
    loop.observeRead();
    const times = this.#estimateTimes(request, unread);
    const retryAfterMs = arrivals.findRetryAfterMs(times);
    if (retryAfterMs === undefined) {
      return false;
    }
    this.#send(unserved, retryAfterMs);
    return true;
  }

  #estimateTimes(
    request: IncomingMessage,
    unread: ReturnType<AcceptQueueMonitor["estimateUnread"]>,
  ): RequestTimes {
    const { clock, dialect } = this.#options;
    const receivedAtMs = clock.readMonotonicMs();
    try {
      return dialect.estimateTimes(request, { receivedAtMs, ...unread });
    } catch {
      // What is thrown here, the admission throws again.
      return UNLIMITED_TIMES;
    }
  }

  #send(
    { id, request, response }: UnservedRequest,
    retryAfterMs: number,
  ): void {
    const { dialect, decisions, metrics, random } = this.#options;
    const refusal = refuseNotRun("vm-busy", retryAfterMs);
    this.#refused.add(request.socket);
    request.on("error", handleIgnoredError);
    response.on("error", handleIgnoredError);
    if (!request.complete) {
      closeBehindBody(request);
    }
    dialect.sendRefusal(response, refusal, {
      requestId: id,
      isLastOnConnection: true,
      isForwarded: false,
      random,
    });
    metrics?.count("queue_refusals");
    metrics?.count("requests", `answer:${refusal.kind}`);
    decisions?.recordEnd({
      requestId: id,
      refusal,
      status: response.statusCode,
      durationMs: 0,
    });
  }
}

// The connection closes behind the response in any case.
function handleIgnoredError(): void {
  return;
}
