/** Servers that a single VM avoids, such as those behind a broken link. */

import type { ServerId } from "@limpetford/domain/ids";

const FAILURES_IN_A_ROW = 3;
const FIRST_AVOIDANCE_MS = 1_000;
const MAX_AVOIDANCE_MS = 30_000;

interface AvoidanceRecord {
  failures: number;
  /** Consecutive avoidances; the backoff grows with them. */
  strikes: number;
  avoidedUntilMs: number;
  /** True while a trial request is in flight. */
  isOnTrial: boolean;
}

/**
 * Circuit breaker per server: avoids a server after consecutive failures, and
 * tries it again with a single idempotent request after an exponential backoff.
 */
export class LocalAvoidance {
  readonly #records = new Map<ServerId, AvoidanceRecord>();

  /**
   * Records a request that the server served, which ends its avoidance.
   *
   * @param server - server of the request
   */
  recordSuccess(server: ServerId): void {
    this.#records.delete(server);
  }

  /**
   * Records a request that failed or is long overdue.
   *
   * @param server - server of the request
   * @param nowMs - monotonic time in milliseconds
   */
  recordFailure(server: ServerId, nowMs: number): void {
    const record = this.#findRecord(server);
    record.failures += 1;
    if (record.failures < FAILURES_IN_A_ROW && !record.isOnTrial) {
      return;
    }
    record.strikes += 1;
    record.failures = 0;
    record.isOnTrial = false;
    record.avoidedUntilMs = nowMs + Math.min(
      MAX_AVOIDANCE_MS,
      FIRST_AVOIDANCE_MS * 2 ** (record.strikes - 1),
    );
  }

  /**
   * Lists the servers that this VM avoids.
   *
   * @returns servers, those with the most consecutive avoidances first
   */
  listAvoided(): readonly ServerId[] {
    return [...this.#records]
      .filter(([, record]) => record.strikes > 0)
      .sort((a, b) => b[1].strikes - a[1].strikes || a[0].localeCompare(b[0]))
      .map(([server]) => server);
  }

  /**
   * Checks whether an avoided server may be tried again.
   *
   * @param server - server that may be avoided
   * @param nowMs - monotonic time in milliseconds
   * @returns true if its backoff is over and no trial request is in flight
   */
  mayTry(server: ServerId, nowMs: number): boolean {
    const record = this.#records.get(server);
    return record !== undefined && record.strikes > 0 && !record.isOnTrial &&
      nowMs >= record.avoidedUntilMs;
  }

  /**
   * Marks that a trial request is being sent.
   *
   * @param server - server of the trial request
   */
  beginTrial(server: ServerId): void {
    this.#findRecord(server).isOnTrial = true;
  }

  /**
   * Ends a trial without a result, as when the caller disconnected.
   *
   * @param server - server of the trial request
   */
  cancelTrial(server: ServerId): void {
    const record = this.#records.get(server);
    if (record !== undefined) {
      record.isOnTrial = false;
    }
  }

  #findRecord(server: ServerId): AvoidanceRecord {
    const known = this.#records.get(server);
    if (known !== undefined) {
      return known;
    }
    const created = {
      failures: 0,
      strikes: 0,
      avoidedUntilMs: 0,
      isOnTrial: false,
    };
    this.#records.set(server, created);
    return created;
  }
}
