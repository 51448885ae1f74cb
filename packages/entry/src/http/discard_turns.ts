/** Paces the reading of what is only discarded. */

/** Time between two turns. */
const TURN_INTERVAL_MS = 10;
/** Connections that are read once in a turn, of some ten KB each. */
const CONNECTIONS_PER_TURN = 4;

/**
 * Shares out reads whose bytes nobody takes. Each read allocates a buffer, and Node
 * frees them only when it collects garbage.
 */
export class DiscardTurns {
  /** In the order in which they came. */
  readonly #waiting = new Map<object, () => void>();
  #isScheduled = false;

  /**
   * Waits for the next read.
   *
   * @param owner - connection that waits
   * @param resume - reads it once
   */
  wait(owner: object, resume: () => void): void {
    this.#waiting.set(owner, resume);
    this.#scheduleTurn();
  }

  #scheduleTurn(): void {
    if (!this.#isScheduled && this.#waiting.size > 0) {
      this.#isScheduled = true;
      setTimeout(() => {
        this.#runTurn();
      }, TURN_INTERVAL_MS).unref();
    }
  }

  #runTurn(): void {
    this.#isScheduled = false;
    const turn = [...this.#waiting].slice(0, CONNECTIONS_PER_TURN);
    for (const [owner, resume] of turn) {
      this.#waiting.delete(owner);
      resume();
    }
    this.#scheduleTurn();
  }
}
