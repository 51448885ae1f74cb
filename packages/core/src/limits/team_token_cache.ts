/** Tokens of a team at a VM that does not hold the team's shard. */

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

/** A cache without grants and requests for this long may be dropped. */
const IDLE_AFTER_MS = 10_000;

/**
 * Caches the tokens that the holder has granted for one team, and measures the
 * team's demand at this VM.
 */
export class TeamTokenCache {
  readonly #policy: GrantPolicy;
  readonly #demand = new DemandMeter();
  #grants: readonly HeldGrant[] = [];
  #backoffUntilMs = -Infinity;
  #requestedAtMs = -Infinity;

  /**
   * Starts without grants.
   *
   * @param policy - sets the low-water mark for prefetching
   */
  constructor(policy: GrantPolicy) {
    this.#policy = policy;
  }

  /**
   * Spends one token of an unexpired grant.
   *
   * @param nowMs - monotonic time, read right before the call
   * @returns true if a token was spent; false if there is none
   */
  spend(nowMs: number): boolean {
    const step = spendGranted(this.#grants, nowMs);
    this.#grants = step.grants;
    return step.isAllowed;
  }

  /**
   * Records a request of the team, to measure its demand.
   *
   * @param nowMs - monotonic time
   */
  recordRequest(nowMs: number): void {
    this.#requestedAtMs = nowMs;
    this.#demand.record(nowMs);
  }

  /**
   * Reads the team's recent demand at this VM.
   *
   * @param nowMs - monotonic time
   * @returns requests per second
   */
  readDemand(nowMs: number): number {
    return this.#demand.readPerSecond(nowMs);
  }

  /**
   * Checks whether to prefetch a grant.
   *
   * @param nowMs - monotonic time
   * @returns true if the tokens are below the low-water mark and the holder may
   * be asked
   */
  shouldPrefetch(nowMs: number): boolean {
    const lowWaterMark = this.#policy.computeLowWaterMark(
      this.readDemand(nowMs),
    );
    return nowMs >= this.#backoffUntilMs &&
      countSpendable(this.#grants, nowMs) < lowWaterMark;
  }

  /**
   * Adds a received grant.
   *
   * @param received - the grant in the holder's reply
   * @param askedAtMs - monotonic time before the request was sent
   */
  addGrant(received: ReceivedGrant, askedAtMs: number): void {
    this.#grants = [...this.#grants, createHeldGrant(received, askedAtMs)];
  }

  /**
   * Extends a grant that the holder has renewed.
   *
   * @param id - id of the grant
   * @param validForMs - its new validity, in milliseconds
   * @param askedAtMs - monotonic time before the renewal was requested
   */
  renewGrant(id: string, validForMs: number, askedAtMs: number): void {
    this.#grants = this.#grants.map((held) =>
      held.id === id
        ? createHeldGrant({ id, tokens: held.unspent, validForMs }, askedAtMs)
        : held
    );
  }

  /**
   * Records that the holder had no token, and backs off from it.
   *
   * @param nowMs - monotonic time
   * @param retryAfterMs - time until the holder expects a token, in milliseconds
   */
  recordShortage(nowMs: number, retryAfterMs: number): void {
    this.#backoffUntilMs = nowMs + retryAfterMs;
  }

  /**
   * Computes how much longer not to ask the holder, after it had no token.
   *
   * @param nowMs - monotonic time
   * @returns milliseconds; 0 if it may be asked now
   */
  computeBackoffMs(nowMs: number): number {
    return Math.max(0, this.#backoffUntilMs - nowMs);
  }

  /**
   * Removes the grants that are about to expire.
   *
   * @param nowMs - monotonic time
   * @returns reports that return them to the holder
   */
  takeReturns(nowMs: number): readonly GrantReport[] {
    const valid = this.#grants.filter((held) => nowMs < held.expiresAtMs);
    this.#grants = valid.filter((held) => nowMs < held.returnAtMs);
    return listReturns(valid.filter((held) => nowMs >= held.returnAtMs));
  }

  /**
   * Removes the grants that are spent or about to expire, and reports how many
   * tokens the others have left.
   *
   * @param nowMs - monotonic time
   * @returns one report per unexpired grant, removed or not
   */
  takeReports(nowMs: number): readonly GrantReport[] {
    const returns = this.takeReturns(nowMs);
    const spent = this.#grants.filter((held) => held.unspent === 0);
    this.#grants = this.#grants.filter((held) => held.unspent > 0);
    const remaining = this.#grants.map(({ id, unspent }): GrantReport => ({
      id,
      unspent,
      isReturned: false,
    }));
    return [...returns, ...listReturns(spent), ...remaining];
  }

  /**
   * Removes all grants, because the holder has run out of tokens.
   *
   * @returns reports that return them to the holder
   */
  takeAll(): readonly GrantReport[] {
    const returns = listReturns(this.#grants);
    this.#grants = [];
    return returns;
  }

  /**
   * Checks whether the team has no grants and no recent requests here.
   *
   * @param nowMs - monotonic time
   * @returns true if the cache may be dropped
   */
  isIdle(nowMs: number): boolean {
    return this.#grants.length === 0 &&
      nowMs - this.#requestedAtMs > IDLE_AFTER_MS;
  }
}
