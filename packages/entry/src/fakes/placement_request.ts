/** Requests for a slot with given fields, for tests of routers. */

import {
  type RequestId,
  type RouteId,
  type ServiceId,
  toId,
} from "@limpetford/domain/ids";
import { ROUTE_ACCESS } from "@limpetford/domain/route";

import type { PlacementRequest } from "../ports/server_router.ts";

/**
 * Builds the first attempt of a request on an idempotent, public route.
 *
 * @param id - identifier of the request
 * @param changes - fields that differ
 * @returns the attempt
 */
export function buildPlacementRequest(
  id: string,
  changes: Partial<PlacementRequest> = {},
): PlacementRequest {
  return {
    context: {
      id: toId<RequestId>(id),
      route: {
        id: toId<RouteId>("read"),
        method: "*",
        pathPrefix: "/read/",
        service: toId<ServiceId>("bands"),
        isIdempotent: true,
        access: ROUTE_ACCESS.open,
        deadlineMs: 1_000,
        bodyLimitBytes: 1_000,
        derivedKeyWindowMs: 0,
      },
      team: undefined,
      method: "GET",
      target: "/read/1",
      receivedAtMs: 0,
      deadlineAtMs: 1_000,
      isPassedOn: false,
    },
    fingerprint: "fingerprint",
    tried: [],
    attempt: 1,
    isHedge: false,
    signal: new AbortController().signal,
    ...changes,
  };
}
