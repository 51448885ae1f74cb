/** Priority queue of requests that wait for a slot of one service. */

import type { TeamId } from "@limpetford/domain/ids";

import type { PlacementDemand } from "./placement_demand.ts";
import { TeamServiceMeter } from "./team_service_meter.ts";

/** Time for which the queue stays fair between teams after a refusal. */
const CROWDED_MS = 2_000;

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
 * still meet their latency target come first, the earliest target ahead. While
 * requests are refused for the length of the queue, the request goes ahead whose
 * team has been given least, with its own requests ahead counted, so that a team
 * that sends too much waits behind its own requests.
 */
export class WaitQueue<T> {
  #waiters: Waiter<T>[] = [];
  readonly #given = new TeamServiceMeter();
  #crowdedUntilMs = -Infinity;

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
   * Takes some requests out of the queue.
   *
   * @param isTaken - chooses them
   * @returns the entries, in the order of their arrival
   */
  takeMatching(isTaken: (waiter: Waiter<T>) => boolean): readonly Waiter<T>[] {
    const taken = this.#waiters.filter(isTaken);
    this.#waiters = this.#waiters.filter((waiter) => !taken.includes(waiter));
    return taken;
  }

  /**
   * Takes all requests out of the queue.
   *
   * @returns the entries, in the order of their arrival
   */
  takeAll(): readonly Waiter<T>[] {
    const taken = this.#waiters;
    this.#waiters = [];
    return taken;
  }

  /**
   * Records that a request was placed, whether or not it has waited.
   *
   * @param demand - the request
   * @param nowMs - monotonic time, in milliseconds
   */
  recordPlaced({ team }: PlacementDemand, nowMs: number): void {
    this.#given.recordPlaced(team, nowMs);
  }

  /**
   * Records that a request was refused for the length of the queue.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  recordRefused(nowMs: number): void {
    this.#crowdedUntilMs = nowMs + CROWDED_MS;
  }

  /**
   * Checks whether requests of the same or a more urgent priority wait.
   *
   * @param priority - priority of a new request
   * @returns true if at least one does
   */
  hasWaiting(priority: number): boolean {
    return this.#waiters.some(({ demand }) => demand.priority <= priority);
  }

  /**
   * Counts the requests that would be placed before a new one.
   *
   * @param demand - the new request
   * @param nowMs - monotonic time, in milliseconds
   * @returns the number of requests of a more urgent priority, and of those of
   * the same one; while requests are refused, only of those that fairness
   * between teams puts ahead
   */
  countAhead({ team, priority }: PlacementDemand, nowMs: number): number {
    if (nowMs >= this.#crowdedUntilMs) {
      return this.#waiters.filter(({ demand }) => demand.priority <= priority)
        .length;
    }
    let urgent = 0;
    const countByTeam = new Map<TeamId | undefined, number>();
    for (const { demand } of this.#waiters) {
      if (demand.priority < priority) {
        urgent += 1;
      } else if (demand.priority === priority) {
        countByTeam.set(demand.team, (countByTeam.get(demand.team) ?? 0) + 1);
      }
    }
    const own = countByTeam.get(team) ?? 0;
    const ownTurn = this.#given.readCount(team, nowMs) + own;
    let ahead = urgent + own;
    for (const [other, count] of countByTeam) {
      if (other !== team) {
        const turns = ownTurn - this.#given.readCount(other, nowMs) + 1;
        ahead += Math.min(count, Math.max(0, Math.floor(turns)));
      }
    }
    return ahead;
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
    const isLate = ({ demand }: Waiter<T>): number =>
      Number(nowMs + estimateMs(demand) > demand.targetAtMs);
    const compareUrgency = (a: Waiter<T>, b: Waiter<T>): number =>
      a.demand.priority - b.demand.priority || isLate(a) - isLate(b);
    const byTarget = [...this.#waiters].sort((a, b) =>
      compareUrgency(a, b) || a.demand.targetAtMs - b.demand.targetAtMs
    );
    if (nowMs >= this.#crowdedUntilMs) {
      return byTarget;
    }
    const turns = this.#computeTurns(byTarget, nowMs);
    return byTarget.sort((a, b) =>
      compareUrgency(a, b) || (turns.get(a) ?? 0) - (turns.get(b) ?? 0) ||
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
    return this.takeMatching(({ demand }) =>
      nowMs + estimateMs(demand) > demand.deadlineAtMs
    );
  }

  // A team's next request has its team's count as its turn, the others follow.
  #computeTurns(
    waiters: readonly Waiter<T>[],
    nowMs: number,
  ): ReadonlyMap<Waiter<T>, number> {
    const nextByTeam = new Map<TeamId | undefined, number>();
    const turns = new Map<Waiter<T>, number>();
    for (const waiter of waiters) {
      const { team } = waiter.demand;
      const turn = nextByTeam.get(team) ?? this.#given.readCount(team, nowMs);
      turns.set(waiter, turn);
      nextByTeam.set(team, turn + 1);
    }
    return turns;
  }
}
