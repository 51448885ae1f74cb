/** Separates accepting a connection from serving it. */

import type { Server } from "node:http";
import type { Socket } from "node:net";

/**
 * Takes the listeners for new connections off a server, so that something else
 * decides which connections it serves.
 *
 * @param server - server of Node that has just been created
 * @returns serves a connection as the server would have
 */
export function takeConnectionListener(
  server: Server,
): (socket: Socket) => void {
  const listeners = server.listeners("connection");
  server.removeAllListeners("connection");
  return (socket) => {
    for (const listener of listeners) {
      Reflect.apply(listener, server, [socket]);
    }
  };
}
