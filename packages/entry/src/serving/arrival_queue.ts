/** Orders what a busy VM does before and after it has read its connections. */

import type { Clock } from "@limpetford/core/time/clock";

import type { AcceptQueueMonitor } from "../vm/accept_queue_monitor.ts";
import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";

/**
 * Longest time for which a caller's close or a response may have lain unread when a
 * step that rests on it is taken.
 */
const MAX_UNREAD_MS = 150;
/** Time in a turn of the event loop in which requests are begun. */
const TURN_BUDGET_MS = 10;
/** Longest time for which a step waits while connections are accepted. */
const MAX_ACCEPT_WAIT_MS = 100;

interface QueuedStep {
  readonly run: () => void;
  readonly queuedAtMs: number;
  /** Number of the turn in which it was queued. */
  readonly turn: number;
}

/**
 * Begins to serve what was read from callers. The close of a caller is read after
 * its request, so while the event loop is behind, some of those callers have left.
 * Then what was read waits until the connections have been read once more, and a
 * turn of the loop begins only as much as lets it read them again soon, the oldest
 * first. Attempts and timeouts of requests that were begun wait in the same way.
 * A turn accepts one connection, so those that wait are accepted before it serves.
 */
export class ArrivalQueue {
  readonly #clock: Clock;
  readonly #loop: EventLoopMonitor;
  readonly #acceptQueue: Pick<AcceptQueueMonitor, "isBusy">;
  readonly #steps: QueuedStep[] = [];
  #turn = 0;
  #turnStartedAtMs = -Infinity;
  #isTurnObserved = false;

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
   * its turn otherwise.
   *
   * @param run - begins to serve the request
   */
  begin(run: () => void): void {
    const nowMs = this.#clock.readMonotonicMs();
    this.#observeTurn(nowMs);
    if (
      this.#steps.length > 0 || this.#mayBeUnread() ||
      nowMs - this.#turnStartedAtMs > TURN_BUDGET_MS
    ) {
      this.#add(run, nowMs);
    } else {
      run();
    }
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
      const nowMs = this.#clock.readMonotonicMs();
      this.#observeTurn(nowMs);
      this.#add(run, nowMs);
    } else {
      run();
    }
  }

  #mayBeUnread(): boolean {
    return this.#loop.maxUnreadMs > MAX_UNREAD_MS;
  }

  #shouldAcceptFirst(queuedMs: number): boolean {
    return this.#acceptQueue.isBusy && queuedMs < MAX_ACCEPT_WAIT_MS;
  }

  #add(run: () => void, queuedAtMs: number): void {
    this.#steps.push({ run, queuedAtMs, turn: this.#turn });
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
      void this.#runSteps(this.#turn - 2);
    });
  }

  // Waits for what a step has set going before it begins the next one, so that the
  // budget covers that as well. Nothing is read meanwhile.
  async #runSteps(lastTurn: number): Promise<void> {
    const startedAtMs = this.#clock.readMonotonicMs();
    let nowMs = startedAtMs;
    while (nowMs - startedAtMs < TURN_BUDGET_MS) {
      const [next] = this.#steps;
      if (
        next === undefined || next.turn > lastTurn ||
        this.#shouldAcceptFirst(nowMs - next.queuedAtMs)
      ) {
        break;
      }
      this.#steps.shift();
      this.#loop.recordDelay(nowMs - next.queuedAtMs);
      next.run();
      await Promise.resolve();
      nowMs = this.#clock.readMonotonicMs();
    }
    if (this.#steps.length > 0) {
      this.#observeTurn(nowMs);
    }
  }
}
