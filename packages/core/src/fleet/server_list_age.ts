/** Age of a VM's list of backend servers, and whether an outage explains it. */

import { REWRITE_MS } from "./store_era_tracker.ts";

/**
 * Shortest outage of the store of which an announcement may expire, with a margin: a
 * server's last one is 1.5 s old at most, and holds for 4.5 s.
 */
const STORE_OUTAGE_MS = 2_500;
/**
 * Age above which a list may be old because of an outage though no read has failed.
 * A VM reads sooner if a server that leaves must be out of use within 3 s.
 */
const UNTRIED_OUTAGE_MS = 3_000;

/**
 * Tells an outage of the store from a VM that is late to read it. Only a VM that
 * could not read knows of an outage; the age of its list alone does not show one.
 */
export class ServerListAge {
  #freshAtMs = -Infinity;
  /** Last time at which this VM is known to have been unable to read. */
  #missedAtMs = -Infinity;
  #steppedAtMs = Infinity;
  #outageEndedAtMs = -Infinity;

  /**
   * Computes the time since the list was last confirmed as complete.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns milliseconds; infinite if it never was
   */
  computeAgeMs(nowMs: number): number {
    return nowMs - this.#freshAtMs;
  }

  /**
   * Records that the list was complete at a point in time.
   *
   * @param atMs - monotonic time; an earlier time than recorded has no effect
   * @param nowMs - monotonic time at which this became known, in milliseconds
   */
  recordFreshness(atMs: number, nowMs: number): void {
    const ageMs = nowMs - atMs;
    const isFirst = !Number.isFinite(this.#freshAtMs);
    if (isFirst && ageMs > UNTRIED_OUTAGE_MS) {
      // The VMs that this one learns from have been unable to read.
      this.#missedAtMs = nowMs;
    }
    if (!isFirst && ageMs <= STORE_OUTAGE_MS && this.#mayBeInOutage(nowMs)) {
      this.#outageEndedAtMs = nowMs;
    }
    this.#freshAtMs = Math.max(this.#freshAtMs, atMs);
  }

  /**
   * Records that this VM tried to read the store and could not.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  recordFailedRead(nowMs: number): void {
    this.#missedAtMs = nowMs;
  }

  /**
   * Records that this VM is running. One that has stood still for long may have
   * missed an outage.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  observeStep(nowMs: number): void {
    if (nowMs - this.#steppedAtMs > STORE_OUTAGE_MS) {
      this.#missedAtMs = nowMs;
    }
    this.#steppedAtMs = nowMs;
  }

  /**
   * Checks whether the list is old because the store could not be read.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns false if this VM has no list, or was merely late to read
   */
  isStoreOutage(nowMs: number): boolean {
    const ageMs = this.computeAgeMs(nowMs);
    return Number.isFinite(ageMs) && ageMs > STORE_OUTAGE_MS &&
      this.#missedAtMs > this.#freshAtMs;
  }

  /**
   * Computes for how long a removal may be deferred that another VM defers after
   * an outage. A VM whose list was confirmed all the while knows of none.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns milliseconds until running servers have announced themselves again;
   * infinite during an outage
   */
  computeMaxDeferralMs(nowMs: number): number {
    return this.#mayBeInOutage(nowMs)
      ? Infinity
      : Math.max(0, this.#outageEndedAtMs + REWRITE_MS - nowMs);
  }

  #mayBeInOutage(nowMs: number): boolean {
    return this.isStoreOutage(nowMs) ||
      this.computeAgeMs(nowMs) > UNTRIED_OUTAGE_MS;
  }
}
