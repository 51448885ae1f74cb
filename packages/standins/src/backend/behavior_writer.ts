/** Writes the response of the backend server stand-in. */

import type { IncomingMessage, ServerResponse } from "node:http";

import type {
  BackendBehavior,
  CompleteResponseBehavior,
} from "./backend_behavior.ts";
import { writeMalformedResponse } from "./malformed_response.ts";

const ATTEMPT_ID_HEADER = "limpetford-attempt-id";
const DEFAULT_BODY = "whole answer";
const LARGE_CHUNK_BYTES = 65_536;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/**
 * Responds to a request according to a behavior. `crash` does nothing here: the
 * server stand-in handles it.
 *
 * @param behavior - how to respond
 * @param request - request, read to its end
 * @param response - response with nothing sent
 */
export function writeBehavior(
  behavior: BackendBehavior,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const { socket } = request;
  switch (behavior.kind) {
    case "answer":
      scheduleResponse(behavior, response);
      return;
    case "shed":
      response.writeHead(STATUS_UNAVAILABLE, {
        "retry-after": "1",
        "limpetford-outcome": "not-run",
        "content-length": "0",
      });
      response.end();
      return;
    case "plain-unavailable":
      response.writeHead(STATUS_UNAVAILABLE, { "content-length": "0" });
      response.end();
      return;
    case "foreign-echo":
      response.writeHead(STATUS_OK, {
        [ATTEMPT_ID_HEADER]: "another-request.1",
      });
      response.end("the answer to another request");
      return;
    case "own-echo":
      response.writeHead(STATUS_OK, {
        [ATTEMPT_ID_HEADER]: request.headers[ATTEMPT_ID_HEADER] ?? "",
      });
      response.end(DEFAULT_BODY);
      return;
    case "large":
      writeLarge(response, behavior.bytes);
      return;
    case "hang":
    case "crash":
      return;
    case "reset":
      socket.resetAndDestroy();
      return;
    case "close":
      socket.end();
      return;
    default:
      writeMalformedResponse(behavior, socket);
  }
}

function scheduleResponse(
  behavior: CompleteResponseBehavior,
  response: ServerResponse,
): void {
  if (behavior.delayMs === undefined) {
    writeResponse(behavior, response);
    return;
  }
  setTimeout(() => {
    writeResponse(behavior, response);
  }, behavior.delayMs);
}

function writeResponse(
  behavior: CompleteResponseBehavior,
  response: ServerResponse,
): void {
  const body = behavior.body ?? DEFAULT_BODY;
  response.writeHead(behavior.status ?? STATUS_OK, {
    ...behavior.isChunked === true
      ? { "transfer-encoding": "chunked" }
      : { "content-length": Buffer.byteLength(body) },
    ...behavior.headers,
  });
  response.end(body);
}

function writeLarge(response: ServerResponse, bytes: number): void {
  response.writeHead(STATUS_OK, { "content-length": bytes });
  let remainingBytes = bytes;
  const writeMore = (): void => {
    while (remainingBytes > 0) {
      const chunk = Buffer.alloc(
        Math.min(remainingBytes, LARGE_CHUNK_BYTES),
        "x",
      );
      remainingBytes -= chunk.length;
      if (!response.write(chunk)) {
        response.once("drain", writeMore);
        return;
      }
    }
    response.end();
  };
  writeMore();
}
