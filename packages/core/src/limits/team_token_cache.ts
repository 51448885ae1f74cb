/** What a VM that does not hold a team's shard keeps of the team's limit. */

import { DemandMeter } from "./demand_meter.ts";
import type { GrantPolicy } from "./grant_policy.ts";
import {
  countSpendable,
  createHeldGrant,
  type GrantReport,
  type HeldGrant,
  listReturns,
  type ReceivedGrant,
  spendGranted,
} from "./held_grants.ts";

const IDLE_AFTER_MS = 10_000;

/**
 * Grants of one team at one VM, and its demand there.
 */
export class TeamTokenCache {
  readonly #policy: GrantPolicy;
  readonly #demand = new DemandMeter();
  #grants: readonly HeldGrant[] = [];
  #refusedUntilMs = -Infinity;
  #usedAtMs = -Infinity;

  /**
   * Creates an empty wallet.
   *
   * @param policy - decides when to ask ahead
   */
  constructor(policy: GrantPolicy) {
    this.#policy = policy;
  }

  /**
   * Records a request and spends a token for it if there is one.
   *
   * @param nowMs - monotonic time, read just now
   * @returns true if a token was spent
   */
  spend(nowMs: number): boolean {
    const step = spendGranted(this.#grants, nowMs);
    this.#grants = step.grants;
    return step.isDone;
  }

  /**
   * Records a request of the team for the measure of demand.
   *
   * @param nowMs - monotonic time
   */
  recordRequest(nowMs: number): void {
    this.#usedAtMs = nowMs;
    this.#demand.record(nowMs);
  }

  /**
   * Reads the team's recent demand here.
   *
   * @param nowMs - monotonic time
   * @returns requests per second
   */
  readDemand(nowMs: number): number {
    return this.#demand.readPerSecond(nowMs);
  }

  /**
   * Checks whether more tokens should be asked for ahead of need.
   *
   * @param nowMs - monotonic time
   * @returns true if few are left for the demand
   */
  shouldPrefetch(nowMs: number): boolean {
    const lowWater = this.#policy.computeLowWater(this.readDemand(nowMs));
    return nowMs >= this.#refusedUntilMs &&
      countSpendable(this.#grants, nowMs) < lowWater;
  }

  /**
   * Adds a received grant.
   *
   * @param received - the grant
   * @param askedAtMs - monotonic time before the request was sent
   */
  addGrant(received: ReceivedGrant, askedAtMs: number): void {
    this.#grants = [...this.#grants, createHeldGrant(received, askedAtMs)];
  }

  /**
   * Makes a grant valid for longer, as the holder has renewed it.
   *
   * @param id - the grant
   * @param validForMs - its validity
   * @param askedAtMs - monotonic time before the renewal was asked for
   */
  renewGrant(id: string, validForMs: number, askedAtMs: number): void {
    this.#grants = this.#grants.map((held) =>
      held.id === id
        ? createHeldGrant({ id, tokens: held.unspent, validForMs }, askedAtMs)
        : held
    );
  }

  /**
   * Records that the holder had no token.
   *
   * @param nowMs - monotonic time
   * @param retryAfterMs - when the holder expects one
   */
  recordShortage(nowMs: number, retryAfterMs: number): void {
    this.#refusedUntilMs = nowMs + retryAfterMs;
  }

  /**
   * Computes how long asking the holder is useless.
   *
   * @param nowMs - monotonic time
   * @returns milliseconds; 0 if it may be asked now
   */
  computeBackoffMs(nowMs: number): number {
    return Math.max(0, this.#refusedUntilMs - nowMs);
  }

  /**
   * Takes out the grants that are about to run out unspent.
   *
   * @param nowMs - monotonic time
   * @returns what to give back; not to be spent any more
   */
  takeReturns(nowMs: number): readonly GrantReport[] {
    const valid = this.#grants.filter((held) => nowMs < held.expiresAtMs);
    this.#grants = valid.filter((held) => nowMs < held.returnAtMs);
    return listReturns(valid.filter((held) => nowMs >= held.returnAtMs));
  }

  /**
   * Takes out the grants that are spent or about to run out, and reports how
   * much is left of the others.
   *
   * @param nowMs - monotonic time
   * @returns one report per grant
   */
  takeReports(nowMs: number): readonly GrantReport[] {
    const returns = this.takeReturns(nowMs);
    const spent = this.#grants.filter((held) => held.unspent === 0);
    this.#grants = this.#grants.filter((held) => held.unspent > 0);
    const kept = this.#grants.map(({ id, unspent }): GrantReport => ({
      id,
      unspent,
      isReturned: false,
    }));
    return [...returns, ...listReturns(spent), ...kept];
  }

  /**
   * Takes out all grants, because the holder has run short.
   *
   * @returns what to give back; not to be spent any more
   */
  takeAll(): readonly GrantReport[] {
    const returns = listReturns(this.#grants);
    this.#grants = [];
    return returns;
  }

  /**
   * Checks whether the team has not been seen here for a time.
   *
   * @param nowMs - monotonic time
   * @returns true if the wallet may be dropped
   */
  isIdle(nowMs: number): boolean {
    return this.#grants.length === 0 && nowMs - this.#usedAtMs > IDLE_AFTER_MS;
  }
}
