/** Refuses what is no request of the platform's protocol. */

import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";

const STATUS_BY_PARSER_ERROR: ReadonlyMap<string, number> = new Map([
  ["HPE_HEADER_OVERFLOW", 431],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", 413],
  ["ERR_HTTP_REQUEST_TIMEOUT", 408],
]);
const STATUS_BAD_REQUEST = 400;

/**
 * Responds to bytes that could not be parsed, and closes the connection.
 *
 * @param error - error of the parser
 * @param socket - connection of the caller
 * @param isBusy - true while the connection serves an earlier request
 */
export function refuseMalformedCall(
  error: NodeJS.ErrnoException,
  socket: Duplex,
  isBusy: boolean,
): void {
  if (isBusy || !socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const status = STATUS_BY_PARSER_ERROR.get(error.code ?? "") ??
    STATUS_BAD_REQUEST;
  const reason = STATUS_CODES[status] ?? "Bad Request";
  socket.end(
    `HTTP/1.1 ${status} ${reason}\r\n` +
      "content-length: 0\r\nconnection: close\r\n\r\n",
  );
}
