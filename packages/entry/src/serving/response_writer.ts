/** Writes a response to a caller. */

import type { ServerResponse } from "node:http";
import { TLSSocket } from "node:tls";

import { resetSocket } from "../http/reset_socket.ts";

/**
 * Writes one response to a caller. A response that cannot be completed ends in
 * a broken connection, so that the caller does not take it for complete.
 */
export class ResponseWriter {
  readonly #response: ServerResponse;
  #drainListener: (() => void) | undefined;
  #isWaitingForDrain = false;

  /**
   * Wraps a response whose headers have not been sent.
   *
   * @param response - response of Node's HTTP server
   */
  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /**
   * Whether status and headers have been sent.
   *
   * @returns true if the status can no longer be changed
   */
  get hasSentHeaders(): boolean {
    return this.#response.headersSent;
  }

  /**
   * Sends status and headers.
   *
   * @param status - HTTP status
   * @param headers - alternating names and values
   */
  writeHeaders(status: number, headers: string[]): void {
    this.#response.writeHead(status, headers);
  }

  /**
   * Sends a chunk of the body.
   *
   * @param chunk - bytes to send
   * @returns false if the write buffer is full; continue when the drain
   * listener is called
   */
  write(chunk: Uint8Array): boolean {
    if (this.#response.destroyed || this.#response.write(chunk)) {
      return true;
    }
    if (!this.#isWaitingForDrain) {
      this.#isWaitingForDrain = true;
      this.#response.once("drain", () => {
        this.#isWaitingForDrain = false;
        this.#drainListener?.();
      });
    }
    return false;
  }

  /**
   * Ends a complete response.
   *
   * @param last - last chunk of the body, if any
   */
  complete(last: Uint8Array | undefined): void {
    if (last === undefined) {
      this.#response.end();
    } else {
      this.#response.end(last);
    }
  }

  /** Breaks the connection, so that the caller detects the truncation. */
  abort(): void {
    const socket = this.#response.socket;
    if (socket === null || socket instanceof TLSSocket) {
      // A TLS connection that closes without a close_notify alert is known to
      // be truncated.
      this.#response.destroy();
    } else {
      resetSocket(socket);
    }
  }

  /**
   * Sets the callback for the moment when the write buffer has drained.
   *
   * @param listener - replaces the previous callback
   */
  setDrainListener(listener: () => void): void {
    this.#drainListener = listener;
  }
}
