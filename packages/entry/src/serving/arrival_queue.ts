/** Orders what a busy VM does before and after it has read its connections. */

import { QueueWaitEstimator } from "@limpetford/core/fairness/queue_wait_estimator";
import type { Clock } from "@limpetford/core/time/clock";

import type { AcceptQueueMonitor } from "../vm/accept_queue_monitor.ts";
import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import type { RequestTimes } from "./arrival.ts";

/**
 * Longest time for which a caller's close or a response may have lain unread when a
 * step that rests on it is taken.
 */
const MAX_UNREAD_MS = 150;
/** Time in a turn of the event loop in which requests are begun. */
const TURN_BUDGET_MS = 10;
/** Time in a turn in which requests are refused that would wait too long. */
const REFUSAL_BUDGET_MS = 5;
/** Longest time for which a step waits while connections are accepted. */
const MAX_ACCEPT_WAIT_MS = 100;
/** Least time in which connections are accepted between two turns that begin requests. */
const ACCEPT_TIME_MS = 10;
/** Least number of turns in which connections are accepted between two of those. */
const ACCEPT_TURNS = 8;

/** Least delay after which a caller comes back whom this VM had no time for. */
export const MIN_RETRY_MS = 200;

/** A request that was read. */
export interface ReadRequest {
  /** Begins to serve it. */
  readonly run: () => void;
  /** Refuses it, with the time in which the VM gets through its queue. */
  readonly refuse: (retryAfterMs: number) => void;
  /** Estimates the time in which it can be served. */
  readonly estimateTimes: () => RequestTimes;
}

interface QueuedRequest {
  readonly request: ReadRequest;
  readonly queuedAtMs: number;
  readonly times: RequestTimes;
  /** Number of the turn in which it was queued. */
  readonly turn: number;
}

interface QueuedStep {
  readonly run: () => void;
  readonly turn: number;
}

/**
 * Begins to serve what was read from callers. The close of a caller is read after
 * its request, so while the event loop is behind, some of those callers have left.
 * Then what was read waits until the connections have been read once more, and a
 * turn of the loop begins only as much as lets it read them again soon, the oldest
 * first. A request that would wait too long for its turn is refused at once. Attempts
 * and timeouts of requests that were begun wait for the reading alone.
 * A turn accepts one connection, so between two turns that begin requests there are
 * some that only accept and read, if connections wait.
 */
export class ArrivalQueue {
  readonly #clock: Clock;
  readonly #loop: EventLoopMonitor;
  readonly #acceptQueue: Pick<AcceptQueueMonitor, "isBusy">;
  readonly #requests: QueuedRequest[] = [];
  /** Steps of requests that were begun. */
  readonly #steps: QueuedStep[] = [];
  readonly #waits = new QueueWaitEstimator();
  #turn = 0;
  #turnStartedAtMs = -Infinity;
  #isTurnObserved = false;
  /** End of the last turn that began requests while others waited. */
  #begunAtMs: number | undefined;
  #begunInTurn = 0;

  /**
   * Creates an empty queue.
   *
   * @param clock - measures the turns
   * @param loop - tells how far the event loop is behind
   * @param acceptQueue - tells whether connections wait
   */
  constructor(
    clock: Clock,
    loop: EventLoopMonitor,
    acceptQueue: Pick<AcceptQueueMonitor, "isBusy">,
  ) {
    this.#clock = clock;
    this.#loop = loop;
    this.#acceptQueue = acceptQueue;
  }

  /**
   * Begins a request that was read: at once if the event loop is not behind, in
   * its turn otherwise, if it has time to wait for that.
   *
   * @param request - what to do with it
   */
  begin(request: ReadRequest): void {
    const nowMs = this.#clock.readMonotonicMs();
    this.#observeTurn(nowMs);
    const ahead = this.#requests.length;
    const isFirst = ahead === 0 && !this.#mayBeUnread() &&
      nowMs - this.#turnStartedAtMs <= TURN_BUDGET_MS;
    if (isFirst && !this.#acceptQueue.isBusy) {
      request.run();
      return;
    }
    const times = request.estimateTimes();
    if (!this.#mayWait(ahead, times, nowMs)) {
      request.refuse(this.#estimateRetryAfterMs(ahead));
    } else if (isFirst) {
      request.run();
    } else {
      const turn = this.#turn;
      this.#requests.push({ request, queuedAtMs: nowMs, times, turn });
    }
  }

  /**
   * Decides whether a request that is read now would be refused.
   *
   * @param times - time in which it can be served
   * @returns time in which the VM gets through its queue; undefined if it may wait
   */
  findRetryAfterMs(times: RequestTimes): number | undefined {
    const nowMs = this.#clock.readMonotonicMs();
    this.#observeTurn(nowMs);
    const ahead = this.#requests.length;
    return this.#mayWait(ahead, times, nowMs)
      ? undefined
      : this.#estimateRetryAfterMs(ahead);
  }

  /**
   * Takes a step that rests on what has arrived: at once unless something may have
   * lain unread for a while.
   *
   * @param run - sends a request whose caller may have left, or gives up waiting for
   * a response that may have arrived
   */
  runOnceRead(run: () => void): void {
    if (this.#mayBeUnread()) {
      this.#observeTurn(this.#clock.readMonotonicMs());
      this.#steps.push({ run, turn: this.#turn });
    } else {
      run();
    }
  }

  #estimateRetryAfterMs(ahead: number): number {
    return Math.max(MIN_RETRY_MS, this.#waits.estimateMs(ahead));
  }

  #mayBeUnread(): boolean {
    return this.#loop.maxUnreadMs > MAX_UNREAD_MS;
  }

  // While connections wait, those behind have waited as long: who has lost too much
  // time makes way for them, or all would be served when their time is nearly up.
  #mayWait(ahead: number, times: RequestTimes, nowMs: number): boolean {
    const { arrivedAtMs, deadlineAtMs } = times;
    return this.#waits.mayWait(ahead, {
      timeLeftMs: deadlineAtMs - nowMs,
      lostMs: this.#acceptQueue.isBusy ? nowMs - arrivedAtMs : 0,
    });
  }

  #observeTurn(nowMs: number): void {
    this.#loop.observeTurn();
    if (this.#isTurnObserved) {
      return;
    }
    this.#isTurnObserved = true;
    this.#turnStartedAtMs = nowMs;
    setImmediate(() => {
      this.#isTurnObserved = false;
      this.#turn += 1;
      void this.#runTurn(this.#turn - 2);
    });
  }

  async #runTurn(lastTurn: number): Promise<void> {
    const startedAtMs = this.#clock.readMonotonicMs();
    await this.#runSteps(lastTurn);
    this.#refuseHopeless();
    await this.#beginRequests(lastTurn, startedAtMs);
    if (this.#requests.length + this.#steps.length > 0) {
      this.#observeTurn(this.#clock.readMonotonicMs());
    }
    if (this.#requests.length === 0) {
      this.#waits.reset();
      this.#begunAtMs = undefined;
    }
  }

  // Requests that were begun are finished before others are.
  async #runSteps(lastTurn: number): Promise<void> {
    for (;;) {
      const [next] = this.#steps;
      if (next === undefined || next.turn > lastTurn) {
        return;
      }
      this.#steps.shift();
      next.run();
      await Promise.resolve();
    }
  }

  // The rate may have turned out lower than when they were queued. The last ones
  // would wait longest.
  #refuseHopeless(): void {
    const startedAtMs = this.#clock.readMonotonicMs();
    let nowMs = startedAtMs;
    while (nowMs - startedAtMs < REFUSAL_BUDGET_MS) {
      const ahead = this.#requests.length - 1;
      const last = this.#requests[ahead];
      if (last === undefined || this.#mayWait(ahead, last.times, nowMs)) {
        return;
      }
      this.#requests.pop();
      last.request.refuse(this.#estimateRetryAfterMs(ahead));
      nowMs = this.#clock.readMonotonicMs();
    }
  }

  #shouldAcceptFirst(nowMs: number, { queuedAtMs }: QueuedRequest): boolean {
    if (!this.#acceptQueue.isBusy) {
      return false;
    }
    return this.#begunAtMs === undefined
      ? nowMs - queuedAtMs < MAX_ACCEPT_WAIT_MS
      : nowMs - this.#begunAtMs < ACCEPT_TIME_MS ||
        this.#turn - this.#begunInTurn < ACCEPT_TURNS;
  }

  // Waits for what a request has set going before it begins the next one, so that the
  // budget covers that as well. Nothing is read meanwhile.
  async #beginRequests(lastTurn: number, startedAtMs: number): Promise<void> {
    let nowMs = this.#clock.readMonotonicMs();
    const [first] = this.#requests;
    if (first === undefined || this.#shouldAcceptFirst(nowMs, first)) {
      return;
    }
    do {
      const [next] = this.#requests;
      if (next === undefined || next.turn > lastTurn) {
        return;
      }
      this.#requests.shift();
      this.#loop.recordDelay(nowMs - next.queuedAtMs);
      next.request.run();
      await Promise.resolve();
      nowMs = this.#clock.readMonotonicMs();
      this.#recordBegun(nowMs);
    } while (nowMs - startedAtMs < TURN_BUDGET_MS);
  }

  #recordBegun(nowMs: number): void {
    if (this.#begunAtMs !== undefined) {
      this.#waits.record(nowMs - this.#begunAtMs);
    }
    this.#begunAtMs = nowMs;
    this.#begunInTurn = this.#turn;
  }
}
