/** Decisions on retries and hedges. */

import type { TeamId } from "@limpetford/domain/ids";

import type { RouteReference } from "../evidence/evidence_report.ts";
import type { RandomSource } from "../time/random_source.ts";
import type { RetryBudget } from "./retry_budget.ts";

const MAX_ATTEMPTS = 3;
const LEAST_TIME_LEFT_MS = 20;
const MAX_JITTER_MS = 10;
const HEDGE_MARGIN = 1.1;
const LEAST_HEDGE_MS = 10;

/** A finished attempt that did not serve. */
export interface RetryState {
  readonly team: TeamId | undefined;
  readonly isIdempotent: boolean;
  readonly isCertainlyNotRun: boolean;
  /** Number of attempts made, hedges included. */
  readonly attempts: number;
  /** Time left to the deadline, in milliseconds. */
  readonly timeLeftMs: number;
  /** True if the caller went away. */
  readonly isCancelled: boolean;
}

/** What follows an attempt that did not serve. */
export type RetryDecision =
  | { readonly kind: "retry"; readonly delayMs: number }
  | { readonly kind: "give-up" };

/**
 * Allows retries and hedges within the budget.
 */
export class RetryPlanner {
  readonly #budget: RetryBudget;
  readonly #random: RandomSource;

  /**
   * Starts with a budget.
   *
   * @param budget - the budget of the service
   * @param random - spreads retries
   */
  constructor(budget: RetryBudget, random: RandomSource) {
    this.#budget = budget;
    this.#random = random;
  }

  /**
   * Decides on a retry and spends the budget for it.
   *
   * @param question - the finished attempt
   * @returns the decision
   */
  planRetry(question: RetryState): RetryDecision {
    const mayRepeat = question.isIdempotent || question.isCertainlyNotRun;
    if (
      !mayRepeat || question.isCancelled ||
      question.attempts >= MAX_ATTEMPTS ||
      question.timeLeftMs < LEAST_TIME_LEFT_MS ||
      !this.#budget.take(question.team)
    ) {
      return { kind: "give-up" };
    }
    return {
      kind: "retry",
      delayMs: this.#random.sampleUniform() * MAX_JITTER_MS,
    };
  }

  /**
   * Plans a second attempt beside a late first one.
   *
   * @param reference - usual latencies of the route
   * @param question - the running attempt
   * @returns milliseconds after dispatch, or undefined for no hedge
   */
  planHedgeMs(
    reference: RouteReference,
    question: RetryState,
  ): number | undefined {
    const delayMs = Math.max(LEAST_HEDGE_MS, HEDGE_MARGIN * reference.p99Ms);
    const mayHedge = question.isIdempotent && question.attempts < 2 &&
      question.timeLeftMs > 2 * delayMs && this.#budget.maySpend(question.team);
    return mayHedge ? delayMs : undefined;
  }
}
