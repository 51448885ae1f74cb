/** Requests that wait for a slot of one service. */

import type { PlacementDemand } from "./placement_demand.ts";

/** A request that waits. */
export interface Waiter<T> {
  readonly demand: PlacementDemand;
  readonly arrivedAtMs: number;
  readonly item: T;
}

/**
 * Keeps waiting requests by rank. Within a rank, those that can still meet
 * their target come first, the earliest target ahead.
 */
export class WaitingRoom<T> {
  #waiters: Waiter<T>[] = [];

  /**
   * Requests that wait.
   *
   * @returns the current value
   */
  get size(): number {
    return this.#waiters.length;
  }

  /**
   * Adds a request.
   *
   * @param waiter - the request
   */
  add(waiter: Waiter<T>): void {
    this.#waiters.push(waiter);
  }

  /**
   * Removes a request.
   *
   * @param waiter - the request
   * @returns false if it did not wait
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
   * Counts the requests that would be placed before another.
   *
   * @param priority - rank of the other request
   * @returns the number
   */
  countAhead(priority: number): number {
    return this.#waiters.filter((waiter) => waiter.demand.priority <= priority)
      .length;
  }

  /**
   * Lists the requests in the order in which they are placed.
   *
   * @param nowMs - monotonic time
   * @param estimateMs - service time of a request
   * @returns the requests
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
   * Removes the requests that can no longer be served in time.
   *
   * @param nowMs - monotonic time
   * @param estimateMs - service time of a request
   * @returns the requests that were removed
   */
  removeHopeless(
    nowMs: number,
    estimateMs: (demand: PlacementDemand) => number,
  ): readonly Waiter<T>[] {
    const hopeless = this.#waiters.filter((waiter) =>
      nowMs + estimateMs(waiter.demand) > waiter.demand.deadlineAtMs
    );
    this.#waiters = this.#waiters.filter((waiter) =>
      !hopeless.includes(waiter)
    );
    return hopeless;
  }
}
