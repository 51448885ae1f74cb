/** Lists the backend servers of a service that accept new requests. */

import type { ServiceId } from "@limpetford/domain/ids";
import { type BackendServer, SERVER_STATE } from "@limpetford/domain/service";

import type { ConfigurationSource } from "../../ports/configuration_source.ts";

/**
 * Lists the active servers of a service. Excludes servers that are leaving,
 * whether the configuration or a gossiped fact says so.
 *
 * @param configuration - source of the servers and of those that are leaving
 * @param service - service whose servers are listed
 * @returns the active servers; empty before the first configuration
 */
export function listServiceServers(
  configuration: ConfigurationSource,
  service: ServiceId,
): readonly BackendServer[] {
  const servers = configuration.readConfiguration()?.servers ?? [];
  return servers.filter((server) =>
    server.service === service &&
    server.state === SERVER_STATE.active &&
    !configuration.isServerLeaving(server.id)
  );
}
