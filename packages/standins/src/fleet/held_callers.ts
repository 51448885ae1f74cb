/** Callers that keep many requests open at one VM. */

import * as net from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";

const STATUS_PATTERN = /^HTTP\/1\.1 (\d+) /;
const RETRY_AFTER_PATTERN = /\r\nretry-after: /i;
/** Connections that are opened before the event loop turns. */
const BATCH_SIZE = 50;

/** A request that is kept open. */
export interface HeldRequest {
  readonly id: string;
  readonly path: string;
  readonly key: string;
  readonly body: string;
  /** Time that the request allows, in milliseconds. */
  readonly timeLeftMs: number;
  /** True if the caller reads nothing until it is told to. */
  readonly isSlow: boolean;
}

/** One caller with a connection of its own. */
export class HeldCaller {
  readonly request: HeldRequest;
  readonly #socket: net.Socket;
  readonly #sentAtMs = Date.now();
  #head = "";
  #answeredAtMs: number | undefined;
  #receivedBytes = 0;
  #isClosed = false;
  /** Resolves when the head of an answer was read, or the connection is closed. */
  readonly answered: Promise<void>;
  #resolveAnswered: () => void = () => undefined;

  /**
   * Connects and sends the request.
   *
   * @param address - caller address of a VM
   * @param request - what to send
   */
  constructor(address: SocketAddress, request: HeldRequest) {
    this.request = request;
    this.answered = new Promise((resolve) => {
      this.#resolveAnswered = resolve;
    });
    const socket = net.connect(address.port, address.host);
    this.#socket = socket;
    socket.write(buildText(request));
    socket.on("error", () => undefined);
    socket.on("close", () => {
      this.#isClosed = true;
      this.#resolveAnswered();
    });
    if (request.isSlow) {
      socket.pause();
    } else {
      this.read();
    }
  }

  /**
   * Status of the answer.
   *
   * @returns undefined until it has been read
   */
  get status(): number | undefined {
    const status = STATUS_PATTERN.exec(this.#head)?.[1];
    return status === undefined ? undefined : Number(status);
  }

  /**
   * Whether the answer says when to come back.
   *
   * @returns true if it has such a header
   */
  get hasRetryAfter(): boolean {
    return RETRY_AFTER_PATTERN.test(this.#head);
  }

  /**
   * Time from sending the request to the first byte of its answer.
   *
   * @returns milliseconds; undefined until the answer has begun to be read
   */
  get answeredAfterMs(): number | undefined {
    return this.#answeredAtMs === undefined
      ? undefined
      : this.#answeredAtMs - this.#sentAtMs;
  }

  /**
   * Bytes that were read so far, with the head of the answer.
   *
   * @returns number of bytes
   */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /**
   * Whether the connection is closed.
   *
   * @returns true if nothing more will be read
   */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Reads from now on what the VM sends. */
  read(): void {
    this.#socket.on("data", (chunk: Buffer) => {
      this.#answeredAtMs ??= Date.now();
      this.#receivedBytes += chunk.length;
      if (!this.#head.includes("\r\n\r\n")) {
        this.#head += chunk.toString("latin1");
      }
      if (this.#head.includes("\r\n\r\n")) {
        this.#resolveAnswered();
      }
    });
    this.#socket.resume();
  }

  /** Closes the connection. */
  close(): void {
    this.#socket.destroy();
  }
}

/**
 * Sends many requests at once, each on a connection of its own.
 *
 * @param address - caller address of a VM
 * @param requests - what to send
 * @returns the callers, in the order of the requests
 */
export async function openHeldCallers(
  address: SocketAddress,
  requests: readonly HeldRequest[],
): Promise<readonly HeldCaller[]> {
  const callers: HeldCaller[] = [];
  for (const request of requests) {
    callers.push(new HeldCaller(address, request));
    if (callers.length % BATCH_SIZE === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
  return callers;
}

function buildText(request: HeldRequest): string {
  const { id, path, key, body, timeLeftMs } = request;
  return `${body === "" ? "GET" : "POST"} ${path} HTTP/1.1\r\n` +
    "host: bands.example\r\n" +
    `${PROTOCOL_HEADER.requestId}: ${id}\r\n` +
    `${PROTOCOL_HEADER.timeLeftMs}: ${timeLeftMs}\r\n` +
    `${PROTOCOL_HEADER.callerKey}: ${key}\r\n` +
    `content-length: ${body.length}\r\n\r\n${body}`;
}
