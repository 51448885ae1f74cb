/** What a request asks of the placement, from its route and terms. */

import type { PlacementDemand } from "@limpetford/core/placement/placement_demand";
import type { ServiceId } from "@limpetford/domain/ids";

import type { PlacementRequest } from "../ports/server_router.ts";

/**
 * Builds the demand of one sending.
 *
 * @param request - the sending
 * @returns what it asks for
 */
export function buildDemand(request: PlacementRequest): PlacementDemand {
  const { context, tried, attempt } = request;
  const { route, terms, deadlineAtMs } = context;
  return {
    route: route.id,
    isIdempotent: route.isIdempotent,
    tried,
    mayRetry: attempt < (terms?.maxAttempts ?? 1),
    priority: terms?.priority ?? 0,
    targetAtMs: terms?.targetAtMs ?? deadlineAtMs,
    deadlineAtMs,
  };
}

/**
 * Reads which service takes a request.
 *
 * @param request - the sending
 * @returns the service
 */
export function readServiceId({ context }: PlacementRequest): ServiceId {
  return context.terms?.service ?? context.route.service;
}
