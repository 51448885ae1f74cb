/** One VM's share of a team's token bucket. */

const MS_PER_S = 1_000;

/** A team's limit for the whole fleet. */
export interface SharedLimit {
  readonly ratePerSecond: number;
  /** Capacity of the whole bucket, in tokens. */
  readonly burst: number;
  /** Tokens by which one VM's capacity exceeds its share of the burst. */
  readonly reserve: number;
}

/** Token bucket with this VM's share of a team's rate and burst. */
export class SharedBucket {
  #tokens: number;
  #updatedAtMs: number;
  /** Monotonic time of the token that the last refused caller is to retry for. */
  #retryAtMs = -Infinity;

  /**
   * Starts with the given tokens.
   *
   * @param tokens - initial level
   * @param nowMs - monotonic time
   */
  constructor(tokens: number, nowMs: number) {
    this.#tokens = tokens;
    this.#updatedAtMs = nowMs;
  }

  /**
   * Adds tokens that accrued before the bucket was created.
   *
   * @param tokens - number to add
   */
  add(tokens: number): void {
    this.#tokens += tokens;
  }

  /**
   * Takes one token. Each refused caller gets a later retry time than the
   * caller before it, so that they do not all retry for the same token.
   *
   * @param limit - the limit in force
   * @param share - this VM's share of it
   * @param nowMs - monotonic time
   * @returns 0 if a token was taken, otherwise milliseconds until the retry;
   * infinite if the share or the rate is 0
   */
  take(limit: SharedLimit, share: number, nowMs: number): number {
    const rate = limit.ratePerSecond * share / MS_PER_S;
    // With a capacity below one token, a small share would admit no request.
    const capacity = Math.max(1, limit.burst * share + limit.reserve);
    const earned = Math.max(0, nowMs - this.#updatedAtMs) * rate;
    this.#tokens = Math.min(capacity, this.#tokens + earned);
    this.#updatedAtMs = nowMs;
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    if (rate === 0) {
      return Infinity;
    }
    const nextAtMs = nowMs + (1 - this.#tokens) / rate;
    this.#retryAtMs = Math.max(nextAtMs, this.#retryAtMs + 1 / rate);
    return this.#retryAtMs - nowMs;
  }
}
