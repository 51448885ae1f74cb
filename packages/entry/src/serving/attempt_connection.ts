/** Chooses the connection for an attempt. */

import type { Placement } from "../ports/server_router.ts";
import type { BackendConnection } from "./backend_connection.ts";
import type { SeriesDependencies } from "./response_receiver.ts";

/**
 * Opens a connection for an attempt, or takes an idle one.
 *
 * @param pools - connections to backend servers and to other VMs
 * @param placement - target of the attempt
 * @param id - identifier by which the response will be recognized
 * @returns connection that no other request uses
 */
export function openAttemptConnection(
  { connections, peerConnections }: SeriesDependencies,
  { isForwarded, needsNewConnection, server }: Placement,
  id: string | undefined,
): BackendConnection {
  if (isForwarded === true) {
    return peerConnections.acquire(server.address, id);
  }
  return needsNewConnection === true
    ? connections.open(server.address)
    : connections.acquire(server.address, id);
}
