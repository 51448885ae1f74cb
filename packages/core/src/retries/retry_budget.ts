/** Budget of retries and hedges to a service, over all teams and per team. */

import type { TeamId } from "@limpetford/domain/ids";

/** Tokens added by each first attempt; one extra attempt costs 1. */
const TOKENS_PER_FIRST_ATTEMPT = 0.09;
/** Most tokens that the service's bucket holds. */
const SERVICE_CAPACITY = 10;
/** Most tokens that a team's bucket holds. */
const TEAM_CAPACITY = 4;
/** Tokens in a new bucket. */
const INITIAL_TOKENS = 0.5;

/**
 * Token buckets of a service and its teams. Each first attempt adds less than a
 * tenth of a token and each retry or hedge takes one, which keeps extra load
 * below a tenth.
 */
export class RetryBudget {
  #serviceTokens = INITIAL_TOKENS;
  readonly #teamTokens = new Map<string, number>();

  /**
   * Adds tokens for the first attempt of a request.
   *
   * @param team - the team; undefined on a route that needs no team
   */
  recordFirstAttempt(team: TeamId | undefined): void {
    this.#serviceTokens = Math.min(
      SERVICE_CAPACITY,
      this.#serviceTokens + TOKENS_PER_FIRST_ATTEMPT,
    );
    const tokens = this.#readTeam(team) + TOKENS_PER_FIRST_ATTEMPT;
    this.#teamTokens.set(team ?? "", Math.min(TEAM_CAPACITY, tokens));
  }

  /**
   * Checks whether an extra attempt may be made.
   *
   * @param team - the team; undefined on a route that needs no team
   * @returns true if both the service and the team have a token left
   */
  maySpend(team: TeamId | undefined): boolean {
    return this.#serviceTokens >= 1 && this.#readTeam(team) >= 1;
  }

  /**
   * Takes a token from the service and the team for an extra attempt.
   *
   * @param team - the team; undefined on a route that needs no team
   * @returns false if either has no token left; then none is taken
   */
  take(team: TeamId | undefined): boolean {
    if (!this.maySpend(team)) {
      return false;
    }
    this.#serviceTokens -= 1;
    this.#teamTokens.set(team ?? "", this.#readTeam(team) - 1);
    return true;
  }

  #readTeam(team: TeamId | undefined): number {
    return this.#teamTokens.get(team ?? "") ?? INITIAL_TOKENS;
  }
}
