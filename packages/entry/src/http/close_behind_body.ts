/** Closes a connection whose caller is still sending, without losing the response. */

import type { IncomingMessage, ServerResponse } from "node:http";

import { hasBody } from "../serving/request_body.ts";

/** Time in which a caller that is still sending may take its response. */
export const LINGER_MS = 1_000;

/**
 * Lets a response that is the last on its connection reach a caller that has not sent
 * the whole body yet. The kernel resets a connection that is closed with unread bytes,
 * and the caller may lose the response (RFC 9112, 9.6): the connection is only ended
 * behind it, and closed when the body has been read or after a while.
 *
 * @param request - request whose body has not been read to its end
 */
export function closeBehindBody(request: IncomingMessage): void {
  const { socket } = request;
  // Node's HTTP server calls it behind the last response.
  socket.destroySoon = (): void => {
    // Uncovers the method of the prototype.
    Reflect.deleteProperty(socket, "destroySoon");
    if (request.complete) {
      socket.destroySoon();
      return;
    }
    socket.end();
    request.resume();
    request.once("end", () => {
      socket.destroySoon();
    });
    const timer = setTimeout(() => {
      socket.destroy();
    }, LINGER_MS);
    socket.once("close", () => {
      clearTimeout(timer);
    });
  };
}

/**
 * Makes a response the last on its connection if its request has a body, for a server
 * that takes none.
 *
 * @param request - request of Node's HTTP server
 * @param response - response whose headers have not been sent
 */
export function refuseBody(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  if (hasBody(request)) {
    response.setHeader("connection", "close");
    closeBehindBody(request);
  }
}
