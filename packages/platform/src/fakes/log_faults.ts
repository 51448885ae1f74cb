/** Switches for the faults of a log service, on the fake and the stand-in. */

import type { LogPage } from "../log_service.ts";

/**
 * Faults in force. All are off at first; tests set them at any time.
 */
export class LogFaults {
  /** True while the service answers nothing. */
  isUnavailable = false;
  /** Number of coming appends that take effect but whose answer is lost. */
  appendAnswersToLose = 0;
  /** Number of coming appends that are lost on the way to the service. */
  appendsToLose = 0;
  /** Delay before an append takes effect, in milliseconds. */
  delayBeforeEffectMs = 0;
  /** Delay between the effect and the answer, in milliseconds. */
  delayAfterEffectMs = 0;
  /** Delay before a read, in milliseconds. */
  readDelayMs = 0;
  /** When set, calls are refused with this pause, in milliseconds. */
  busyRetryAfterMs: number | undefined = undefined;
  /** Number of coming reads that leave their second record out. */
  readsWithGap = 0;
  /** Number of coming reads that repeat their first record. */
  readsWithDuplicate = 0;

  /** Turns all faults off. */
  clear(): void {
    this.isUnavailable = false;
    this.appendAnswersToLose = 0;
    this.appendsToLose = 0;
    this.delayBeforeEffectMs = 0;
    this.delayAfterEffectMs = 0;
    this.readDelayMs = 0;
    this.busyRetryAfterMs = undefined;
    this.readsWithGap = 0;
    this.readsWithDuplicate = 0;
  }

  /**
   * Takes one lost answer from the count.
   *
   * @returns true if the answer to this append is lost
   */
  takeLostAnswer(): boolean {
    return this.#takeOne("appendAnswersToLose");
  }

  /**
   * Takes one lost append from the count.
   *
   * @returns true if this append never reaches the service
   */
  takeLostAppend(): boolean {
    return this.#takeOne("appendsToLose");
  }

  /**
   * Applies the faults of reads to a page.
   *
   * @param page - the true page
   * @returns the page as the service sends it
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
      | "appendAnswersToLose"
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
