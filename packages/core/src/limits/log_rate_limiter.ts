/** Rate limit for log lines. */

const MS_PER_S = 1_000;

/** Settings of a {@link LogRateLimiter}. */
export interface LogRateLimiterOptions {
  /** Refill rate, and also the capacity in lines. */
  readonly linesPerSecond: number;
  /** Share of the capacity reserved for important lines, from 0 to 1. */
  readonly importantShare: number;
}

/** Token bucket for log lines that reserves a part for important ones. */
export class LogRateLimiter {
  readonly #options: LogRateLimiterOptions;
  #tokens: number;
  #updatedAtMs: number;

  /**
   * Starts with a full bucket.
   *
   * @param options - rate and reserved share
   * @param nowMs - monotonic time
   */
  constructor(options: LogRateLimiterOptions, nowMs: number) {
    this.#options = options;
    this.#tokens = options.linesPerSecond;
    this.#updatedAtMs = nowMs;
  }

  /**
   * Takes a token for one line.
   *
   * @param isImportant - true if the line may use the reserved tokens
   * @param nowMs - monotonic time
   * @returns false if the line must be dropped
   */
  take(isImportant: boolean, nowMs: number): boolean {
    const { linesPerSecond, importantShare } = this.#options;
    const earned = (nowMs - this.#updatedAtMs) * linesPerSecond / MS_PER_S;
    this.#tokens = Math.min(linesPerSecond, this.#tokens + earned);
    this.#updatedAtMs = nowMs;
    const reserved = isImportant ? 0 : linesPerSecond * importantShare;
    if (this.#tokens < reserved + 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
