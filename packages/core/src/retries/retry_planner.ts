/** Decides whether and when an attempt is retried or hedged. */

import type { TeamId } from "@limpetford/domain/ids";

import type { RouteReference } from "../evidence/evidence_report.ts";
import type { RandomSource } from "../time/random_source.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** Most attempts of a request, hedges included. */
const MAX_ATTEMPTS = 3;
/** Least time to the deadline for which a retry is worthwhile. */
const MIN_TIME_LEFT_MS = 20;
/** Largest random delay of a retry. */
const MAX_JITTER_MS = 10;
/** Hedge delay as a multiple of the route's 99th percentile latency. */
const HEDGE_FACTOR = 1.1;
/** Shortest hedge delay. */
const MIN_HEDGE_DELAY_MS = 10;

/** State of a request that may be retried or hedged. */
export interface RetryState {
  /** Team that is charged; undefined on a route that needs no team. */
  readonly team: TeamId | undefined;
  /** True if the request may run more than once. */
  readonly isIdempotent: boolean;
  /** True if the failed attempt certainly did not run at the server. */
  readonly isCertainlyNotRun: boolean;
  /** Number of attempts made, hedges included. */
  readonly attempts: number;
  /** Time left to the deadline, in milliseconds. */
  readonly timeLeftMs: number;
  /** True if the caller has disconnected. */
  readonly isCancelled: boolean;
}

/** Decision on a retry after an attempt that was not served. */
export type RetryDecision =
  | { readonly kind: "retry"; readonly delayMs: number }
  | { readonly kind: "give-up" };

/**
 * Allows retries and hedges within the retry budget. A request runs again only
 * if it is idempotent or certainly did not run.
 */
export class RetryPlanner {
  readonly #budget: RetryBudget;
  readonly #random: RandomSource;

  /**
   * Creates a planner.
   *
   * @param budget - the retry budget of the service
   * @param random - source of the jitter of retries
   */
  constructor(budget: RetryBudget, random: RandomSource) {
    this.#budget = budget;
    this.#random = random;
  }

  /**
   * Decides whether a failed attempt is retried, and takes the budget for it.
   *
   * @param state - state of the request after the failed attempt
   * @returns the delay of the retry, or that there is none
   */
  planRetry(state: RetryState): RetryDecision {
    const mayRetry = state.isIdempotent || state.isCertainlyNotRun;
    if (
      !mayRetry || state.isCancelled ||
      state.attempts >= MAX_ATTEMPTS ||
      state.timeLeftMs < MIN_TIME_LEFT_MS ||
      !this.#budget.take(state.team)
    ) {
      return { kind: "give-up" };
    }
    return {
      kind: "retry",
      delayMs: this.#random.sampleUniform() * MAX_JITTER_MS,
    };
  }

  /**
   * Decides when a slow attempt is hedged by a second one. The budget is
   * checked but not taken.
   *
   * @param reference - usual latencies of the route
   * @param state - state of the request with the running attempt
   * @returns milliseconds after dispatch, or undefined for no hedge
   */
  planHedgeMs(
    reference: RouteReference,
    state: RetryState,
  ): number | undefined {
    const delayMs = Math.max(
      MIN_HEDGE_DELAY_MS,
      HEDGE_FACTOR * reference.p99Ms,
    );
    const mayHedge = state.isIdempotent && state.attempts < 2 &&
      state.timeLeftMs > 2 * delayMs && this.#budget.maySpend(state.team);
    return mayHedge ? delayMs : undefined;
  }
}
