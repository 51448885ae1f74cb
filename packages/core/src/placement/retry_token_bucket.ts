/** How many extra sendings a VM may make to a service. */

/** Share of the allowed ratio that is used, so that windows never exceed it. */
const USED_SHARE = 0.85;
/** Part of the service's slack that the VMs with callers divide. */
const SLACK_SHARE = 0.66;
/** Slack is divided by at least this many, so that a change of leads fits in. */
const LEAST_VM_COUNT = 3;
/** Part of its capacity that a VM is given when it first takes callers. */
const FIRST_SHARE = 0.3;
/** Extra sendings that a VM without callers may save up. */
const UNLED_CAPACITY = 1;

/** The allowance of the service, over all VMs. */
export interface RetryLimits {
  /** Extra sendings allowed for each request. */
  readonly ratio: number;
  /** Extra sendings allowed beyond the ratio in any window. */
  readonly slack: number;
}

/** Token bucket that each request fills a little and each extra sending empties. */
export class RetryAllowance {
  readonly #perRequest: number;
  readonly #slack: number;
  #capacity = UNLED_CAPACITY;
  #tokens = 0;
  #hasTakenCallers = false;

  /**
   * Prepares the allowance of one VM. It begins empty and without a part of the
   * slack, which only the VMs with callers divide; when it first takes callers,
   * it can repair a few failures at once.
   *
   * @param bounds - the service's allowance
   */
  constructor(bounds: RetryLimits) {
    this.#perRequest = bounds.ratio * USED_SHARE;
    this.#slack = bounds.slack * SLACK_SHARE;
  }

  /**
   * Divides the slack anew.
   *
   * @param count - VMs that take callers; undefined if this is none of them
   */
  setVmCount(count: number | undefined): void {
    this.#capacity = count === undefined
      ? UNLED_CAPACITY
      : Math.max(1, this.#slack / Math.max(LEAST_VM_COUNT, count));
    this.#tokens = Math.min(this.#tokens, this.#capacity);
    if (count !== undefined && !this.#hasTakenCallers) {
      this.#hasTakenCallers = true;
      this.#tokens = Math.max(this.#tokens, this.#capacity * FIRST_SHARE);
    }
  }

  /** Counts the first sending of a request. */
  recordRequest(): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens + this.#perRequest);
  }

  /**
   * Checks for room.
   *
   * @param reserved - sendings that are kept free
   * @returns true if an extra sending is allowed
   */
  hasRoom(reserved = 0): boolean {
    return this.#tokens >= 1 + reserved;
  }

  /**
   * Takes one extra sending.
   *
   * @returns false if there is none left
   */
  take(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
