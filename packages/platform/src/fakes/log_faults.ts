/** Fault injection for the fake and the stand-in of the log service. */

import type { LogPage } from "../log_service.ts";

/**
 * The active faults of a log service. All are off initially; tests may change
 * them at any time.
 */
export class LogFaults {
  /** True while the service is unreachable. */
  isUnavailable = false;
  /** Number of next appends that take effect but whose response is lost. */
  appendResponsesToLose = 0;
  /** Number of next appends that never reach the service. */
  appendsToLose = 0;
  /** Delay before an append takes effect, in milliseconds. */
  delayBeforeEffectMs = 0;
  /** Delay between the effect and the response, in milliseconds. */
  delayAfterEffectMs = 0;
  /** Delay before a read is served, in milliseconds. */
  readDelayMs = 0;
  /** If set, calls are throttled with this retry-after, in milliseconds. */
  busyRetryAfterMs: number | undefined = undefined;
  /** Number of next reads that omit their second record. */
  readsWithGap = 0;
  /** Number of next reads that repeat their first record. */
  readsWithDuplicate = 0;

  /** Turns all faults off. */
  clear(): void {
    this.isUnavailable = false;
    this.appendResponsesToLose = 0;
    this.appendsToLose = 0;
    this.delayBeforeEffectMs = 0;
    this.delayAfterEffectMs = 0;
    this.readDelayMs = 0;
    this.busyRetryAfterMs = undefined;
    this.readsWithGap = 0;
    this.readsWithDuplicate = 0;
  }

  /**
   * Consumes one lost response, if any is left.
   *
   * @returns true if the response to this append is lost
   */
  takeLostResponse(): boolean {
    return this.#takeOne("appendResponsesToLose");
  }

  /**
   * Consumes one lost append, if any is left.
   *
   * @returns true if this append never reaches the service
   */
  takeLostAppend(): boolean {
    return this.#takeOne("appendsToLose");
  }

  /**
   * Applies the read faults to a page.
   *
   * @param page - the page without faults
   * @returns the page, possibly with a repeated or an omitted record
   */
  applyToPage(page: LogPage): LogPage {
    const [first, second] = page.records;
    if (first === undefined) {
      return page;
    }
    if (this.#takeOne("readsWithDuplicate")) {
      return { ...page, records: [first, ...page.records] };
    }
    if (second !== undefined && this.#takeOne("readsWithGap")) {
      const rest = page.records.filter((record) => record !== second);
      return { ...page, records: rest };
    }
    return page;
  }

  #takeOne(
    name:
      | "appendResponsesToLose"
      | "appendsToLose"
      | "readsWithGap"
      | "readsWithDuplicate",
  ): boolean {
    if (this[name] <= 0) {
      return false;
    }
    this[name] -= 1;
    return true;
  }
}
