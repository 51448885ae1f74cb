/** An in-memory rate limiter that counts only the requests of this VM. */

import type { Clock } from "@limpetford/core/time/clock";
import type { TeamId } from "@limpetford/domain/ids";

import type { ConfigurationSource } from "../ports/configuration_source.ts";
import { RateLimiter, type RateVerdict } from "../ports/rate_limiter.ts";

const MS_PER_S = 1_000;

interface Bucket {
  tokens: number;
  refilledAtMs: number;
}

/**
 * Keeps one token bucket per team in memory, which is exact for a single VM.
 */
export class SimpleRateLimiter extends RateLimiter {
  readonly #configuration: ConfigurationSource;
  readonly #clock: Clock;
  readonly #buckets = new Map<TeamId, Bucket>();

  /**
   * Creates a limiter whose buckets start full.
   *
   * @param configuration - source of each team's rate and burst
   * @param clock - clock that refills the buckets
   */
  constructor(configuration: ConfigurationSource, clock: Clock) {
    super();
    this.#configuration = configuration;
    this.#clock = clock;
  }

  override acquire(team: TeamId): Promise<RateVerdict> {
    const limits = this.#configuration.findTeam(team);
    if (limits === undefined) {
      return Promise.resolve({
        kind: "no-holder",
        retryAfterMs: MS_PER_S,
      });
    }
    const nowMs = this.#clock.readMonotonicMs();
    const bucket = this.#buckets.get(team) ??
      { tokens: limits.burst, refilledAtMs: nowMs };
    this.#buckets.set(team, bucket);
    const refilledTokens = (nowMs - bucket.refilledAtMs) *
      limits.ratePerSecond /
      MS_PER_S;
    bucket.tokens = Math.min(limits.burst, bucket.tokens + refilledTokens);
    bucket.refilledAtMs = nowMs;
    if (bucket.tokens >= 1) {
      bucket.tokens -= 1;
      return Promise.resolve({ kind: "granted" });
    }
    const missing = 1 - bucket.tokens;
    const retryAfterMs = missing * MS_PER_S / limits.ratePerSecond;
    return Promise.resolve({ kind: "over-rate", retryAfterMs });
  }
}
