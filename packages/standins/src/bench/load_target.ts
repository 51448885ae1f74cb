/** Connections from the load generator to one HTTP server. */

import type { SocketAddress } from "@limpetford/domain/vm";
import { formatAddress } from "@limpetford/domain/vm";
import { Client, type Dispatcher } from "undici";

/** The request that is sent to a target again and again. */
export interface LoadRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  /** Header names and values, alternating. */
  readonly headers: readonly string[];
  readonly body?: string;
  /** True to send each request with a new idempotency key. */
  readonly hasIdempotencyKey?: boolean;
}

/**
 * Outcome of one request: `served` with status 200, `refused` with another
 * status, or `broken` if the connection failed.
 */
export type LoadOutcome = "served" | "refused" | "broken";

/**
 * Sends requests over a fixed number of connections, one at a time on each.
 */
export class LoadTarget {
  readonly #request: LoadRequest;
  readonly #idle: Client[] = [];
  readonly #clients: readonly Client[];
  readonly #keyPrefix: string;
  #sent = 0;

  /**
   * Creates the connections, which open with their first request.
   *
   * @param address - address of the server
   * @param request - request that each call of `send` sends
   * @param options - number of connections and prefix of idempotency keys
   */
  constructor(
    address: SocketAddress,
    request: LoadRequest,
    options: { readonly connections: number; readonly keyPrefix: string },
  ) {
    this.#request = request;
    this.#keyPrefix = options.keyPrefix;
    this.#clients = Array.from(
      { length: options.connections },
      () => new Client(`http://${formatAddress(address)}`, { pipelining: 1 }),
    );
    this.#idle.push(...this.#clients);
  }

  /**
   * Checks for a connection without a request in flight.
   *
   * @returns true if `send` may be called
   */
  hasFreeConnection(): boolean {
    return this.#idle.length > 0;
  }

  /**
   * Sends one request on a free connection.
   *
   * @param complete - called with the outcome when the response has ended
   * @throws Error if no connection is free
   */
  send(complete: (outcome: LoadOutcome) => void): void {
    const client = this.#idle.pop();
    if (client === undefined) {
      throw new Error("no free connection: each has a request in flight");
    }
    this.#sent += 1;
    const { method, path, body } = this.#request;
    let status = 0;
    const finish = (outcome: LoadOutcome): void => {
      this.#idle.push(client);
      complete(outcome);
    };
    client.dispatch(
      { method, path, headers: this.#buildHeaders(), body: body ?? null },
      buildHandler((code) => {
        status = code;
      }, (isComplete) => {
        finish(!isComplete ? "broken" : status === 200 ? "served" : "refused");
      }),
    );
  }

  /** Destroys all connections. */
  async close(): Promise<void> {
    await Promise.all(this.#clients.map((client) => client.destroy()));
  }

  #buildHeaders(): string[] {
    const headers = [...this.#request.headers];
    if (this.#request.hasIdempotencyKey === true) {
      headers.push("idempotency-key", `${this.#keyPrefix}-${this.#sent}`);
    }
    return headers;
  }
}

function buildHandler(
  receiveStatus: (status: number) => void,
  receiveEnd: (isComplete: boolean) => void,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: () => undefined,
    onResponseStart: (_controller, status) => {
      receiveStatus(status);
    },
    onResponseData: () => undefined,
    onResponseEnd: () => {
      receiveEnd(true);
    },
    onResponseError: () => {
      receiveEnd(false);
    },
  };
}
