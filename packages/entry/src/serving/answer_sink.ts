/** Where an answer goes. */

import type { ServerResponse } from "node:http";
import { TLSSocket } from "node:tls";

import { resetSocket } from "../http/reset_socket.ts";

/**
 * Writes one answer to a caller: whole, or visibly broken.
 */
export class AnswerSink {
  readonly #response: ServerResponse;
  #drainListener: (() => void) | undefined;

  /**
   * Wraps a response.
   *
   * @param response - the response, with no head sent
   */
  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /**
   * True once a head has been sent.
   *
   * @returns the current value
   */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  /**
   * Sends the head.
   *
   * @param status - HTTP status
   * @param headers - names and values in turn
   */
  begin(status: number, headers: string[]): void {
    this.#response.writeHead(status, headers);
  }

  /**
   * Sends a part of the body.
   *
   * @param chunk - the bytes
   * @returns false if the caller is slow; wait for the drain listener
   */
  write(chunk: Uint8Array): boolean {
    if (this.#response.destroyed || this.#response.write(chunk)) {
      return true;
    }
    this.#response.once("drain", () => {
      this.#drainListener?.();
    });
    return false;
  }

  /**
   * Ends a whole answer.
   *
   * @param last - last part of the body, if any
   */
  complete(last: Uint8Array | undefined): void {
    if (last === undefined) {
      this.#response.end();
    } else {
      this.#response.end(last);
    }
  }

  /** Breaks the connection so that the caller sees that the answer is cut. */
  abort(): void {
    const socket = this.#response.socket;
    if (socket === null || socket instanceof TLSSocket) {
      // Without a closing alert, TLS shows the cut by itself.
      this.#response.destroy();
    } else {
      resetSocket(socket);
    }
  }

  /**
   * Sets what to call when the caller takes more bytes.
   *
   * @param listener - the callback; replaces the one before
   */
  setDrainListener(listener: () => void): void {
    this.#drainListener = listener;
  }
}
