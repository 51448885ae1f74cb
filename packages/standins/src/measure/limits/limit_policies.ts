/** The rate limiting policies that the measurement compares. */

import {
  DemandGrantPolicy,
  ExactGrantPolicy,
  type GrantPolicy,
} from "@limpetford/core/limits/grant_policy";
import type { LimitBucket } from "@limpetford/core/limits/limit_bucket";
import { createBucket, spend } from "@limpetford/core/limits/limit_bucket";
import type { Clock } from "@limpetford/core/time/clock";
import type { TeamId } from "@limpetford/domain/ids";
import type { Team } from "@limpetford/domain/team";
import {
  RateLimiter,
  type RateVerdict,
} from "@limpetford/entry/ports/rate_limiter";

/**
 * Policies: tokens granted by the shard's holder, a check at the holder for every
 * request, or a fixed part of the rate for each VM.
 */
export const LIMIT_POLICY = {
  grants: "grants",
  centralCheck: "central check",
  staticSplit: "static split",
} as const;
/** One of the values of {@link LIMIT_POLICY}. */
export type LimitPolicyName = typeof LIMIT_POLICY[keyof typeof LIMIT_POLICY];

/**
 * Creates the policy by which a shard's holder grants tokens.
 *
 * @param name - which limiting policy to create it for
 * @returns the policy; undefined for the static split, which has no holder
 */
export function choosePolicy(name: LimitPolicyName): GrantPolicy | undefined {
  switch (name) {
    case "grants":
      return new DemandGrantPolicy();
    case "central check":
      return new ExactGrantPolicy();
    case "static split":
      return undefined;
  }
}

/**
 * Limits by a bucket at each VM that has an equal part of rate and burst.
 */
export class StaticSplitLimiter extends RateLimiter {
  readonly #teams: ReadonlyMap<TeamId, Team>;
  readonly #vmCount: number;
  readonly #clock: Clock;
  readonly #buckets = new Map<TeamId, LimitBucket>();

  /**
   * Creates the limiter of one VM.
   *
   * @param teams - rate and burst of each team, over the whole fleet
   * @param vmCount - number of VMs that share each rate
   * @param clock - refills the buckets
   */
  constructor(
    teams: ReadonlyMap<TeamId, Team>,
    vmCount: number,
    clock: Clock,
  ) {
    super();
    this.#teams = teams;
    this.#vmCount = vmCount;
    this.#clock = clock;
  }

  override acquire(team: TeamId): Promise<RateVerdict> {
    const config = this.#teams.get(team);
    if (config === undefined) {
      return Promise.resolve({ kind: "no-holder", retryAfterMs: 0 });
    }
    const limits = {
      ratePerSecond: config.ratePerSecond / this.#vmCount,
      burst: config.burst / this.#vmCount,
    };
    const bucket = this.#buckets.get(team) ?? createBucket(limits, 0, 0);
    const result = spend(bucket, this.#clock.readMonotonicMs());
    this.#buckets.set(team, result.bucket);
    return Promise.resolve(
      result.isAllowed
        ? { kind: "granted" }
        : { kind: "over-rate", retryAfterMs: 0 },
    );
  }
}
