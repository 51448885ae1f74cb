/** A discrete-event scheduler for simulations of many VMs. */

import { Clock } from "@limpetford/core/time/clock";

/** Wall time at virtual time 0, in milliseconds since the Unix epoch. */
const START_WALL_MS = 1_800_000_000_000;

interface QueuedEvent {
  readonly dueAtMs: number;
  readonly sequence: number;
  readonly run: () => void;
  isCancelled: boolean;
}

/**
 * Runs events in the order of their due time, and those due at the same time in
 * the order in which they were scheduled. The clock stands at the due time of the
 * running event.
 */
export class VirtualTime extends Clock {
  #nowMs = 0;
  #sequence = 0;
  /** Binary min-heap, ordered by due time and sequence number. */
  readonly #heap: QueuedEvent[] = [];

  override readMonotonicMs(): number {
    return this.#nowMs;
  }

  override readWallMs(): number {
    return START_WALL_MS + this.#nowMs;
  }

  /**
   * Schedules an event.
   *
   * @param delayMs - virtual milliseconds from now; negative values count as 0
   * @param run - called when the event is due
   * @returns a function that cancels the event
   */
  schedule(delayMs: number, run: () => void): () => void {
    const event: QueuedEvent = {
      dueAtMs: this.#nowMs + Math.max(0, delayMs),
      sequence: this.#sequence,
      run,
      isCancelled: false,
    };
    this.#heap.push(event);
    this.#sequence += 1;
    this.#sortUp(this.#heap.length - 1);
    return () => {
      event.isCancelled = true;
    };
  }

  /**
   * Waits in virtual time, until another caller has advanced it far enough.
   *
   * @param delayMs - virtual milliseconds to wait
   */
  async wait(delayMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.schedule(delayMs, resolve);
    });
  }

  /**
   * Runs all events up to a time, without letting promises settle.
   *
   * @param untilMs - virtual time at which to stop; events due then still run
   */
  advanceTo(untilMs: number): void {
    for (
      let next = this.#takeDue(untilMs);
      next !== undefined;
      next = this.#takeDue(untilMs)
    ) {
      next.run();
    }
    this.#nowMs = Math.max(this.#nowMs, untilMs);
  }

  /**
   * Runs all events up to a time and lets promises settle after each one.
   *
   * @param untilMs - virtual time at which to stop; events due then still run
   */
  async advanceAndSettle(untilMs: number): Promise<void> {
    await settlePromises();
    for (
      let next = this.#takeDue(untilMs);
      next !== undefined;
      next = this.#takeDue(untilMs)
    ) {
      next.run();
      await settlePromises();
    }
    this.#nowMs = Math.max(this.#nowMs, untilMs);
  }

  #takeDue(untilMs: number): QueuedEvent | undefined {
    for (;;) {
      const next = this.#heap[0];
      if (next === undefined || next.dueAtMs > untilMs) {
        return undefined;
      }
      this.#removeFirst();
      if (!next.isCancelled) {
        this.#nowMs = next.dueAtMs;
        return next;
      }
    }
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last !== undefined && this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#sortDown();
    }
  }

  #sortUp(from: number): void {
    for (let index = from; index > 0;) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) {
        return;
      }
      this.#setSwapped(index, parent);
      index = parent;
    }
  }

  #sortDown(): void {
    for (let index = 0;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const child = this.#isBefore(right, left) ? right : left;
      if (!this.#isBefore(child, index)) {
        return;
      }
      this.#setSwapped(index, child);
      index = child;
    }
  }

  #isBefore(a: number, b: number): boolean {
    const first = this.#heap[a];
    const second = this.#heap[b];
    if (first === undefined || second === undefined) {
      return first !== undefined;
    }
    return first.dueAtMs < second.dueAtMs ||
      (first.dueAtMs === second.dueAtMs && first.sequence < second.sequence);
  }

  #setSwapped(a: number, b: number): void {
    const first = this.#heap[a];
    const second = this.#heap[b];
    if (first !== undefined && second !== undefined) {
      this.#heap[a] = second;
      this.#heap[b] = first;
    }
  }
}

async function settlePromises(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}
