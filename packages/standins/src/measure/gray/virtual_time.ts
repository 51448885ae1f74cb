/** Discrete-event scheduler with a virtual clock. */

import { Clock } from "@limpetford/core/time/clock";

/** Event in the queue; equal times run in the order of scheduling. */
interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Runs events in order of their time; equal times in order of scheduling. Time
 * stands still while an event runs.
 */
export class VirtualTime extends Clock {
  readonly #heap: ScheduledEvent[] = [];
  #nowMs = 0;
  #order = 0;

  override readMonotonicMs(): number {
    return this.#nowMs;
  }

  override readWallMs(): number {
    return this.#nowMs;
  }

  /**
   * Schedules an event.
   *
   * @param delayMs - time from now, in milliseconds
   * @param run - called once at that time
   */
  schedule(delayMs: number, run: () => void): void {
    this.#order += 1;
    const event = {
      atMs: this.#nowMs + Math.max(0, delayMs),
      order: this.#order,
      run,
    };
    this.#heap.push(event);
    this.#sortUp(this.#heap.length - 1);
  }

  /**
   * Schedules a periodic event.
   *
   * @param intervalMs - time between two runs, in milliseconds
   * @param run - called after each interval
   */
  scheduleEvery(intervalMs: number, run: () => void): void {
    this.schedule(intervalMs, () => {
      run();
      this.scheduleEvery(intervalMs, run);
    });
  }

  /**
   * Runs all events due up to a time and advances the clock to it.
   *
   * @param untilMs - time in milliseconds, inclusive
   */
  run(untilMs: number): void {
    for (;;) {
      const next = this.#heap[0];
      if (next === undefined || next.atMs > untilMs) {
        this.#nowMs = untilMs;
        return;
      }
      this.#removeFirst();
      this.#nowMs = next.atMs;
      next.run();
    }
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last === undefined || this.#heap.length === 0) {
      return;
    }
    this.#heap[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (this.#isBefore(left, least)) {
        least = left;
      }
      if (this.#isBefore(right, least)) {
        least = right;
      }
      if (least === index) {
        return;
      }
      this.#setSwapped(index, least);
      index = least;
    }
  }

  #sortUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.#isBefore(index, parent)) {
        return;
      }
      this.#setSwapped(index, parent);
      index = parent;
    }
  }

  #isBefore(a: number, b: number): boolean {
    const first = this.#heap[a];
    const second = this.#heap[b];
    return first !== undefined && second !== undefined &&
      (first.atMs < second.atMs ||
        (first.atMs === second.atMs && first.order < second.order));
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
