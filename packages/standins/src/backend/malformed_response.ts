/** Malformed and truncated HTTP responses, written to the raw socket. */

import type { Socket } from "node:net";

import type { MalformedResponseBehavior } from "./backend_behavior.ts";

const HUGE_HEADER_BYTES = 1_000_000;
const RESET_DELAY_MS = 20;
const PARTIAL_RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart";

/**
 * Writes the bytes of a malformed response.
 *
 * @param behavior - how the response is malformed
 * @param socket - connection of the request
 */
export function writeMalformedResponse(
  behavior: MalformedResponseBehavior,
  socket: Socket,
): void {
  switch (behavior.kind) {
    case "short-length":
      socket.end(PARTIAL_RESPONSE);
      return;
    case "long-length":
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\npart and more");
      return;
    case "cut-chunked":
      socket.end(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
      );
      return;
    case "cut-chunked-closing":
      socket.end(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n" +
          "connection: close\r\n\r\n4\r\npart\r\n",
      );
      return;
    case "reset-in-body":
      socket.write(PARTIAL_RESPONSE);
      setTimeout(() => {
        socket.resetAndDestroy();
      }, RESET_DELAY_MS);
      return;
    case "unframed":
      socket.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart");
      return;
    case "two-answers":
      socket.write(renderResponse("first") + renderResponse("second"));
      return;
    case "late-second-answer":
      socket.write(renderResponse("first"));
      setTimeout(() => {
        socket.write(renderResponse("second"));
      }, behavior.delayMs);
      return;
    case "garbage":
      socket.write("this is no HTTP at all\r\n\r\n");
      return;
    case "huge-headers":
      socket.write(
        `HTTP/1.1 200 OK\r\nx-filler: ${"a".repeat(HUGE_HEADER_BYTES)}`,
      );
      return;
    case "stall-in-body":
      socket.write(PARTIAL_RESPONSE);
      return;
  }
}

function renderResponse(body: string): string {
  return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}
