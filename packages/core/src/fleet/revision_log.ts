/** Numbers the changes of keyed state, so that receivers get what they lack. */

/**
 * Keeps the revision of the last change of each key. Revisions count from the
 * start of the process and are compared only with its own.
 */
export class RevisionLog {
  /** Revision of each key's last change, in ascending order. */
  readonly #revisions = new Map<string, number>();
  #revision = 0;

  /**
   * Revision of the last change.
   *
   * @returns 0 before the first change
   */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Records a change.
   *
   * @param key - key whose state has changed
   */
  record(key: string): void {
    this.#revision += 1;
    this.#revisions.delete(key);
    this.#revisions.set(key, this.#revision);
  }

  /**
   * Lists the keys that changed after a revision, oldest change first.
   *
   * @param seen - revision that the receiver has
   * @param limit - maximum number of keys
   * @returns the keys, and the revision that the receiver has with them
   */
  listSince(
    seen: number,
    limit = Infinity,
  ): { readonly keys: readonly string[]; readonly revision: number } {
    if (seen >= this.#revision) {
      return { keys: [], revision: this.#revision };
    }
    const changed = [...this.#revisions].filter(([, at]) => at > seen);
    const listed = changed.slice(0, limit);
    return {
      keys: listed.map(([key]) => key),
      revision: listed.length === changed.length
        ? this.#revision
        : listed.at(-1)?.[1] ?? seen,
    };
  }

  /**
   * Forgets a key that no longer has any state.
   *
   * @param key - key whose state is gone
   */
  drop(key: string): void {
    this.#revisions.delete(key);
  }

  /**
   * Forgets keys that no longer have any state.
   *
   * @param isKept - checks whether a key still has state
   */
  dropExcept(isKept: (key: string) => boolean): void {
    for (const key of this.#revisions.keys()) {
      if (!isKept(key)) {
        this.#revisions.delete(key);
      }
    }
  }
}
