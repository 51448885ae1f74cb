/** Clock for tests and simulations whose time is advanced explicitly. */

import { Clock } from "./clock.ts";

/** Wall-clock time at the start, in milliseconds since the Unix epoch. */
const START_WALL_MS = 1_800_000_000_000;
/** Turns of the microtask queue after which promises count as settled. */
const MICROTASK_ROUNDS = 32;

interface FakeTimer {
  readonly dueAtMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

/**
 * Clock and timers in virtual time.
 */
export class FakeClock extends Clock {
  #monotonicMs = 0;
  #wallOffsetMs: number;
  #sequence = 0;
  #timers: FakeTimer[] = [];

  /**
   * Starts virtual time at monotonic time 0.
   *
   * @param startWallMs - milliseconds since the Unix epoch
   */
  constructor(startWallMs = START_WALL_MS) {
    super();
    this.#wallOffsetMs = startWallMs;
  }

  override readMonotonicMs(): number {
    return this.#monotonicMs;
  }

  override readWallMs(): number {
    return this.#monotonicMs + this.#wallOffsetMs;
  }

  /**
   * Moves the wall clock alone; the monotonic clock stays.
   *
   * @param byMs - milliseconds; negative to move back
   */
  setWallJump(byMs: number): void {
    this.#wallOffsetMs += byMs;
  }

  /**
   * Schedules a callback.
   *
   * @param delayMs - virtual milliseconds from now
   * @param run - called once when the timer is due
   * @returns a function that cancels the timer
   */
  schedule(delayMs: number, run: () => void): () => void {
    const timer: FakeTimer = {
      dueAtMs: this.#monotonicMs + Math.max(0, delayMs),
      sequence: this.#sequence++,
      run,
    };
    this.#timers.push(timer);
    return () => {
      this.#timers = this.#timers.filter((other) => other !== timer);
    };
  }

  /**
   * Waits in virtual time.
   *
   * @param delayMs - virtual milliseconds
   * @returns resolves once the clock has been advanced by the delay
   */
  async wait(delayMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.schedule(delayMs, resolve);
    });
  }

  /**
   * Advances time and runs the timers that become due, in order.
   *
   * @param byMs - virtual milliseconds
   */
  advance(byMs: number): void {
    const untilMs = this.#monotonicMs + byMs;
    for (let timer = this.#takeDue(untilMs); timer !== undefined;) {
      timer.run();
      timer = this.#takeDue(untilMs);
    }
    this.#monotonicMs = untilMs;
  }

  /**
   * Advances time, and lets promises settle after each timer.
   *
   * @param byMs - virtual milliseconds
   */
  async advanceAndSettle(byMs: number): Promise<void> {
    const untilMs = this.#monotonicMs + byMs;
    await settlePromises();
    for (let timer = this.#takeDue(untilMs); timer !== undefined;) {
      timer.run();
      await settlePromises();
      timer = this.#takeDue(untilMs);
    }
    this.#monotonicMs = untilMs;
    await settlePromises();
  }

  #takeDue(untilMs: number): FakeTimer | undefined {
    const due = this.#timers
      .filter((timer) => timer.dueAtMs <= untilMs)
      .sort((a, b) => a.dueAtMs - b.dueAtMs || a.sequence - b.sequence)[0];
    if (due !== undefined) {
      this.#timers = this.#timers.filter((timer) => timer !== due);
      this.#monotonicMs = Math.max(this.#monotonicMs, due.dueAtMs);
    }
    return due;
  }
}

async function settlePromises(): Promise<void> {
  for (let round = 0; round < MICROTASK_ROUNDS; round++) {
    await Promise.resolve();
  }
}
