/** Shares the parser among connections, in turns of the event loop. */

/** Parts that one connection parses in one turn. */
const MAX_PARTS_EACH = 4;
/** Parts that all parse together, but for the first one of each. */
const MAX_PARTS = 32;

/**
 * Counts the parts that are parsed in a turn. Whoever has to wait goes on in the next
 * turn, so that callers and other servers are read between. Those that parsed nothing
 * in this turn go first then.
 */
export class ParseTurns {
  #parts = 0;
  readonly #own = new Map<object, number>();
  /** Those that parsed nothing in this turn. */
  readonly #passedOver = new Map<object, () => void>();
  readonly #waiting = new Map<object, () => void>();
  #isScheduled = false;

  /**
   * Takes the right to parse one more part.
   *
   * @param owner - connection that brought it
   * @param resume - called in a later turn if it has to wait
   * @param isLong - true if much was parsed of its message already: then its first
   * part in a turn may have to wait as well
   * @returns false if it has to wait
   */
  take(owner: object, resume: () => void, isLong = false): boolean {
    this.#scheduleTurn();
    const own = this.#own.get(owner) ?? 0;
    const mayWait = isLong || own > 0;
    if (mayWait && (this.#parts >= MAX_PARTS || own >= MAX_PARTS_EACH)) {
      (own === 0 ? this.#passedOver : this.#waiting).set(owner, resume);
      return false;
    }
    this.#parts += 1;
    this.#own.set(owner, own + 1);
    return true;
  }

  #scheduleTurn(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => {
        this.#beginTurn();
      });
    }
  }

  #beginTurn(): void {
    this.#isScheduled = false;
    this.#parts = 0;
    this.#own.clear();
    const waiting = [...this.#passedOver.values(), ...this.#waiting.values()];
    this.#passedOver.clear();
    this.#waiting.clear();
    for (const resume of waiting) {
      resume();
    }
  }
}
