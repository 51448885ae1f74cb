/** TCP proxy on a loopback address that injects network faults. */

import * as net from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";
import { resetSocket } from "@limpetford/entry/http/reset_socket";
import { generateLoopbackHost } from "@limpetford/peer/fakes/loopback_host";

/** Network faults of a link. */
export const LINK_FAULT = {
  none: "none",
  /** Resets open connections, and new ones once accepted. */
  cut: "cut",
  /** Keeps connections open and forwards nothing, in either direction. */
  stalled: "stalled",
  /** Forwards bytes to the target, and nothing back. */
  oneWay: "one-way",
} as const;
/** One of the network faults in `LINK_FAULT`. */
export type LinkFault = typeof LINK_FAULT[keyof typeof LINK_FAULT];

interface ProxiedConnection {
  readonly downstream: net.Socket;
  readonly upstream: net.Socket;
}

/** Forwards TCP connections to a target and injects faults on demand. */
export class TcpFaultProxy {
  readonly #target: SocketAddress;
  readonly #connections = new Set<ProxiedConnection>();
  readonly #server = net.createServer((downstream) => {
    this.#connect(downstream);
  });
  #fault: LinkFault = LINK_FAULT.none;
  readonly #host = generateLoopbackHost();
  #port = 0;
  #isRefusing = false;
  #isStopped = false;

  /**
   * Creates a proxy that does not listen yet.
   *
   * @param target - address that connections are forwarded to
   */
  constructor(target: SocketAddress) {
    this.#target = target;
  }

  /**
   * Starts to listen on a host of its own, where nobody takes the port while it
   * refuses connections.
   *
   * @returns the address that clients use instead of the target's
   */
  async start(): Promise<SocketAddress> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, this.#host, resolve);
    });
    const { port } = this.#server.address() as net.AddressInfo;
    this.#port = port;
    return this.address;
  }

  /**
   * Address that the proxy listens on.
   *
   * @returns host and port; port 0 before `start`
   */
  get address(): SocketAddress {
    return { host: this.#host, port: this.#port };
  }

  /**
   * Refuses new connections and resets open ones, as a target that is down does,
   * or accepts connections again.
   *
   * @param isRefusing - true while the target is down
   */
  setRefusing(isRefusing: boolean): void {
    if (isRefusing === this.#isRefusing || this.#isStopped) {
      return;
    }
    this.#isRefusing = isRefusing;
    if (isRefusing) {
      this.#server.close();
      this.#resetConnections();
    } else {
      this.#server.listen(this.#port, this.#host);
    }
  }

  /** Refuses new connections, while open ones go on. */
  refuseNew(): void {
    if (!this.#isRefusing && !this.#isStopped) {
      this.#isRefusing = true;
      this.#server.close();
    }
  }

  /** Stops listening and resets all connections. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#resetConnections();
    await closed;
  }

  /**
   * Sets the fault of open and future connections.
   *
   * @param fault - fault to inject; `none` restores forwarding
   */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    if (fault === LINK_FAULT.cut) {
      this.#resetConnections();
    }
    for (const connection of this.#connections) {
      this.#applyFault(connection);
    }
  }

  #connect(downstream: net.Socket): void {
    if (this.#fault === LINK_FAULT.cut) {
      resetSocket(downstream);
      return;
    }
    const upstream = net.connect(this.#target);
    const connection = { downstream, upstream };
    this.#connections.add(connection);
    this.#forwardClose(connection, downstream, upstream);
    this.#forwardClose(connection, upstream, downstream);
    downstream.pipe(upstream);
    upstream.pipe(downstream);
    this.#applyFault(connection);
  }

  // Forwards a reset as a reset, so that the other side doesn't see an orderly
  // close.
  #forwardClose(
    connection: ProxiedConnection,
    from: net.Socket,
    to: net.Socket,
  ): void {
    from.on("error", () => {
      resetSocket(to);
    });
    // A reset that is read together with data is reported as an orderly end; the
    // connection then has no peer any more.
    from.on("end", () => {
      if (from.remoteAddress === undefined) {
        resetSocket(to);
      }
    });
    from.on("close", () => {
      this.#connections.delete(connection);
      to.destroySoon();
    });
  }

  #applyFault({ downstream, upstream }: ProxiedConnection): void {
    const isStalled = this.#fault === LINK_FAULT.stalled;
    setPaused(downstream, isStalled);
    setPaused(upstream, isStalled || this.#fault === LINK_FAULT.oneWay);
  }

  #resetConnections(): void {
    for (const { downstream, upstream } of this.#connections) {
      resetSocket(downstream);
      resetSocket(upstream);
    }
    this.#connections.clear();
  }
}

function setPaused(socket: net.Socket, isPaused: boolean): void {
  if (isPaused) {
    socket.pause();
  } else {
    socket.resume();
  }
}
