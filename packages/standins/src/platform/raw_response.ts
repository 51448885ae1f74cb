/** Bytes that a stand-in server writes as they are. */

import type { Socket } from "node:net";

import { resetSocket } from "@limpetford/entry/http/reset_socket";

/** Bytes that the stand-in writes in place of a response. */
export interface RawResponse {
  readonly bytes: string;
  /**
   * How the connection ends after them; `reset` also drops unread bytes, `none`
   * leaves it open.
   */
  readonly end: "close" | "reset" | "none";
  /** Bytes that follow again and again until the connection is closed. */
  readonly repeated?: string;
}

const REPEATED_BYTES = 65_536;
/** Repeated bytes after which the stand-in stops, if its caller still reads. */
const MAX_REPEATED_BYTES = 60_000_000;

/**
 * Writes the bytes and ends the connection as they ask for.
 *
 * @param socket - connection of the request
 * @param response - bytes, and how the connection ends
 */
export function writeRawResponse(
  socket: Socket,
  { bytes, end, repeated }: RawResponse,
): void {
  socket.write(bytes, () => {
    if (repeated !== undefined) {
      writeRepeatedly(socket, repeated);
      return;
    }
    switch (end) {
      case "close":
        socket.end();
        break;
      case "reset":
        resetSocket(socket);
        break;
      case "none":
        break;
    }
  });
}

function writeRepeatedly(socket: Socket, bytes: string): void {
  const block = Buffer.from(
    bytes.repeat(Math.ceil(REPEATED_BYTES / bytes.length)),
  );
  let sentBytes = 0;
  const writeMore = (): void => {
    while (!socket.destroyed && sentBytes < MAX_REPEATED_BYTES) {
      sentBytes += block.length;
      if (!socket.write(block)) {
        socket.once("drain", writeMore);
        return;
      }
    }
  };
  writeMore();
}
