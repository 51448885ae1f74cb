/** Breaks a connection so that the other end sees a reset. */

import type * as net from "node:net";

/**
 * Resets a connection. One that is being ended in an orderly way is closed
 * instead: Node 20 never closes the handle of a socket that is reset while its
 * end is under way, and then spins when the process exits.
 *
 * @param socket - the connection
 */
export function resetSocket(socket: net.Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
