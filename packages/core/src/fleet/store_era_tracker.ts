/** Decides when a store that returned from an older copy is complete again. */

import { compareLogPositions, type LogPosition } from "./log_position.ts";

/**
 * Time after the return within which operators and backend servers write again
 * what the store has lost.
 */
export const REWRITE_MS = 2_300;
/**
 * The same for a VM that knows nothing from before the return. It cannot notice
 * that the operators are late, as no bound is set to them.
 */
export const LATE_REWRITE_MS = 6_000;

/**
 * Follows the era of the store. What a store says in a new era may be older than
 * what it had acknowledged before, so it proves nothing until the writers have
 * had time to write again.
 */
export class StoreEraTracker {
  #era: number | undefined;
  #seenAtMs = -Infinity;
  /** True while this VM could not notice that something is lost. */
  #isUninformed = false;

  /**
   * The highest era seen.
   *
   * @returns the era; undefined before the first one
   */
  get era(): number | undefined {
    return this.#era;
  }

  /**
   * Records the era of an answer.
   *
   * @param era - era of the store
   * @param nowMs - monotonic time, in milliseconds
   * @returns true if the era has risen, also at its first observation
   */
  observe(era: number, nowMs: number): boolean {
    if (this.#era !== undefined && era <= this.#era) {
      return false;
    }
    this.#isUninformed = this.#era === undefined;
    this.#era = era;
    // A store that never returned from a copy has lost nothing.
    this.#seenAtMs = era === 0 ? -Infinity : nowMs;
    return true;
  }

  /**
   * Marks an era as complete, as another VM has recorded it on the store.
   *
   * @param era - era in which the store has been for long
   */
  markSettled(era: number): void {
    if (era === this.#era) {
      this.#seenAtMs = -Infinity;
    }
  }

  /**
   * Records that a record was replaced by a later one. If the VM found the earlier
   * one in the present era, its writers have written since, and are not late.
   *
   * @param known - position of the earlier record
   * @param later - position of the later record
   */
  observeRewrite(known: LogPosition, later: LogPosition): void {
    if (known.era === this.#era && compareLogPositions(later, known) > 0) {
      this.#isUninformed = false;
    }
  }

  /**
   * Checks whether the store has what it acknowledged in earlier eras.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns false while the writers may still have to write again
   */
  isSettled(nowMs: number): boolean {
    const rewriteMs = this.#isUninformed ? LATE_REWRITE_MS : REWRITE_MS;
    return this.#era !== undefined && nowMs - this.#seenAtMs >= rewriteMs;
  }

  /**
   * Checks whether VMs may still defer removals since the store has returned from
   * a copy.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns true for a while after a return
   */
  hasReturnedRecently(nowMs: number): boolean {
    return nowMs - this.#seenAtMs < LATE_REWRITE_MS;
  }
}
