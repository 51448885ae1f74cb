/** Persistent tables: immutable versions that share their unchanged records. */

/** Largest number of differences from a base before a new base is built. */
const MAX_OVERLAY_SIZE = 64;

/**
 * Immutable table of records by name. A changed table shares its base with the
 * old one, so that the cost of a change does not grow with the table.
 */
export class VersionedTable<Id extends string, T> {
  readonly #base: ReadonlyMap<Id, T>;
  /** Records that differ from the base; undefined for a removed record. */
  readonly #overlay: ReadonlyMap<Id, T | undefined>;
  #list: readonly T[] | undefined;

  /**
   * Creates a table.
   *
   * @param base - records by name; must not change afterwards
   * @param overlay - differences from the base; none by default
   */
  constructor(
    base: ReadonlyMap<Id, T>,
    overlay: ReadonlyMap<Id, T | undefined> = new Map(),
  ) {
    this.#base = base;
    this.#overlay = overlay;
  }

  /**
   * Finds a record.
   *
   * @param id - name of the record
   * @returns the record; undefined if it does not exist
   */
  find(id: Id): T | undefined {
    return this.#overlay.has(id) ? this.#overlay.get(id) : this.#base.get(id);
  }

  /**
   * Lists all records.
   *
   * @returns records in no particular order; the same array at each call
   */
  list(): readonly T[] {
    this.#list ??= this.#overlay.size === 0
      ? [...this.#base.values()]
      : [...this.#merge().values()];
    return this.#list;
  }

  /**
   * Begins a set of changes.
   *
   * @returns an empty draft; this table stays as it is
   */
  begin(): TableDraft<Id, T> {
    return new TableDraft(this, this.#overlay);
  }

  /**
   * Builds a new table with the same base and other differences from it.
   *
   * @param overlay - differences from this table's base
   * @returns the new table; with a merged base if there are many differences
   */
  update(overlay: ReadonlyMap<Id, T | undefined>): VersionedTable<Id, T> {
    const next = new VersionedTable(this.#base, overlay);
    return overlay.size <= MAX_OVERLAY_SIZE
      ? next
      : new VersionedTable(next.#merge());
  }

  #merge(): ReadonlyMap<Id, T> {
    const merged = new Map(this.#base);
    for (const [id, record] of this.#overlay) {
      if (record === undefined) {
        merged.delete(id);
      } else {
        merged.set(id, record);
      }
    }
    return merged;
  }
}

/**
 * Mutable set of changes to a table that have not yet taken effect.
 */
export class TableDraft<Id extends string, T> {
  readonly #table: VersionedTable<Id, T>;
  readonly #overlay: Map<Id, T | undefined>;
  readonly #changed = new Set<Id>();

  /**
   * Creates a draft without changes.
   *
   * @param table - table to change
   * @param overlay - differences of the table from its base
   */
  constructor(
    table: VersionedTable<Id, T>,
    overlay: ReadonlyMap<Id, T | undefined>,
  ) {
    this.#table = table;
    this.#overlay = new Map(overlay);
  }

  /**
   * Finds a record, taking the changes so far into account.
   *
   * @param id - name of the record
   * @returns the record; undefined if it does not exist or was removed
   */
  find(id: Id): T | undefined {
    return this.#overlay.has(id) ? this.#overlay.get(id) : this.#table.find(id);
  }

  /**
   * Adds a record or replaces the one of the same name.
   *
   * @param id - name of the record
   * @param record - new record
   */
  put(id: Id, record: T): void {
    this.#overlay.set(id, record);
    this.#changed.add(id);
  }

  /**
   * Removes a record.
   *
   * @param id - name of the record
   * @returns false if no such record exists
   */
  remove(id: Id): boolean {
    if (this.find(id) === undefined) {
      return false;
    }
    this.#overlay.set(id, undefined);
    this.#changed.add(id);
    return true;
  }

  /**
   * Lists the records that were put and not removed afterwards.
   *
   * @returns names of the records
   */
  listPut(): readonly Id[] {
    return [...this.#changed].filter((id) => this.find(id) !== undefined);
  }

  /**
   * Checks whether any record has been removed and not put again.
   *
   * @returns true if at least one record has been removed
   */
  hasRemoved(): boolean {
    return [...this.#changed].some((id) => this.find(id) === undefined);
  }

  /**
   * Builds the table with the changes applied.
   *
   * @returns the new table; the old one if nothing changed
   */
  complete(): VersionedTable<Id, T> {
    return this.#changed.size === 0
      ? this.#table
      : this.#table.update(this.#overlay);
  }
}
