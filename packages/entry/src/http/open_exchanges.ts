/** Finds the requests of each connection that have not ended. */

import type { Duplex } from "node:stream";

import type { CallerExchange } from "../serving/caller_exchange.ts";

/** Requests that have not ended, by connection. */
export class OpenExchanges {
  readonly #bySocket = new Map<Duplex, CallerExchange[]>();
  /** Connections whose end is observed. */
  readonly #observedSockets = new WeakSet<Duplex>();
  // Functions that all requests share, to avoid allocating closures for each of them.
  readonly isFollowed = (exchange: CallerExchange): boolean =>
    this.findLast(exchange.request.socket) !== exchange;
  readonly release = (exchange: CallerExchange): void => {
    this.#remove(exchange);
  };

  /**
   * All open requests.
   *
   * @returns the requests by connection, kept up to date
   */
  get bySocket(): ReadonlyMap<Duplex, readonly CallerExchange[]> {
    return this.#bySocket;
  }

  /**
   * Finds the request of a connection that was read last.
   *
   * @param socket - the connection
   * @returns the request; undefined if none is open
   */
  findLast(socket: Duplex): CallerExchange | undefined {
    return this.#bySocket.get(socket)?.at(-1);
  }

  /**
   * Tracks a request until it ends, and tells it when its connection ends. Node
   * closes the connection some turns of the event loop after its end.
   *
   * @param exchange - request that was read
   */
  track(exchange: CallerExchange): void {
    const { socket } = exchange.request;
    const others = this.#bySocket.get(socket) ?? [];
    this.#bySocket.set(socket, [...others, exchange]);
    if (!this.#observedSockets.has(socket)) {
      this.#observedSockets.add(socket);
      socket.once("end", () => {
        this.#bySocket.get(socket)?.forEach((ended) => {
          ended.handleEnd();
        });
      });
      socket.once("close", () => {
        this.#bySocket.get(socket)?.forEach((closed) => {
          closed.handleClose();
        });
      });
    }
  }

  #remove(exchange: CallerExchange): void {
    const { socket } = exchange.request;
    const others = (this.#bySocket.get(socket) ?? []).filter((other) =>
      other !== exchange
    );
    if (others.length === 0) {
      this.#bySocket.delete(socket);
    } else {
      this.#bySocket.set(socket, others);
    }
  }
}
