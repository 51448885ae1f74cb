/** Age of a VM's list of backend servers, and whether the store is its cause. */

/**
 * No announcement expires sooner after the beginning of an outage of the store,
 * since a server's last one is 1.5 s old at most, and holds for 4.5 s.
 */
export const STORE_OUTAGE_MS = 2_500;
/**
 * The same for a VM that has not tried to read, and may have been about to. By then
 * it would have read if it must within three seconds.
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
    const isFirst = !Number.isFinite(this.#freshAtMs);
    if (isFirst && nowMs - atMs > UNTRIED_OUTAGE_MS) {
      // The VMs that this one learns from have been unable to read.
      this.#missedAtMs = nowMs;
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
}
