/** Closes a connection with a TCP reset. */

import type * as net from "node:net";

/**
 * Resets a connection. A connection whose writable side has been ended is
 * closed without a reset: Node 20 never closes the handle of a socket that is
 * reset at that time, and the process then loops forever when it exits. One that is
 * still connecting is closed at once: Node would wait for its peer to reset it.
 *
 * @param socket - connection to close
 */
export function resetSocket(socket: net.Socket): void {
  if (socket.writableEnded || socket.connecting) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
