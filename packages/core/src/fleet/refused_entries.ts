/** Entries of the store that are not used, each reported once. */

/** Entries kept; the oldest is evicted, and may be reported again. */
const MAX_ENTRIES = 1_000;

/** Keeps why entries are not used, so that repeats of an entry are not news. */
export class RefusedEntries {
  readonly #causes = new Map<string, string>();

  /**
   * Number of entries that are not used at present.
   *
   * @returns at most `MAX_ENTRIES`
   */
  get count(): number {
    return this.#causes.size;
  }

  /**
   * Records that an entry is not used.
   *
   * @param key - key of the entry
   * @param cause - why it is not used
   * @returns false if the same was recorded for this entry before
   */
  record(key: string, cause: string): boolean {
    if (this.#causes.get(key) === cause) {
      return false;
    }
    this.#causes.delete(key);
    this.#causes.set(key, cause);
    if (this.#causes.size > MAX_ENTRIES) {
      for (const oldest of this.#causes.keys()) {
        this.#causes.delete(oldest);
        break;
      }
    }
    return true;
  }

  /**
   * Drops an entry that is used or gone.
   *
   * @param key - key of the entry
   */
  drop(key: string): void {
    this.#causes.delete(key);
  }

  /**
   * Drops all entries but those that the store still has.
   *
   * @param keys - keys of its entries
   */
  keepOnly(keys: ReadonlySet<string>): void {
    for (const key of this.#causes.keys()) {
      if (!keys.has(key)) {
        this.#causes.delete(key);
      }
    }
  }
}
