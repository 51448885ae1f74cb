/**
 * Load, latency and failures of one backend server, as one VM measures them, and
 * the VM's limit on concurrent requests to it.
 */

import type { BackendServer } from "@limpetford/domain/service";

/** Weight of the newest sample in moving averages of latency and failures. */
const SMOOTHING_WEIGHT = 0.2;
// The borrow limit grows additively and decreases multiplicatively (AIMD).
/** Increase of the borrow limit per request served fast enough, in slots. */
const BORROW_GROWTH = 0.1;
/** Increase of the borrow limit over time, in slots per second. */
const BORROW_GROWTH_PER_SECOND = 0.2;
/** Factor on the borrow limit after a slow or refused request. */
const BORROW_DECREASE = 0.5;
const MIN_BORROW_LIMIT = 0.3;
/** A request is slow above this multiple of its route's 90th percentile. */
const SLOW_LATENCY_FACTOR = 1.2;
/** Time without new requests after the server refused one for overload. */
const SHED_PAUSE_MS = 100;
/** Time over which a new or readmitted server's share grows to its full one. */
const RAMP_DURATION_MS = 10_000;
const MIN_RAMP_SHARE = 0.1;
/** Factor on the cost of a server in another zone. */
const OTHER_ZONE_FACTOR = 1.15;
/** Weight of the failure share in the cost. */
const FAILURE_FACTOR = 8;

/**
 * Tracks requests in flight, the limit on them, latency and failures. A VM may
 * use its home slots, and borrows other slots up to an adaptive limit.
 */
export class ServerLoad {
  /** The server's record in the configuration in force. */
  server: BackendServer;
  /** Slots that this VM uses before any others. */
  homeSlots = 0;
  #inFlight = 0;
  /** Requests that may run beyond the home slots; may be fractional. */
  #borrowLimit = 1;
  #borrowUpdatedAtMs = 0;
  #relativeLatency = 0.5;
  #failures = 0;
  #pausedUntilMs = 0;
  #rampStartedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Starts without load.
   *
   * @param server - configuration of the server
   */
  constructor(server: BackendServer) {
    this.server = server;
  }

  /**
   * Starts a ramp (slow start): the server gets a small share that grows.
   *
   * @param fromMs - monotonic time of its start
   */
  beginRamp(fromMs: number): void {
    this.#rampStartedAtMs = fromMs;
  }

  /** Records that a request has been sent. */
  begin(): void {
    this.#inFlight += 1;
  }

  /** Records that a request has ended. */
  release(): void {
    this.#inFlight -= 1;
  }

  /**
   * Records a served request. A slow one is a sign that other VMs use the same
   * slots, so it lowers the borrow limit.
   *
   * @param relativeLatency - latency as a multiple of the route's 90th percentile
   * @param nowMs - monotonic time
   */
  recordServed(relativeLatency: number, nowMs: number): void {
    this.#relativeLatency += SMOOTHING_WEIGHT *
      (relativeLatency - this.#relativeLatency);
    this.#failures -= SMOOTHING_WEIGHT * this.#failures;
    if (relativeLatency > SLOW_LATENCY_FACTOR) {
      this.#applyBorrowDecrease(nowMs);
    } else {
      const grown = this.#readBorrowLimit(nowMs) + BORROW_GROWTH;
      this.#borrowLimit = Math.min(this.server.slots, grown);
      this.#borrowUpdatedAtMs = nowMs;
    }
  }

  /** Records a request that has failed or become overdue. */
  recordFailure(): void {
    this.#failures += SMOOTHING_WEIGHT * (1 - this.#failures);
  }

  /**
   * Records a request that the server refused for overload. Lowers the borrow
   * limit and pauses new requests.
   *
   * @param nowMs - monotonic time
   */
  recordShed(nowMs: number): void {
    this.#applyBorrowDecrease(nowMs);
    this.#pausedUntilMs = nowMs + SHED_PAUSE_MS;
  }

  /**
   * Counts this VM's requests in flight to the server.
   *
   * @returns requests sent and not ended
   */
  countInFlight(): number {
    return this.#inFlight;
  }

  /**
   * Checks whether one of this VM's home slots is free.
   *
   * @param nowMs - monotonic time
   * @returns true if one is free and no pause after a refusal is running
   */
  hasHomeSlot(nowMs: number): boolean {
    return this.#inFlight < this.homeSlots && nowMs >= this.#pausedUntilMs;
  }

  /**
   * Checks whether the server may take a request beyond the VM's home slots.
   *
   * @param nowMs - monotonic time
   * @returns true if below the limit and no pause after a refusal is running
   */
  mayBorrow(nowMs: number): boolean {
    const limit = this.homeSlots + Math.floor(this.#readBorrowLimit(nowMs));
    return this.#inFlight < Math.min(this.server.slots, limit) &&
      nowMs >= this.#pausedUntilMs;
  }

  /**
   * Computes the share of its usual load that the server gets during a ramp.
   *
   * @param nowMs - monotonic time
   * @returns from a tenth to 1; 1 if there is no ramp
   */
  computeRampShare(nowMs: number): number {
    const share = (nowMs - this.#rampStartedAtMs) / RAMP_DURATION_MS;
    return Math.min(1, Math.max(MIN_RAMP_SHARE, share));
  }

  /**
   * Reads the moving average of failures.
   *
   * @returns share of failed requests, from 0 to 1
   */
  readFailures(): number {
    return this.#failures;
  }

  /**
   * Computes the cost of sending one more request, for comparing servers.
   *
   * @param nowMs - monotonic time
   * @param isOwnZone - true if the server is in this VM's zone
   * @returns cost without unit, lower for better servers
   */
  computeCost(nowMs: number, isOwnZone: boolean): number {
    return (this.#inFlight + 1) * (0.3 + this.#relativeLatency) *
      (1 + FAILURE_FACTOR * this.#failures) *
      (isOwnZone ? 1 : OTHER_ZONE_FACTOR) / this.computeRampShare(nowMs);
  }

  #readBorrowLimit(nowMs: number): number {
    const seconds = (nowMs - this.#borrowUpdatedAtMs) / 1_000;
    const grown = this.#borrowLimit + BORROW_GROWTH_PER_SECOND * seconds;
    return Math.min(this.server.slots, Math.max(this.#borrowLimit, grown));
  }

  #applyBorrowDecrease(nowMs: number): void {
    const decreased = this.#readBorrowLimit(nowMs) * BORROW_DECREASE;
    this.#borrowLimit = Math.max(MIN_BORROW_LIMIT, decreased);
    this.#borrowUpdatedAtMs = nowMs;
  }
}
