/** HTTP client that reports responses as they arrive, truncated ones too. */

import * as http from "node:http";

import type { SocketAddress } from "@limpetford/domain/vm";

/** Method, headers and body of a request. */
export interface RequestOptions {
  /** Default GET. */
  readonly method?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  /** Connection pool; by default each request opens a connection. */
  readonly agent?: http.Agent;
  /** Destroys the connection after this time, in milliseconds. */
  readonly abortAfterMs?: number;
}

/** A response, or the lack of one. */
export interface ClientResponse {
  /** Undefined if the connection failed before a response began. */
  readonly status: number | undefined;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** True if the body ended as its framing says. */
  readonly isComplete: boolean;
}

/**
 * Sends one request. A failed connection gives a response without a status.
 *
 * @param address - host and port of the server
 * @param path - path and query
 * @param options - method, headers, body and connection of the request
 * @returns the response, once its connection or body has ended
 */
export function sendRequest(
  address: SocketAddress,
  path: string,
  options: RequestOptions = {},
): Promise<ClientResponse> {
  return new Promise((resolve) => {
    const request = http.request({
      ...address,
      path,
      method: options.method ?? "GET",
      headers: options.headers ?? {},
      agent: options.agent ?? false,
    });
    request.on("response", (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("error", () => undefined);
      response.on("close", () => {
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          isComplete: response.complete,
        });
      });
    });
    request.on("error", () => {
      resolve({ status: undefined, headers: {}, body: "", isComplete: false });
    });
    if (options.abortAfterMs !== undefined) {
      setTimeout(() => {
        request.destroy();
      }, options.abortAfterMs);
    }
    request.end(options.body);
  });
}
