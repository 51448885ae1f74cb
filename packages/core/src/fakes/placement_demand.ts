/** Builds requests to be placed for tests. */

import { type RouteId, toId } from "@limpetford/domain/ids";

import type { PlacementDemand } from "../placement/placement_demand.ts";

/**
 * Builds the first attempt of a request that must not run twice.
 *
 * @param times - target and deadline, monotonic, in milliseconds
 * @param changes - what else differs
 * @returns the request
 */
export function buildPlacementDemand(
  times: Pick<PlacementDemand, "targetAtMs" | "deadlineAtMs">,
  changes: Partial<PlacementDemand> = {},
): PlacementDemand {
  return {
    team: undefined,
    route: toId<RouteId>("r"),
    isIdempotent: false,
    isSuspect: false,
    tried: [],
    mayRetry: true,
    priority: 1,
    ...times,
    ...changes,
  };
}
