/** When the servers of a service take requests. */

import type { PlacementDemand } from "./placement_demand.ts";
import type { TrackedServer } from "./tracked_server.ts";

/** Servers that take no requests for longer do not count for the throughput. */
const COUNTED_WITHIN_MS = 1_500;

/**
 * Computes the time until a server that a request has not tried takes requests.
 *
 * @param servers - the service's servers
 * @param demand - request, with the servers that it has tried
 * @param nowMs - monotonic time, in milliseconds
 * @returns milliseconds; 0 if one takes them now, infinite if all are leaving
 */
export function computeServerWaitMs(
  servers: readonly TrackedServer[],
  { tried }: PlacementDemand,
  nowMs: number,
): number {
  let atMs = Infinity;
  for (const server of servers) {
    if (!tried.includes(server.announced.id)) {
      atMs = Math.min(atMs, server.availableAtMs);
    }
  }
  return Math.max(0, atMs - nowMs);
}

/**
 * Lists the servers that the throughput of the near future comes from.
 *
 * @param servers - the service's servers
 * @param nowMs - monotonic time, in milliseconds
 * @returns those that take requests now or soon
 */
export function listAvailableSoon(
  servers: readonly TrackedServer[],
  nowMs: number,
): readonly TrackedServer[] {
  return servers.filter((server) =>
    server.availableAtMs < nowMs + COUNTED_WITHIN_MS
  );
}
