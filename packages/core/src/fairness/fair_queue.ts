/** Queue of requests that wait for a slot, fair between teams by slot time. */

/** Slot time that a team of weight 1 receives in each round. */
const QUANTUM_MS = 20;
/** Largest deficit, positive or negative, after a correction. */
const MAX_DEFICIT_MS = 1_000;
/** Most turns that one search for a request takes. */
const MAX_ROUNDS = 200;

/** A request that waits for a slot. */
export interface QueuedItem<T> {
  /** Team that is charged; requests without a team share the empty name. */
  readonly team: string;
  /** Share of slot time relative to other teams. */
  readonly weight: number;
  /** Expected slot time, in milliseconds. */
  readonly costMs: number;
  /** Monotonic time at which the wait times out, in milliseconds. */
  readonly waitUntilMs: number;
  /** Payload, returned with the item. */
  readonly value: T;
}

interface TeamQueue<T> {
  readonly items: QueuedItem<T>[];
  weight: number;
  /** Slot time that the team may use; negative after an underestimate. */
  deficitMs: number;
}

/**
 * Schedules requests by deficit round robin over teams. The cost of a request
 * is its slot time, so that slow requests gain a team no larger share.
 */
export class FairQueue<T> {
  readonly #teams = new Map<string, TeamQueue<T>>();
  readonly #active: string[] = [];
  #length = 0;

  /**
   * Adds a request at the end of its team's queue.
   *
   * @param item - the request; its weight replaces the team's
   */
  add(item: QueuedItem<T>): void {
    const queue = this.#findTeam(item.team);
    queue.weight = item.weight;
    if (queue.items.length === 0) {
      this.#active.push(item.team);
      queue.deficitMs = Math.min(0, queue.deficitMs);
    }
    queue.items.push(item);
    this.#length += 1;
  }

  /**
   * Takes the next request in turn. A team whose first request cannot be placed
   * is skipped.
   *
   * @param mayTake - checks whether a request can be placed now
   * @returns the request, or undefined if none can be placed
   */
  take(mayTake: (item: QueuedItem<T>) => boolean): QueuedItem<T> | undefined {
    const blocked = new Set<string>();
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      const team = this.#active[0];
      const queue = team === undefined ? undefined : this.#teams.get(team);
      const head = queue?.items[0];
      if (team === undefined || queue === undefined || head === undefined) {
        return undefined;
      }
      if (!blocked.has(team) && !mayTake(head)) {
        blocked.add(team);
      }
      if (blocked.size === this.#active.length) {
        return undefined;
      }
      if (!blocked.has(team) && queue.deficitMs >= head.costMs) {
        queue.deficitMs -= head.costMs;
        this.#removeHead(team, queue);
        return head;
      }
      if (!blocked.has(team)) {
        queue.deficitMs += QUANTUM_MS * queue.weight;
      }
      this.#advanceTurn();
    }
    return undefined;
  }

  /**
   * Corrects a team's deficit by the error of a slot time estimate.
   *
   * @param team - name of the team; ignored if it has no queue
   * @param differenceMs - actual minus expected slot time; negative to refund
   */
  applyCharge(team: string, differenceMs: number): void {
    const queue = this.#teams.get(team);
    if (queue !== undefined) {
      queue.deficitMs = Math.max(
        -MAX_DEFICIT_MS,
        Math.min(MAX_DEFICIT_MS, queue.deficitMs - differenceMs),
      );
    }
  }

  /**
   * Removes requests that have timed out or were cancelled.
   *
   * @param shouldRemove - checks whether a request is to be removed
   * @returns the removed requests
   */
  expire(
    shouldRemove: (item: QueuedItem<T>) => boolean,
  ): readonly QueuedItem<T>[] {
    const removed: QueuedItem<T>[] = [];
    for (const team of [...this.#active]) {
      const queue = this.#findTeam(team);
      const kept = queue.items.filter((item) => !shouldRemove(item));
      removed.push(...queue.items.filter((item) => shouldRemove(item)));
      queue.items.length = 0;
      queue.items.push(...kept);
      if (kept.length === 0) {
        this.#active.splice(this.#active.indexOf(team), 1);
      }
    }
    this.#length -= removed.length;
    return removed;
  }

  /**
   * Estimates how long a new request of a team would wait.
   *
   * @param team - name of the team; it may have no queue yet
   * @param weight - the team's share relative to other teams
   * @param slots - requests that this VM may run concurrently
   * @returns expected wait, in milliseconds
   */
  estimateWaitMs(team: string, weight: number, slots: number): number {
    const own = this.#teams.get(team);
    const ownCostMs = sumCostsMs(own?.items ?? []) -
      Math.min(0, own?.deficitMs ?? 0);
    let allCostMs = 0;
    let otherWeights = 0;
    for (const name of this.#active) {
      const queue = this.#findTeam(name);
      allCostMs += sumCostsMs(queue.items);
      otherWeights += name === team ? 0 : queue.weight;
    }
    const fairMs = ownCostMs * (weight + otherWeights) / weight;
    return Math.min(fairMs, Math.max(allCostMs, ownCostMs)) /
      Math.max(1, slots);
  }

  /**
   * Counts the waiting requests of all teams.
   *
   * @returns the number of requests
   */
  countAll(): number {
    return this.#length;
  }

  #findTeam(team: string): TeamQueue<T> {
    const known = this.#teams.get(team);
    if (known !== undefined) {
      return known;
    }
    const created: TeamQueue<T> = { items: [], weight: 1, deficitMs: 0 };
    this.#teams.set(team, created);
    return created;
  }

  #removeHead(team: string, queue: TeamQueue<T>): void {
    queue.items.shift();
    this.#length -= 1;
    if (queue.items.length === 0) {
      this.#active.splice(this.#active.indexOf(team), 1);
    }
  }

  #advanceTurn(): void {
    const first = this.#active.shift();
    if (first !== undefined) {
      this.#active.push(first);
    }
  }
}

function sumCostsMs(items: readonly QueuedItem<unknown>[]): number {
  return items.reduce((sum, item) => sum + item.costMs, 0);
}
