/** Measures how far the event loop of this process is behind. */

import type { Clock } from "@limpetford/core/time/clock";

import { RecentMaximum } from "./recent_maximum.ts";

/** Turns in which what had arrived before a late timer is read. */
const TURNS_AFTER_TIMER = 2;
/** Delay of the regular timer from which these turns are observed at once. */
const LATE_TIMER_MS = 20;
/** Delay of the regular timer from which the loop counts as having stood still. */
const MIN_STALL_MS = 200;

/** A time in which the loop stood still, in monotonic milliseconds. */
interface Stall {
  readonly startedAtMs: number;
  readonly endedAtMs: number;
}

/**
 * Bounds the time for which bytes that are read now have lain unread. Whatever had
 * arrived before the turn of the event loop before the last one ended has been read
 * since. A process that was stopped shows the same as one that was busy.
 */
export class EventLoopMonitor {
  readonly #clock: Clock;
  #lastTurnAtMs: number;
  #turnBeforeAtMs: number;
  #isScheduled = false;
  /** When the first of this turn's reads was handled. */
  #readingSinceMs: number | undefined;
  #turn = 0;
  #timerDueAtMs = Infinity;
  #timerDelayMs = 0;
  #timerTurn = -Infinity;
  #lastStall: Stall = { startedAtMs: -Infinity, endedAtMs: -Infinity };
  readonly #delays: RecentMaximum;
  readonly #queueing: RecentMaximum;

  /**
   * Starts with a loop that is not behind.
   *
   * @param clock - measures the turns
   */
  constructor(clock: Clock) {
    this.#clock = clock;
    const nowMs = clock.readMonotonicMs();
    this.#lastTurnAtMs = nowMs;
    this.#turnBeforeAtMs = nowMs;
    this.#delays = new RecentMaximum(clock);
    this.#queueing = new RecentMaximum(clock);
  }

  /**
   * Longest time for which bytes that are read now may have lain unread.
   *
   * @returns milliseconds; large also if no turn was observed for a while
   */
  get maxUnreadMs(): number {
    return this.#clock.readMonotonicMs() - this.#turnBeforeAtMs;
  }

  /**
   * Time for which bytes that are read now are likely to have lain unread, going by
   * how late the regular timer is or has just been.
   *
   * @returns milliseconds; 0 while the loop is not behind
   */
  get likelyUnreadMs(): number {
    const overdueMs = this.#clock.readMonotonicMs() - this.#timerDueAtMs;
    const delayMs = this.#turn - this.#timerTurn < TURNS_AFTER_TIMER
      ? this.#timerDelayMs
      : 0;
    return Math.max(0, overdueMs, delayMs);
  }

  /**
   * Time for which bytes that are read now have lain unread at least: a turn reads
   * what had come when it began to.
   *
   * @returns milliseconds since the first read of this turn that was observed
   */
  get minUnreadMs(): number {
    const nowMs = this.#clock.readMonotonicMs();
    return nowMs - (this.#readingSinceMs ?? nowMs);
  }

  /** Observes that bytes were read from a connection. */
  observeRead(): void {
    this.#readingSinceMs ??= this.#clock.readMonotonicMs();
    this.observeTurn();
  }

  /**
   * Announces when the regular timer is due next. It shows how late the loop is.
   *
   * @param dueAtMs - monotonic time, in milliseconds
   */
  setTimerDue(dueAtMs: number): void {
    this.#timerDueAtMs = dueAtMs;
  }

  /**
   * Finds the last time in which the loop stood still, going by the regular timer.
   *
   * @param afterMs - monotonic time, in milliseconds
   * @returns its start; undefined if it had ended by `afterMs`
   */
  findStallStart(afterMs: number): number | undefined {
    const nowMs = this.#clock.readMonotonicMs();
    const { startedAtMs, endedAtMs } =
      nowMs - this.#timerDueAtMs >= MIN_STALL_MS
        ? this.#computeStall(nowMs)
        : this.#lastStall;
    return endedAtMs > afterMs ? startedAtMs : undefined;
  }

  /** Observes that the regular timer runs, which is the beginning of a turn. */
  observeTimer(): void {
    const nowMs = this.#clock.readMonotonicMs();
    const delayMs = nowMs - this.#timerDueAtMs;
    if (delayMs >= MIN_STALL_MS) {
      this.#lastStall = this.#computeStall(nowMs);
    }
    this.#timerDelayMs = delayMs;
    this.#timerTurn = this.#turn;
    this.#timerDueAtMs = Infinity;
    this.recordDelay(delayMs);
    this.observeTurn();
    if (delayMs > LATE_TIMER_MS) {
      setImmediate(() => {
        this.observeTurn();
      });
    }
  }

  /**
   * Longest delay that was recorded within the last one to two seconds.
   *
   * @returns milliseconds
   */
  get longestDelayMs(): number {
    return this.#delays.read();
  }

  /**
   * Longest time within the last one to two seconds for which connections waited
   * while others were accepted.
   *
   * @returns milliseconds
   */
  get longestQueueMs(): number {
    return this.#queueing.read();
  }

  /** Observes the end of this turn. Has to be called several times a second. */
  observeTurn(): void {
    if (this.#isScheduled) {
      return;
    }
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#readingSinceMs = undefined;
      this.#turn += 1;
      this.#turnBeforeAtMs = this.#lastTurnAtMs;
      this.#lastTurnAtMs = this.#clock.readMonotonicMs();
    });
  }

  // Two stalls with little time between them count as one.
  #computeStall(endedAtMs: number): Stall {
    const { startedAtMs, endedAtMs: lastEndedAtMs } = this.#lastStall;
    const isSame = this.#timerDueAtMs - lastEndedAtMs < MIN_STALL_MS;
    return {
      startedAtMs: isSame ? startedAtMs : this.#timerDueAtMs,
      endedAtMs,
    };
  }

  /**
   * Records by how much something ran later than it could have run.
   *
   * @param delayMs - delay of a timer or of a request, in milliseconds
   */
  recordDelay(delayMs: number): void {
    this.#delays.record(delayMs);
  }

  /**
   * Records how long a connection waited while others were accepted.
   *
   * @param queueMs - the wait, in milliseconds
   */
  recordQueueing(queueMs: number): void {
    this.#queueing.record(queueMs);
  }
}
