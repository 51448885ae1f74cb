/** Error responses to requests that Node's HTTP parser rejects. */

import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";

import { REQUEST_OUTCOME } from "@limpetford/domain/request_outcome";

import { HEADER } from "./header_names.ts";
import { renderProblem } from "./problem_response.ts";

const STATUS_BY_ERROR: ReadonlyMap<string, number> = new Map([
  ["HPE_HEADER_OVERFLOW", 431],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", 413],
  ["ERR_HTTP_REQUEST_TIMEOUT", 408],
]);
const STATUS_BAD_REQUEST = 400;

/**
 * Responds to a request that could not be parsed, and closes its connection. If
 * an earlier request on the connection is still being served, the connection is
 * destroyed instead, so that the two responses are not mixed.
 *
 * @param error - the parser's error, whose code selects the status
 * @param socket - the caller's connection
 * @param isBusy - true while the connection serves an earlier request
 */
export function refuseMalformedRequest(
  error: NodeJS.ErrnoException,
  socket: Duplex,
  isBusy: boolean,
): void {
  if (isBusy || !socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const status = STATUS_BY_ERROR.get(error.code ?? "") ?? STATUS_BAD_REQUEST;
  const title = STATUS_CODES[status] ?? "Bad Request";
  const body = renderProblem({
    status,
    type: "urn:limpetford:problem:malformed-request",
    title,
    detail: "The request is malformed, too large or too slow",
    outcome: REQUEST_OUTCOME.notRun,
    retryAfterMs: undefined,
  }, "none");
  socket.end(
    `HTTP/1.1 ${status} ${title}\r\n` +
      "content-type: application/problem+json\r\n" +
      `content-length: ${Buffer.byteLength(body)}\r\n` +
      `${HEADER.outcome}: ${REQUEST_OUTCOME.notRun}\r\n` +
      "connection: close\r\n\r\n" + body,
  );
}
