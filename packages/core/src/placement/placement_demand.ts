/** What a request asks of the placement. */

import type { RouteId, ServerId } from "@limpetford/domain/ids";

/** One sending of a request that needs a slot. */
export interface PlacementDemand {
  readonly route: RouteId;
  /** True if the request may be sent again although it may have run. */
  readonly isIdempotent: boolean;
  /** Servers that it was sent to before. */
  readonly tried: readonly ServerId[];
  /** True if another sending may follow a failure of this one. */
  readonly mayRetry: boolean;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time up to which an answer is of full use, in milliseconds. */
  readonly targetAtMs: number;
  /** Monotonic time after which an answer is of no use, in milliseconds. */
  readonly deadlineAtMs: number;
}
