/** Priority queue of requests that wait for a slot of one service. */

import type { PlacementDemand } from "./placement_demand.ts";

/** A request that waits for a slot. */
export interface Waiter<T> {
  readonly demand: PlacementDemand;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAtMs: number;
  /** Payload, returned with the decision. */
  readonly item: T;
}

/**
 * Orders waiting requests by priority. Within a priority, requests that can
 * still meet their latency target come first, the earliest target ahead.
 */
export class WaitQueue<T> {
  #waiters: Waiter<T>[] = [];

  /**
   * Length of the queue.
   *
   * @returns the number of waiting requests
   */
  get size(): number {
    return this.#waiters.length;
  }

  /**
   * Adds a request to the queue.
   *
   * @param waiter - entry with the request's priority and deadline
   */
  add(waiter: Waiter<T>): void {
    this.#waiters.push(waiter);
  }

  /**
   * Removes a request from the queue.
   *
   * @param waiter - entry passed to {@link add}
   * @returns false if it was not in the queue
   */
  remove(waiter: Waiter<T>): boolean {
    const index = this.#waiters.indexOf(waiter);
    if (index < 0) {
      return false;
    }
    this.#waiters.splice(index, 1);
    return true;
  }

  /**
   * Counts the requests that would be placed before a new one.
   *
   * @param priority - priority of the new request
   * @returns the number of requests of the same or a more urgent priority
   */
  countAhead(priority: number): number {
    return this.#waiters.filter((waiter) => waiter.demand.priority <= priority)
      .length;
  }

  /**
   * Lists the requests in the order in which they are placed.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @param estimateMs - estimates the service time of a request
   * @returns a sorted copy of the queue
   */
  listInOrder(
    nowMs: number,
    estimateMs: (demand: PlacementDemand) => number,
  ): readonly Waiter<T>[] {
    const isLate = (waiter: Waiter<T>): boolean =>
      nowMs + estimateMs(waiter.demand) > waiter.demand.targetAtMs;
    return [...this.#waiters].sort((a, b) =>
      a.demand.priority - b.demand.priority ||
      Number(isLate(a)) - Number(isLate(b)) ||
      a.demand.targetAtMs - b.demand.targetAtMs
    );
  }

  /**
   * Removes the requests that would miss their deadline even if they started
   * now.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @param estimateMs - estimates the service time of a request
   * @returns the requests that were removed
   */
  removeExpired(
    nowMs: number,
    estimateMs: (demand: PlacementDemand) => number,
  ): readonly Waiter<T>[] {
    const expired = this.#waiters.filter((waiter) =>
      nowMs + estimateMs(waiter.demand) > waiter.demand.deadlineAtMs
    );
    this.#waiters = this.#waiters.filter((waiter) => !expired.includes(waiter));
    return expired;
  }
}
