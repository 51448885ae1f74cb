/** Stops an HTTP server without cutting what callers have not taken yet. */

import type { Server } from "node:http";
import type { Duplex } from "node:stream";

/** A request whose response may not have been taken whole. */
export interface OpenExchange {
  /** Resolves when nothing of the response can be sent any more. */
  readonly closed: Promise<void>;
}

/**
 * Stops listening and closes idle connections. Node takes a connection for idle as
 * soon as its response has been ended, and would destroy it with what its caller
 * has not taken yet: such a connection is ended behind its last response.
 *
 * @param server - server to stop
 * @param exchanges - open requests by connection, kept up to date
 * @returns resolves when all connections are closed
 */
export function closeServer(
  server: Server,
  exchanges: ReadonlyMap<Duplex, readonly OpenExchange[]>,
): Promise<void> {
  const busy = [...exchanges.keys()];
  for (const socket of busy) {
    socket.destroy = (): Duplex => socket;
  }
  const serverClosed = new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
  for (const socket of busy) {
    // Uncovers the method of the prototype.
    Reflect.deleteProperty(socket, "destroy");
  }
  for (const [socket, open] of exchanges) {
    void Promise.all(open.map(({ closed }) => closed)).then(() => {
      if (!exchanges.has(socket)) {
        socket.end();
      }
    });
  }
  return serverClosed;
}
