/** Builds announced backend servers for tests. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import {
  type ServerId,
  type ServiceId,
  toId,
  type ZoneId,
} from "@limpetford/domain/ids";
import { SERVER_STATE } from "@limpetford/domain/service";

/**
 * Builds an active server of the service "s" with three slots.
 *
 * @param id - identifier of the server
 * @param changes - what differs, such as its zone, which is "z" by default
 * @returns the announcement
 */
export function buildAnnouncedServer(
  id: string,
  changes: Partial<AnnouncedServer> = {},
): AnnouncedServer {
  return {
    id: toId<ServerId>(id),
    service: toId<ServiceId>("s"),
    zone: toId<ZoneId>("z"),
    address: { host: "10.0.0.1", port: 80 },
    slots: 3,
    state: SERVER_STATE.active,
    warmUpLeftMs: 0,
    startedAtMs: 1,
    sequence: 1,
    ...changes,
  };
}
