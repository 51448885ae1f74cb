/** Interface of the fleet-wide rate limiter. */

import type { TeamId } from "@limpetford/domain/ids";

import type { RequestContext } from "./request_context.ts";

/** Decision of the rate limiter on one request. */
export type RateVerdict =
  | { readonly kind: "granted" }
  /** The team's token bucket is empty. */
  | { readonly kind: "over-rate"; readonly retryAfterMs: number }
  /** The bucket's holder is unreachable; the team may be within its rate. */
  | { readonly kind: "no-holder"; readonly retryAfterMs: number };

/**
 * Limits each team's request rate with one token bucket for the whole fleet.
 */
export abstract class RateLimiter {
  /**
   * Takes one token from the team's bucket.
   *
   * @param team - the team whose bucket is charged
   * @param request - the request; its deadline bounds the wait for a token
   * @returns whether the request is within the rate, and else when to retry
   */
  abstract acquire(
    team: TeamId,
    request: RequestContext,
  ): Promise<RateVerdict>;
}
