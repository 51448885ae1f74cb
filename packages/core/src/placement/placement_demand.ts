/** What the placement needs to know of a request. */

import type { RouteId, ServerId, TeamId } from "@limpetford/domain/ids";

/** An attempt of a request that needs a slot at a server. */
export interface PlacementDemand {
  /** Team that sent the request; undefined on open routes. */
  readonly team: TeamId | undefined;
  readonly route: RouteId;
  /** True if the request may run more than once. */
  readonly isIdempotent: boolean;
  /** True if the request may crash the server that runs it. */
  readonly isSuspect: boolean;
  /** Servers of the request's earlier attempts; they are not chosen again. */
  readonly tried: readonly ServerId[];
  /** True if attempts remain after this one. */
  readonly mayRetry: boolean;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time at which the latency target ends, in milliseconds. */
  readonly targetAtMs: number;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadlineAtMs: number;
}
