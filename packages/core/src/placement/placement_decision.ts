/** Decisions of the load balancer of a service. */

import type { PlacementDemand } from "./placement_demand.ts";
import type { RunningRequest, TrackedServer } from "./tracked_server.ts";
import type { Waiter } from "./wait_queue.ts";

/** A slot at a server, held by a running attempt. */
export interface TakenSlot {
  /**
   * True if the server names a rate limit. The attempt may only be sent once the
   * VM that grants the limit's tokens has granted one; see `grantToken` and
   * `refuseToken` of the load balancer.
   */
  readonly needsToken: boolean;
  readonly server: TrackedServer;
  readonly running: RunningRequest;
  readonly demand: PlacementDemand;
}

/** Result of a request for a slot. */
export type PlacementDecision<T> =
  | { readonly kind: "placed"; readonly slot: TakenSlot }
  | { readonly kind: "waiting"; readonly waiter: Waiter<T> }
  /** Cannot be served before its deadline; `retryAfterMs` from now it may. */
  | { readonly kind: "overloaded"; readonly retryAfterMs: number }
  | { readonly kind: "no-server" };

/** Decision on a request that was waiting. */
export interface WaiterDecision<T> {
  readonly waiter: Waiter<T>;
  readonly decision: Exclude<
    PlacementDecision<T>,
    { readonly kind: "waiting" }
  >;
}
