/** A link between two processes that can be broken. */

import * as net from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";
import { resetSocket } from "@limpetford/entry/http/reset_socket";

/** How a link misbehaves. */
export const LINK_FAULT = {
  none: "none",
  /** Breaks what is open and whatever is opened. */
  cut: "cut",
  /** Passes nothing on, in either direction. */
  stalled: "stalled",
  /** Passes on what is asked and no answer. */
  oneWay: "one-way",
} as const;
/** How a link misbehaves. */
export type LinkFault = typeof LINK_FAULT[keyof typeof LINK_FAULT];

interface ProxiedPair {
  readonly near: net.Socket;
  readonly far: net.Socket;
}

/** Passes TCP connections on, and breaks them on demand. */
export class LoopbackProxy {
  readonly #target: SocketAddress;
  readonly #pairs = new Set<ProxiedPair>();
  readonly #server = net.createServer((near) => {
    this.#connect(near);
  });
  #fault: LinkFault = LINK_FAULT.none;

  /**
   * Prepares a link.
   *
   * @param target - where connections go
   */
  constructor(target: SocketAddress) {
    this.#target = target;
  }

  /**
   * Starts to listen.
   *
   * @returns the address to use in place of the target's
   */
  async start(): Promise<SocketAddress> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = this.#server.address() as net.AddressInfo;
    return { host: "127.0.0.1", port };
  }

  /** Stops listening and cuts all connections. */
  async stop(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#clearPairs();
    await closed;
  }

  /**
   * Breaks or mends the link.
   *
   * @param fault - how it misbehaves from now on
   */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    if (fault === LINK_FAULT.cut) {
      this.#clearPairs();
    }
    for (const pair of this.#pairs) {
      this.#applyFault(pair);
    }
  }

  #connect(near: net.Socket): void {
    if (this.#fault === LINK_FAULT.cut) {
      resetSocket(near);
      return;
    }
    const far = net.connect(this.#target);
    const pair = { near, far };
    this.#pairs.add(pair);
    near.pipe(far);
    far.pipe(near);
    this.#passEnd(pair, near, far);
    this.#passEnd(pair, far, near);
    this.#applyFault(pair);
  }

  // A reset on one side must not look like an orderly end on the other.
  #passEnd(pair: ProxiedPair, from: net.Socket, to: net.Socket): void {
    from.on("error", () => {
      resetSocket(to);
    });
    from.on("close", () => {
      this.#pairs.delete(pair);
      to.destroySoon();
    });
  }

  #applyFault({ near, far }: ProxiedPair): void {
    const isStalled = this.#fault === LINK_FAULT.stalled;
    setPaused(near, isStalled);
    setPaused(far, isStalled || this.#fault === LINK_FAULT.oneWay);
  }

  #clearPairs(): void {
    for (const { near, far } of this.#pairs) {
      resetSocket(near);
      resetSocket(far);
    }
    this.#pairs.clear();
  }
}

function setPaused(socket: net.Socket, isPaused: boolean): void {
  if (isPaused) {
    socket.pause();
  } else {
    socket.resume();
  }
}
