/** Ways to limit rates that the measurement compares. */

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

/** Names of the policies. */
export const LIMIT_POLICY = {
  grants: "grants",
  centralCheck: "central check",
  staticSplit: "static split",
} as const;
/** Name of a policy. */
export type LimitPolicyName = typeof LIMIT_POLICY[keyof typeof LIMIT_POLICY];

/**
 * Chooses the grant policy of a name.
 *
 * @param name - the name
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
 * Gives each VM an equal part of rate and burst.
 */
export class StaticSplitLimiter extends RateLimiter {
  readonly #teams: ReadonlyMap<TeamId, Team>;
  readonly #vmCount: number;
  readonly #clock: Clock;
  readonly #buckets = new Map<TeamId, LimitBucket>();

  /**
   * Creates the limiter of one VM.
   *
   * @param teams - the teams
   * @param vmCount - number of VMs
   * @param clock - the clock
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
    const record = this.#teams.get(team);
    if (record === undefined) {
      return Promise.resolve({ kind: "no-holder", retryAfterMs: 0 });
    }
    const limits = {
      ratePerSecond: record.ratePerSecond / this.#vmCount,
      burst: record.burst / this.#vmCount,
    };
    const bucket = this.#buckets.get(team) ?? createBucket(limits, 0, 0);
    const step = spend(bucket, this.#clock.readMonotonicMs());
    this.#buckets.set(team, step.bucket);
    return Promise.resolve(
      step.isAllowed
        ? { kind: "granted" }
        : { kind: "over-rate", retryAfterMs: 0 },
    );
  }
}
