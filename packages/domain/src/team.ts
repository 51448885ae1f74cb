/** Teams and the API keys of their callers. */

import type { KeyHash, TeamId } from "./ids.ts";

/** A customer with its own rate limit and scheduling weight. */
export interface Team {
  readonly id: TeamId;
  /** Rate limit in requests per second, over the whole fleet. */
  readonly ratePerSecond: number;
  /** Token bucket capacity in requests, over the whole fleet. */
  readonly burst: number;
  /** Relative share of slot time under contention; 1 for an ordinary team. */
  readonly weight: number;
}

/** An API key of a team. Only its hash is stored. */
export interface CallerKey {
  readonly hash: KeyHash;
  readonly team: TeamId;
}
