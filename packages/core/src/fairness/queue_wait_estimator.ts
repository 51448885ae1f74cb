/** Estimates how long a queue that is served in order makes its entries wait. */

/** Time for one entry before any was measured, in milliseconds. */
const INITIAL_STEP_MS = 1;
/** Number of measured entries that the initial time counts for. */
const INITIAL_WEIGHT = 4;
/** Share of their weight that earlier measurements keep at each new one. */
const DECAY = 0.98;
/** Share of an entry's time that it may spend in the queue. */
const MAX_WAIT_SHARE = 1 / 2;

/** The time of an entry, in milliseconds. */
export interface EntryTime {
  readonly timeLeftMs: number;
  /** Time that it has waited before and that counts as a part of its wait. */
  readonly lostMs: number;
}

/** Decides from its rate so far which entries a queue can serve in time. */
export class QueueWaitEstimator {
  #weight = INITIAL_WEIGHT;
  #sumMs = INITIAL_WEIGHT * INITIAL_STEP_MS;

  /** Forgets the rate, as the next entries may take another time. */
  reset(): void {
    this.#weight = INITIAL_WEIGHT;
    this.#sumMs = INITIAL_WEIGHT * INITIAL_STEP_MS;
  }

  /**
   * Records that an entry has left a queue in which others wait.
   *
   * @param stepMs - time since the one before it left, in milliseconds
   */
  record(stepMs: number): void {
    this.#weight = this.#weight * DECAY + 1;
    this.#sumMs = this.#sumMs * DECAY + stepMs;
  }

  /**
   * Estimates how long a new entry waits.
   *
   * @param ahead - number of entries before it
   * @returns milliseconds
   */
  estimateMs(ahead: number): number {
    return ahead * this.#sumMs / this.#weight;
  }

  /**
   * Decides whether an entry has time to wait for its turn. Of its time, a part
   * remains for being served.
   *
   * @param ahead - number of entries before it
   * @param time - time in which it has to be served, in milliseconds
   * @returns false if it is to be refused
   */
  mayWait(ahead: number, { timeLeftMs, lostMs }: EntryTime): boolean {
    if (timeLeftMs === Infinity) {
      return true;
    }
    const allowedMs = (lostMs + timeLeftMs) * MAX_WAIT_SHARE;
    return lostMs + this.estimateMs(ahead) <= allowedMs;
  }
}
