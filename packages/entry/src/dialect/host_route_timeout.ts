/** Finds a request's route by its path, and the time that the route allows it. */

import type { HostRoute } from "@limpetford/domain/host_route";
import type { CallerRequestHeaders } from "@limpetford/platform/store/http_headers";

/**
 * Parses the path of a target.
 *
 * @param target - path and query
 * @returns the path
 */
export function parsePath(target: string): string {
  return target.split("?", 1)[0] ?? target;
}

/**
 * Computes the time in which a request has to be answered.
 *
 * @param route - its route
 * @param head - headers of the caller
 * @returns milliseconds from its arrival
 */
export function computeTimeoutMs(
  { deadlineMs }: HostRoute,
  { timeLeftMs }: CallerRequestHeaders,
): number {
  return Math.min(timeLeftMs ?? deadlineMs, deadlineMs);
}
