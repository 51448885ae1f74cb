/** A peer VM whose replies are odd. */

import * as net from "node:net";

import { generateLoopbackHost } from "@limpetford/peer/fakes/loopback_host";

import { SYNC_MESSAGE } from "../platform/odd_input_templates.ts";
import { VM_PORTS } from "./vm_ports.ts";

/**
 * Encodes a call of a VM.
 *
 * @param path - path of the call
 * @param body - its message as bytes
 * @returns the request as bytes
 */
export function encodeCall(path: string, body: Buffer): Buffer {
  const head =
    `POST ${path} HTTP/1.1\r\ncontent-length: ${body.length}\r\n\r\n`;
  return Buffer.concat([Buffer.from(head), body]);
}

/** Listens as a VM of its own and answers each call with chosen bytes. */
export class OddPeer {
  /** Bytes that answer each call. */
  reply: Buffer = Buffer.alloc(0);
  callCount = 0;
  readonly #host = generateLoopbackHost();
  readonly #server = net.createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      this.callCount += 1;
      socket.end(this.reply);
    });
  });

  /**
   * Call with which it introduces itself as a leader of another zone.
   *
   * @returns the request as bytes
   */
  get introduction(): Buffer {
    const record = {
      ...SYNC_MESSAGE.record,
      zone: "zone-odd",
      callerAddress: { host: this.#host, port: VM_PORTS.caller },
      peerAddress: { host: this.#host, port: VM_PORTS.peer },
    };
    const sound = {
      ...SYNC_MESSAGE,
      echo: undefined,
      vms: undefined,
      record,
      servers: { ...SYNC_MESSAGE.servers, changes: [], isComplete: false },
      reach: [],
      suspicions: { ...SYNC_MESSAGE.suspicions, rows: [] },
      report: { evidence: [], loads: [], demand: [] },
      serverLimits: [],
    };
    return encodeCall("/exchange", Buffer.from(JSON.stringify(sound)));
  }

  /** Starts to listen on the peer port of a host of its own. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(VM_PORTS.peer, this.#host, resolve);
    });
  }

  /** Stops listening. */
  stop(): void {
    this.#server.close();
  }
}
