/** A spare connection that ends with the process of a backend server. */

import * as net from "node:net";

import type { Clock } from "@limpetford/core/time/clock";
import type { SocketAddress } from "@limpetford/domain/vm";

import { resetSocket } from "../http/reset_socket.ts";

/** Sends nothing and drops what it receives. It is always read. */
export class ServerWitness {
  readonly #socket: net.Socket;
  #connectedAtMs = Infinity;
  #isOpen = true;

  /**
   * Connects to a server.
   *
   * @param address - address of the server
   * @param clock - tells when the connection was made
   */
  constructor({ host, port }: SocketAddress, clock: Clock) {
    this.#socket = net.connect({ host, port });
    this.#socket.on("connect", () => {
      this.#connectedAtMs = clock.readMonotonicMs();
    });
    this.#socket.on("error", () => undefined);
    this.#socket.on("end", () => {
      this.#isOpen = false;
    });
    this.#socket.on("close", () => {
      this.#isOpen = false;
    });
    this.#socket.resume();
  }

  /**
   * Checks whether the connection was made before some moment and has not ended.
   *
   * @param beforeMs - monotonic time, in milliseconds
   * @returns true if the process that accepted it still runs
   */
  hasBeenOpenSince(beforeMs: number): boolean {
    return this.#isOpen && this.#connectedAtMs < beforeMs;
  }

  /** Ends the connection. */
  close(): void {
    resetSocket(this.#socket);
  }
}
