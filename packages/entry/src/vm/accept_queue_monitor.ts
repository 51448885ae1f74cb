/** Estimates how long connections have waited to be accepted. */

import type { Duplex } from "node:stream";

import type { Clock } from "@limpetford/core/time/clock";

import type { EventLoopMonitor } from "./event_loop_monitor.ts";

/** Arrivals are taken to be spread evenly over the time without an empty queue. */
const MEAN_WAIT_SHARE = 0.5;

/**
 * Node accepts one connection in a turn of the event loop, so connections wait in the
 * queue of the operating system although each turn is short. While every turn accepts
 * one, the queue may never have been empty.
 */
export class AcceptQueueMonitor {
  readonly #clock: Clock;
  readonly #loop: EventLoopMonitor;
  #isQueueBusy = false;
  #busySinceMs = 0;
  #longestUnreadMs = 0;
  /** Times at which connections arrived that were accepted in this turn. */
  #arrivals = new Map<Duplex, number>();
  /** The same for the turn before, whose first bytes are read in this one. */
  #arrivalsBefore = new Map<Duplex, number>();

  /**
   * Starts with an empty queue.
   *
   * @param clock - measures the time without an empty queue
   * @param loop - is told of the estimated waits
   */
  constructor(clock: Clock, loop: EventLoopMonitor) {
    this.#clock = clock;
    this.#loop = loop;
  }

  /**
   * Whether connections may wait to be accepted.
   *
   * @returns true while each turn of the event loop accepts one
   */
  get isBusy(): boolean {
    return this.#isQueueBusy;
  }

  /**
   * Observes a connection that is accepted.
   *
   * @param socket - the connection
   */
  observeAccept(socket: Duplex): void {
    const nowMs = this.#clock.readMonotonicMs();
    if (!this.#isQueueBusy) {
      this.#isQueueBusy = true;
      this.#busySinceMs = nowMs;
      this.#longestUnreadMs = 0;
      this.#scheduleCheck();
    }
    this.#longestUnreadMs = Math.max(
      this.#longestUnreadMs,
      this.#loop.likelyUnreadMs,
    );
    const queueMs = (nowMs - this.#busySinceMs) * MEAN_WAIT_SHARE;
    const waitedMs = Math.max(this.#longestUnreadMs, queueMs);
    this.#loop.recordDelay(waitedMs);
    this.#loop.recordQueueing(queueMs);
    this.#arrivals.set(socket, nowMs - waitedMs);
  }

  /**
   * Estimates how long the first request on a connection has lain unread.
   *
   * @param socket - the connection
   * @returns milliseconds; 0 for a request that came after the connection was accepted
   */
  estimateUnreadMs(socket: Duplex): number {
    const arrivedAtMs = this.#arrivals.get(socket) ??
      this.#arrivalsBefore.get(socket);
    return arrivedAtMs === undefined
      ? 0
      : this.#clock.readMonotonicMs() - arrivedAtMs;
  }

  #scheduleCheck(): void {
    setImmediate(() => {
      this.#isQueueBusy = this.#arrivals.size > 0;
      this.#arrivalsBefore = this.#arrivals;
      this.#arrivals = new Map();
      if (this.#isQueueBusy) {
        this.#scheduleCheck();
      }
    });
  }
}
