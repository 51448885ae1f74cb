/** Token bucket that limits the retries, hedges and probes of one VM. */

/** Share of the allowed ratio that is used, so that no window exceeds it. */
const USED_SHARE = 0.85;
/** Share of the service's slack that can be spent at once. */
const BURST_SHARE = 0.36;
/** Share of the service's slack that accrues anew in each window. */
const REFILL_SHARE = 0.42;
/**
 * Fewest VMs by which the slack is divided, so that the total stays within it
 * while callers move to another VM.
 */
const MIN_VM_COUNT = 3;
/** Share of the capacity that a VM gets when it first receives callers. */
const INITIAL_FILL_SHARE = 0.3;
/** Tokens that a VM without callers can hold. */
const IDLE_CAPACITY = 1;

/** Limit of extra attempts (retries, hedges) of a service, over all VMs. */
export interface RetryLimits {
  /** Extra attempts allowed for each request. */
  readonly ratio: number;
  /** Extra attempts allowed beyond the ratio in any window. */
  readonly slack: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
}

/**
 * Token bucket for extra attempts: each request adds a fraction of a token, and
 * each extra attempt takes one.
 */
export class RetryTokenBucket {
  readonly #tokensPerRequest: number;
  readonly #limits: RetryLimits;
  #capacity = IDLE_CAPACITY;
  #tokensPerMs = 0;
  #tokens = 0;
  #refilledAtMs: number | undefined;
  #hasReceivedCallers = false;

  /**
   * Starts empty and without a share of the slack, which only the VMs with
   * callers divide. When the VM first receives callers, the bucket is filled in
   * part, so that a few failures can be retried at once.
   *
   * @param bounds - the limit of the service, over all VMs
   */
  constructor(bounds: RetryLimits) {
    this.#tokensPerRequest = bounds.ratio * USED_SHARE;
    this.#limits = bounds;
  }

  /**
   * Sets this VM's share of the slack.
   *
   * @param count - VMs that receive callers; undefined if this VM does not
   */
  setVmCount(count: number | undefined): void {
    const { slack, windowMs } = this.#limits;
    const share = count === undefined ? 0 : 1 / Math.max(MIN_VM_COUNT, count);
    this.#capacity = Math.max(IDLE_CAPACITY, slack * BURST_SHARE * share);
    this.#tokensPerMs = slack * REFILL_SHARE * share / windowMs;
    this.#tokens = Math.min(this.#tokens, this.#capacity);
    if (count !== undefined && !this.#hasReceivedCallers) {
      this.#hasReceivedCallers = true;
      this.#tokens = Math.max(
        this.#tokens,
        this.#capacity * INITIAL_FILL_SHARE,
      );
    }
  }

  /**
   * Adds the tokens that have accrued with time.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  refill(nowMs: number): void {
    const sinceMs = nowMs - (this.#refilledAtMs ?? nowMs);
    this.#refilledAtMs = nowMs;
    this.#addTokens(sinceMs * this.#tokensPerMs);
  }

  /** Adds tokens for the first attempt of a request. */
  recordRequest(): void {
    this.#addTokens(this.#tokensPerRequest);
  }

  /**
   * Checks whether a token can be taken.
   *
   * @param reserved - tokens that have to remain in the bucket
   * @returns true if an extra attempt is allowed
   */
  hasTokens(reserved = 0): boolean {
    return this.#tokens >= 1 + reserved;
  }

  /**
   * Takes a token for an extra attempt.
   *
   * @returns false if the bucket holds less than one token
   */
  take(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  #addTokens(count: number): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens + count);
  }
}
