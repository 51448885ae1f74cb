/** Bounds and estimates how long connections have waited to be accepted. */

import type { Duplex } from "node:stream";

import type { Clock } from "@limpetford/core/time/clock";

import type { EventLoopMonitor } from "./event_loop_monitor.ts";
import type { QueueProbe } from "./queue_probe.ts";

/** Arrivals are taken to be spread evenly over the time in which they can have come. */
const MEAN_WAIT_SHARE = 0.5;
/** Least time between two probes. */
const MIN_PROBE_INTERVAL_MS = 50;
/** The same as a share of the time for which the oldest open probe has waited. */
const PROBE_INTERVAL_SHARE = 1 / 4;

/** For how long a request has lain unread, in milliseconds. */
export interface UnreadTime {
  readonly minUnreadMs: number;
  readonly likelyUnreadMs: number;
}

interface OpenProbe {
  readonly probe: QueueProbe;
  readonly openedAtMs: number;
}

interface AcceptedConnection {
  readonly latestArrivalMs: number;
  readonly likelyArrivalMs: number;
}

/**
 * Node accepts one connection in a turn of the event loop, so connections wait in the
 * queue of the operating system although each turn is short. While every turn accepts
 * one, the queue may never have been empty. Then connections of the VM to itself tell
 * when those around them arrived, since a queue is served in order.
 */
export class AcceptQueueMonitor {
  readonly #clock: Clock;
  readonly #loop: EventLoopMonitor;
  readonly #connectProbe: () => QueueProbe | undefined;
  #isQueueBusy = false;
  #hasAccepted = false;
  #busySinceMs = 0;
  #longestUnreadMs = 0;
  #probes: readonly OpenProbe[] = [];
  #probedAtMs = -Infinity;
  /** When the last accepted probe was opened; all that follows arrived later. */
  #earliestArrivalMs: number | undefined;
  /** Connections that were accepted in this turn. */
  #arrivals = new Map<Duplex, AcceptedConnection>();
  /** The same for the turn before, whose first bytes are read in this one. */
  #arrivalsBefore = new Map<Duplex, AcceptedConnection>();

  /**
   * Starts with an empty queue.
   *
   * @param clock - measures the time without an empty queue
   * @param loop - is told of the estimated waits
   * @param connectProbe - connects to this VM; undefined while it does not listen
   */
  constructor(
    clock: Clock,
    loop: EventLoopMonitor,
    connectProbe: () => QueueProbe | undefined = (): undefined => undefined,
  ) {
    this.#clock = clock;
    this.#loop = loop;
    this.#connectProbe = connectProbe;
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
   * Observes a connection that is accepted. A probe is closed.
   *
   * @param socket - the connection
   * @returns false if it is a probe, which no caller uses
   */
  observeAccept(socket: Duplex): boolean {
    this.#hasAccepted = true;
    if (this.#takeProbe(socket)) {
      socket.destroy();
      return false;
    }
    const nowMs = this.#clock.readMonotonicMs();
    if (this.#isQueueBusy) {
      this.#probeIfDue(nowMs);
    } else {
      this.#startBusyTime(nowMs);
    }
    this.#longestUnreadMs = Math.max(
      this.#longestUnreadMs,
      this.#loop.likelyUnreadMs,
    );
    const arrival = this.#estimateArrival(nowMs);
    const waitedMs = nowMs - arrival.likelyArrivalMs;
    this.#loop.recordDelay(waitedMs);
    this.#loop.recordQueueing(this.#estimateQueueing(nowMs, arrival));
    this.#arrivals.set(socket, arrival);
    return true;
  }

  /**
   * Estimates how long a request that is read now has lain unread. Callers connect
   * when they have something to send, so the first one waited with its connection.
   *
   * @param socket - connection of the request
   * @returns bound and estimate
   */
  estimateUnread(socket: Duplex): UnreadTime {
    const { minUnreadMs, likelyUnreadMs } = this.#loop;
    const arrival = this.#arrivals.get(socket) ??
      this.#arrivalsBefore.get(socket);
    if (arrival === undefined) {
      return { minUnreadMs, likelyUnreadMs };
    }
    const nowMs = this.#clock.readMonotonicMs();
    return {
      minUnreadMs: Math.max(minUnreadMs, nowMs - arrival.latestArrivalMs),
      likelyUnreadMs: Math.max(likelyUnreadMs, nowMs - arrival.likelyArrivalMs),
    };
  }

  /** Closes the probes that are open. */
  close(): void {
    for (const { probe } of this.#probes) {
      probe.close();
    }
    this.#probes = [];
  }

  // Whatever was in the queue has been accepted, so a probe that was not recognized
  // says nothing.
  #startBusyTime(nowMs: number): void {
    this.close();
    this.#isQueueBusy = true;
    this.#busySinceMs = nowMs;
    this.#longestUnreadMs = 0;
    this.#earliestArrivalMs = undefined;
    this.#scheduleCheck();
  }

  #takeProbe(socket: Duplex): boolean {
    const taken = this.#probes.find(({ probe }) => probe.isOtherEnd(socket));
    if (taken === undefined) {
      return false;
    }
    this.#earliestArrivalMs = taken.openedAtMs;
    this.#probes = this.#probes.filter(({ openedAtMs }) =>
      openedAtMs > taken.openedAtMs
    );
    taken.probe.close();
    return true;
  }

  #probeIfDue(nowMs: number): void {
    this.#probes = this.#probes.filter(({ probe }) => !probe.isClosed);
    const oldestMs = this.#probes[0]?.openedAtMs ?? nowMs;
    const intervalMs = Math.max(
      MIN_PROBE_INTERVAL_MS,
      (nowMs - oldestMs) * PROBE_INTERVAL_SHARE,
    );
    if (nowMs - this.#probedAtMs < intervalMs) {
      return;
    }
    this.#probedAtMs = nowMs;
    const probe = this.#connectProbe();
    if (probe !== undefined) {
      this.#probes = [...this.#probes, { probe, openedAtMs: nowMs }];
    }
  }

  #estimateArrival(nowMs: number): AcceptedConnection {
    const latestMs = this.#probes[0]?.probe.queuedAtMs ?? nowMs;
    const earliestMs = this.#earliestArrivalMs;
    const likelyMs = earliestMs === undefined
      ? nowMs - Math.max(this.#longestUnreadMs, this.#estimateBusyWait(nowMs))
      : earliestMs + (latestMs - earliestMs) * MEAN_WAIT_SHARE;
    return {
      latestArrivalMs: latestMs,
      likelyArrivalMs: Math.min(likelyMs, latestMs),
    };
  }

  // Without the time in which the process stood still, and others were not accepted.
  #estimateQueueing(
    nowMs: number,
    { latestArrivalMs, likelyArrivalMs }: AcceptedConnection,
  ): number {
    const estimatedMs = this.#earliestArrivalMs === undefined
      ? this.#estimateBusyWait(nowMs)
      : nowMs - likelyArrivalMs;
    return Math.max(estimatedMs, nowMs - latestArrivalMs);
  }

  #estimateBusyWait(nowMs: number): number {
    return (nowMs - this.#busySinceMs) * MEAN_WAIT_SHARE;
  }

  #scheduleCheck(): void {
    setImmediate(() => {
      this.#isQueueBusy = this.#hasAccepted;
      this.#hasAccepted = false;
      this.#arrivalsBefore = this.#arrivals;
      this.#arrivals = new Map();
      if (this.#isQueueBusy) {
        this.#scheduleCheck();
      }
    });
  }
}
