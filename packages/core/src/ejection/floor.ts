/** The floor: how much of a service ejection must leave. */

import type { ServerId } from "@limpetford/domain/ids";
import type { BackendServer } from "@limpetford/domain/service";

/**
 * Selects which of the servers that should be left out may be, in the order
 * given, so that the rest keeps the floor's share of all slots. The first one
 * that does not fit ends the selection, so that everyone leaves out the same
 * worst ones.
 *
 * @param servers - the service's servers without those that are leaving
 * @param candidates - servers to leave out, worst first
 * @param floor - share of all slots to keep, from 0 to 1
 * @returns the servers that may be left out
 */
export function selectEjectable(
  servers: readonly BackendServer[],
  candidates: readonly ServerId[],
  floor: number,
): ReadonlySet<ServerId> {
  const slots = new Map(servers.map((server) => [server.id, server.slots]));
  let remaining = sumSlots(servers);
  const least = Math.max(floor * remaining, Math.min(1, remaining));
  const leftOut = new Set<ServerId>();
  for (const candidate of candidates) {
    const size = slots.get(candidate);
    if (size === undefined || leftOut.has(candidate)) {
      continue;
    }
    if (remaining - size < least) {
      break;
    }
    remaining -= size;
    leftOut.add(candidate);
  }
  return leftOut;
}

/**
 * Sums the slots of servers.
 *
 * @param servers - the servers
 * @returns the number of slots
 */
export function sumSlots(servers: readonly BackendServer[]): number {
  return servers.reduce((sum, server) => sum + server.slots, 0);
}
