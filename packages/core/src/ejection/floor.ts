/** The floor: share of a service's capacity that ejection must keep. */

import type { ServerId } from "@limpetford/domain/ids";
import type { BackendServer } from "@limpetford/domain/service";

/**
 * Selects the candidates that may be ejected, in the order given, while the
 * other servers keep the floor's share of all slots, and at least one slot. The
 * first candidate that does not fit ends the selection, so that all VMs eject
 * the same worst servers.
 *
 * @param servers - servers of the service except those that are leaving
 * @param candidates - servers that should be ejected, worst first
 * @param floor - share of all slots to keep, from 0 to 1
 * @returns servers that may be ejected, worst first
 */
export function selectEjectable(
  servers: readonly BackendServer[],
  candidates: readonly ServerId[],
  floor: number,
): ReadonlySet<ServerId> {
  const slots = new Map(servers.map((server) => [server.id, server.slots]));
  let remaining = sumSlots(servers);
  const least = Math.max(floor * remaining, Math.min(1, remaining));
  const ejectable = new Set<ServerId>();
  for (const candidate of candidates) {
    const size = slots.get(candidate);
    if (size === undefined || ejectable.has(candidate)) {
      continue;
    }
    if (remaining - size < least) {
      break;
    }
    remaining -= size;
    ejectable.add(candidate);
  }
  return ejectable;
}

/**
 * Sums the slots of servers.
 *
 * @param servers - servers with their number of concurrent requests (slots)
 * @returns total number of slots
 */
export function sumSlots(servers: readonly BackendServer[]): number {
  return servers.reduce((sum, server) => sum + server.slots, 0);
}
