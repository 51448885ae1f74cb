/** Estimates how many requests per second a service takes from one VM. */

import { DemandMeter } from "../limits/demand_meter.ts";
import { computeGrantRate } from "../limits/server_limit_bucket.ts";
import type { TrackedServer } from "./tracked_server.ts";

const MS_PER_S = 1_000;
/**
 * Share of a server's rate limit that a VM which is not a leader counts on.
 */
const NON_LEADER_SHARE = 0.1;
/** Time for which requests have to wait before the rate is measured. */
const MEASURED_AFTER_MS = 1_000;
/** Least measured rate that counts, in requests per second. */
const MIN_MEASURED_PER_SECOND = 0.25;

/** Finds the rate limit of a server; undefined if it has none. */
export type RateLimitLookup = (server: TrackedServer) => number | undefined;

/**
 * Throughput of a service. Rate limits are for all VMs together, and what is
 * left of them for this VM depends on the others, so it is measured while
 * requests wait.
 */
export class ServiceThroughput {
  readonly #findRateLimit: RateLimitLookup;
  readonly #placed = new DemandMeter();
  #waitingSinceMs: number | undefined;
  #vmCount: number | undefined;

  /**
   * Starts without a measurement.
   *
   * @param findRateLimit - finds the rate limit of a server
   */
  constructor(findRateLimit: RateLimitLookup) {
    this.#findRateLimit = findRateLimit;
  }

  /**
   * Sets the number of VMs that divide the limits.
   *
   * @param count - number of leaders; undefined if this VM is not a leader
   */
  setVmCount(count: number | undefined): void {
    this.#vmCount = count;
  }

  /**
   * Records that a request was placed.
   *
   * @param nowMs - monotonic time
   */
  recordPlaced(nowMs: number): void {
    this.#placed.record(nowMs);
  }

  /**
   * Records whether requests wait.
   *
   * @param isWaiting - true if the queue is not empty
   * @param nowMs - monotonic time
   */
  recordQueue(isWaiting: boolean, nowMs: number): void {
    this.#waitingSinceMs = isWaiting
      ? this.#waitingSinceMs ?? nowMs
      : undefined;
  }

  /**
   * Estimates the throughput.
   *
   * @param servers - the service's servers
   * @param serviceMs - expected service time of a request
   * @param nowMs - monotonic time
   * @returns requests per millisecond; above 0
   */
  estimatePerMs(
    servers: readonly TrackedServer[],
    serviceMs: number,
    nowMs: number,
  ): number {
    const limitShare = this.#vmCount === undefined
      ? NON_LEADER_SHARE
      : 1 / Math.max(1, this.#vmCount);
    let perMs = 0;
    for (const server of servers) {
      const slotsPerMs = server.announced.slots / serviceMs;
      const limit = this.#findRateLimit(server);
      perMs += limit === undefined ? slotsPerMs : Math.min(
        slotsPerMs,
        computeGrantRate(limit) * limitShare / MS_PER_S,
      );
    }
    const nominal = servers.length === 0 ? 1 / serviceMs : perMs;
    return this.isOverLimits(servers, nowMs)
      ? Math.min(nominal, this.#measurePerMs(nowMs))
      : nominal;
  }

  /**
   * Checks whether requests have waited for a while at a service of which rate
   * limits take a part.
   *
   * @param servers - the service's servers
   * @param nowMs - monotonic time
   * @returns true if the throughput is measured
   */
  isOverLimits(servers: readonly TrackedServer[], nowMs: number): boolean {
    return this.#waitingSinceMs !== undefined &&
      nowMs - this.#waitingSinceMs > MEASURED_AFTER_MS &&
      servers.some((server) => this.#findRateLimit(server) !== undefined);
  }

  #measurePerMs(nowMs: number): number {
    const perSecond = this.#placed.readPerSecond(nowMs);
    return Math.max(MIN_MEASURED_PER_SECOND, perSecond) / MS_PER_S;
  }
}
