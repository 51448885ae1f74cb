/** Checks whether a backend server accepts connections. */

import * as net from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";

import { resetSocket } from "../http/reset_socket.ts";

/** Time without an answer after which a connect attempt is given up. */
const CONNECT_PROBE_TIMEOUT_MS = 250;

/** Result of an attempt to connect. */
export type ConnectResult =
  /** The server accepted the connection, so its process is running. */
  | "accepted"
  /** Nothing listens at the address: the process has ended. */
  | "refused"
  /** No answer: the server is dark, frozen or cut off from this VM. */
  | "unanswered";

/** Attempts to connect to backend servers. */
export abstract class ConnectProbe {
  /**
   * Opens a connection and closes it at once.
   *
   * @param address - address of the server
   * @returns the result; never rejects
   */
  abstract probe(address: SocketAddress): Promise<ConnectResult>;
}

/** Connects over TCP and sends nothing. */
export class TcpConnectProbe extends ConnectProbe {
  override async probe(
    { host, port }: SocketAddress,
  ): Promise<ConnectResult> {
    const socket = net.connect({ host, port });
    return await new Promise((resolve) => {
      // A loop that was held up handles what has arrived meanwhile first.
      const timer = setTimeout(() => {
        setImmediate(() => {
          complete("unanswered");
        });
      }, CONNECT_PROBE_TIMEOUT_MS);
      function complete(result: ConnectResult): void {
        clearTimeout(timer);
        resetSocket(socket);
        resolve(result);
      }
      socket.on("connect", () => {
        complete("accepted");
      });
      socket.on("error", (error: NodeJS.ErrnoException) => {
        complete(error.code === "ECONNREFUSED" ? "refused" : "unanswered");
      });
    });
  }
}
