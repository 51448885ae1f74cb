/** Derives the placement demand of an attempt from its route and terms. */

import type { PlacementDemand } from "@limpetford/core/placement/placement_demand";
import type { ServiceId } from "@limpetford/domain/ids";

import type { PlacementRequest } from "../ports/server_router.ts";

/**
 * Builds the demand that the load balancer places on a backend server.
 *
 * @param request - the attempt to place
 * @param isSuspect - true if the request may crash the server
 * @returns team, route, priority, deadlines and the servers already tried
 */
export function buildDemand(
  request: PlacementRequest,
  isSuspect: boolean,
): PlacementDemand {
  const { context, tried, attempt } = request;
  const { route, terms, deadlineAtMs } = context;
  return {
    team: context.team,
    route: route.id,
    isIdempotent: route.isIdempotent,
    isSuspect,
    tried,
    mayRetry: attempt < (terms?.maxAttempts ?? 1),
    priority: terms?.priority ?? 0,
    targetAtMs: terms?.targetAtMs ?? deadlineAtMs,
    deadlineAtMs,
  };
}

/**
 * Reads the service that an attempt is routed to.
 *
 * @param request - the attempt to place
 * @returns the service from the request's terms, or else from its route
 */
export function readServiceId({ context }: PlacementRequest): ServiceId {
  return context.terms?.service ?? context.route.service;
}
