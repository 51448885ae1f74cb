/** Connects to the VM's own address for callers. */

import * as net from "node:net";
import type { Duplex } from "node:stream";

import type { Clock } from "@limpetford/core/time/clock";
import type { SocketAddress } from "@limpetford/domain/vm";

import { QueueProbe } from "./queue_probe.ts";

/** Connects over TCP and sends nothing. */
export class TcpQueueProbe extends QueueProbe {
  readonly #socket: net.Socket;
  #queuedAtMs: number | undefined;

  /**
   * Begins to connect.
   *
   * @param address - address at which this VM accepts callers
   * @param clock - tells when the connection was made
   */
  constructor({ host, port }: SocketAddress, clock: Clock) {
    super();
    this.#socket = net.connect({ host, port });
    this.#socket.unref();
    this.#socket.on("connect", () => {
      this.#queuedAtMs = clock.readMonotonicMs();
    });
    this.#socket.on("error", () => {
      this.#socket.destroy();
    });
    this.#socket.resume();
  }

  override get queuedAtMs(): number | undefined {
    return this.#queuedAtMs;
  }

  override get isClosed(): boolean {
    return this.#socket.destroyed;
  }

  override isOtherEnd(socket: Duplex): boolean {
    const { localAddress, localPort } = this.#socket;
    // A server that listens with IPv6 may see IPv4 addresses with a prefix.
    return socket instanceof net.Socket && localAddress !== undefined &&
      socket.remotePort === localPort &&
      socket.remoteAddress?.endsWith(localAddress) === true;
  }

  override close(): void {
    this.#socket.destroy();
  }
}

/**
 * Connects to a server of this process.
 *
 * @param server - server for callers
 * @param clock - tells when the connection was made
 * @returns the probe; undefined while the server does not listen
 */
export function connectQueueProbe(
  server: net.Server,
  clock: Clock,
): QueueProbe | undefined {
  const address = server.address();
  return address === null || typeof address === "string"
    ? undefined
    : new TcpQueueProbe({ host: address.address, port: address.port }, clock);
}
