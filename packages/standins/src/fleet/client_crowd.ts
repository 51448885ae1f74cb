/** Callers without any limit: they send without end and read nothing. */

import * as net from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";

/** Connections that are opened before the event loop turns. */
const BATCH_SIZE = 10;
/** Time after which a connection that was closed is opened again. */
const REOPEN_MS = 100;

/** What one connection of a crowd sends. */
export interface CrowdBytes {
  /** Sent once, first; nothing by default. */
  readonly head?: string;
  /** Sent again and again, as long as it is taken; nothing by default. */
  readonly repeated?: string;
  /** How often it is sent at most; without end by default. */
  readonly maxRepeats?: number;
  /** Sent last, if the connection is one of those that end what they send. */
  readonly end?: string;
}

/** Many connections to one address that are never read; closed ones are opened again. */
export class ClientCrowd {
  readonly #sockets = new Set<net.Socket>();
  #isStopped = false;

  /**
   * Opens the connections, each of which begins to send at once.
   *
   * @param address - address of a VM
   * @param count - number of connections
   * @param buildBytes - builds what a connection sends, by its index
   */
  async start(
    address: SocketAddress,
    count: number,
    buildBytes: (index: number) => CrowdBytes,
  ): Promise<void> {
    this.#isStopped = false;
    for (let index = 0; index < count; index++) {
      this.#open(address, buildBytes(index));
      if (index % BATCH_SIZE === BATCH_SIZE - 1) {
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
  }

  /** Closes all connections for good. */
  stop(): void {
    this.#isStopped = true;
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #open(address: SocketAddress, bytes: CrowdBytes): void {
    const socket = openSending(address, bytes);
    this.#sockets.add(socket);
    socket.on("close", () => {
      this.#sockets.delete(socket);
      setTimeout(() => {
        if (!this.#isStopped) {
          this.#open(address, bytes);
        }
      }, REOPEN_MS);
    });
  }
}

function openSending(
  address: SocketAddress,
  { head = "", repeated = "", maxRepeats = Infinity, end = "" }: CrowdBytes,
): net.Socket {
  const socket = net.connect(address.port, address.host);
  const block = Buffer.from(repeated, "latin1");
  let sentCount = 0;
  const sendMore = (): void => {
    let isTaken = true;
    while (isTaken && sentCount < maxRepeats && block.length > 0) {
      sentCount += 1;
      isTaken = socket.write(block);
    }
    if (isTaken && sentCount === maxRepeats) {
      sentCount += 1;
      socket.write(end);
    }
  };
  socket.pause();
  socket.on("error", () => undefined);
  socket.on("drain", sendMore);
  socket.on("connect", () => {
    socket.write(head);
    sendMore();
  });
  return socket;
}
