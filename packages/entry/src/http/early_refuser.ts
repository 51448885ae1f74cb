/** Refuses requests of connections that have waited too long to be accepted. */

import type { Socket } from "node:net";

import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";

import type { ServingDialect } from "../dialect/serving_dialect.ts";
import type { ArrivalQueue } from "../serving/arrival_queue.ts";
import { refuseNotRun } from "../serving/refusal.ts";
import type { ServingMetrics } from "../telemetry/serving_metrics.ts";
import type { AcceptQueueMonitor } from "../vm/accept_queue_monitor.ts";
import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import { parseRequestPreview } from "./request_preview.ts";

/** Least estimated wait of a connection whose request may be refused here. */
const MIN_WAITED_MS = 100;
/** Time for the request of a connection to arrive, and for its caller to close it. */
const IDLE_TIMEOUT_MS = 1_000;

/** What an {@link EarlyRefuser} depends on. */
export interface EarlyRefuserOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly loop: Pick<EventLoopMonitor, "observeRead">;
  readonly acceptQueue: Pick<AcceptQueueMonitor, "estimateUnread">;
  readonly arrivals: Pick<ArrivalQueue, "findRetryAfterMs">;
  readonly dialect: Pick<ServingDialect, "estimateTimes" | "renderRefusal">;
  readonly metrics?: ServingMetrics | undefined;
  /** True if requests can't be read without decrypting them. */
  readonly isEncrypted: boolean;
  /** Serves a connection; bytes that were read are returned to it before. */
  readonly serve: (socket: Socket) => void;
  /** Runs a step for a connection, and ends the connection if it throws. */
  readonly run: (socket: Socket, step: () => void) => void;
}

/**
 * Refuses the first request of a connection without Node's HTTP server, which takes
 * about half of the time that serving does. A VM that refuses as slowly as it serves
 * never gets through an accept queue that is longer than its requests have time.
 * What is not refused, or not parsed here, is served as usual.
 */
export class EarlyRefuser {
  readonly #options: EarlyRefuserOptions;
  /** Connections that nobody serves. */
  readonly #sockets = new Set<Socket>();

  /**
   * Prepares to refuse requests.
   *
   * @param options - what decides on a request, and what serves the others
   */
  constructor(options: EarlyRefuserOptions) {
    this.#options = options;
  }

  /**
   * Serves a connection, or refuses its first request and closes it.
   *
   * @param socket - connection that was accepted, of which nothing has been read
   */
  accept(socket: Socket): void {
    const { acceptQueue, isEncrypted, serve } = this.#options;
    const { likelyUnreadMs } = acceptQueue.estimateUnread(socket);
    if (isEncrypted || likelyUnreadMs < MIN_WAITED_MS) {
      serve(socket);
    } else {
      this.#readFirst(socket);
    }
  }

  /** Closes the connections that nobody serves. */
  close(): void {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #readFirst(socket: Socket): void {
    const pass = (): void => {
      socket.off("data", handleData).off("end", handleEnd)
        .off("close", handleClose).off("error", handleIgnoredError)
        .off("timeout", pass).setTimeout(0);
      this.#sockets.delete(socket);
      this.#options.serve(socket);
    };
    const handleData = (bytes: Buffer): void => {
      this.#options.run(socket, () => {
        const response = this.#findResponse(socket, bytes);
        if (response === undefined) {
          socket.unshift(bytes);
          pass();
        } else {
          socket.off("timeout", pass).on("timeout", handleLinger);
          socket.end(response, "latin1");
        }
      });
    };
    const handleEnd = (): void => {
      socket.destroySoon();
    };
    const handleClose = (): void => {
      this.#sockets.delete(socket);
    };
    const handleLinger = (): void => {
      socket.destroy();
    };
    this.#sockets.add(socket);
    socket.setTimeout(IDLE_TIMEOUT_MS).once("data", handleData)
      .on("timeout", pass).on("end", handleEnd).on("close", handleClose)
      .on("error", handleIgnoredError);
  }

  // Undefined if the request is to be served, or its end is not known.
  #findResponse(socket: Socket, bytes: Buffer): string | undefined {
    const { clock, loop, acceptQueue, arrivals, dialect } = this.#options;
    loop.observeRead();
    const request = parseRequestPreview(bytes);
    if (request === undefined) {
      return undefined;
    }
    const times = dialect.estimateTimes(request, {
      receivedAtMs: clock.readMonotonicMs(),
      ...acceptQueue.estimateUnread(socket),
    });
    const retryAfterMs = arrivals.findRetryAfterMs(times);
    return retryAfterMs === undefined
      ? undefined
      : this.#renderRefusal(retryAfterMs);
  }

  #renderRefusal(retryAfterMs: number): string | undefined {
    const { dialect, metrics, random } = this.#options;
    const refusal = refuseNotRun("vm-busy", retryAfterMs);
    const response = dialect.renderRefusal(refusal, random);
    if (response !== undefined) {
      metrics?.count("queue_refusals");
      metrics?.count("requests", `answer:${refusal.kind}`);
    }
    return response;
  }
}

// The "close" event follows.
function handleIgnoredError(): void {
  return;
}
