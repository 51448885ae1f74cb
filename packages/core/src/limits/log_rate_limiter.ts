/** How many log lines may be written. */

const MS_PER_S = 1_000;

/** Sizes of a {@link LogRateLimiter}. */
export interface LogRateLimiterOptions {
  readonly linesPerSecond: number;
  /** Part of the lines that only important ones may use. */
  readonly importantShare: number;
}

/** Token bucket for lines, with a part kept for those that matter most. */
export class LogRateLimiter {
  readonly #options: LogRateLimiterOptions;
  #tokens: number;
  #updatedAtMs: number;

  /**
   * Starts full.
   *
   * @param options - sizes
   * @param nowMs - monotonic time
   */
  constructor(options: LogRateLimiterOptions, nowMs: number) {
    this.#options = options;
    this.#tokens = options.linesPerSecond;
    this.#updatedAtMs = nowMs;
  }

  /**
   * Takes room for one line.
   *
   * @param isImportant - true to use the part that is kept
   * @param nowMs - monotonic time
   * @returns false if the line is to be dropped
   */
  take(isImportant: boolean, nowMs: number): boolean {
    const { linesPerSecond, importantShare } = this.#options;
    const earned = (nowMs - this.#updatedAtMs) * linesPerSecond / MS_PER_S;
    this.#tokens = Math.min(linesPerSecond, this.#tokens + earned);
    this.#updatedAtMs = nowMs;
    const kept = isImportant ? 0 : linesPerSecond * importantShare;
    if (this.#tokens < kept + 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
