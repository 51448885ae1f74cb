/** Decides whether a body that ends with its connection is whole. */

import type { AttemptRequest } from "./attempt_message.ts";
import type { BackendConnection } from "./backend_connection.ts";
import { SecondResponseDetector } from "./second_response_detector.ts";

/**
 * A body without a length. Its end is the end of its connection, which says little:
 * this class collects what else shows that the server has not sent all of it.
 */
export class UnsizedBody {
  readonly #connection: BackendConnection;
  readonly #request: AttemptRequest;
  readonly #detector: SecondResponseDetector;
  #hasBytes = false;
  #wasReset = false;
  #isVerified = false;

  /**
   * Creates a body of which nothing has been read.
   *
   * @param connection - connection that brings it
   * @param request - request of the attempt
   */
  constructor(connection: BackendConnection, request: AttemptRequest) {
    this.#connection = connection;
    this.#request = request;
    const { identity, isProven } = request;
    const ids = [identity.id, ...connection.answeredIds];
    this.#detector = new SecondResponseDetector((head) => {
      const id = identity.readId(head.headers);
      return id === undefined ? isProven(head) : ids.includes(id);
    });
  }

  /**
   * Observes the next bytes.
   *
   * @param chunk - bytes received
   * @returns false if a second response follows in them
   */
  observe(chunk: Buffer): boolean {
    this.#hasBytes ||= chunk.length > 0;
    return !this.#detector.observe(chunk);
  }

  /** Observes the end of the connection, as soon as it is reported. */
  observeEnd(): void {
    this.#wasReset = !this.#connection.hasPeer();
  }

  /**
   * Checks for signs that the body was cut.
   *
   * @param isSuccess - true for the body of a success
   * @returns true for a reset, for a server that has ended, and for a success
   * without a body, which would have a length
   */
  isCut(isSuccess: boolean): boolean {
    return this.#wasReset || this.#connection.hasBeenReset() ||
      (isSuccess && !this.#hasBytes);
  }

  /**
   * Verifies once that the server has not ended, which cuts what it was sending.
   *
   * @returns resolves with the result; undefined if there is nothing to verify
   */
  verifyServer(): Promise<void> | undefined {
    const { verifyServer } = this.#request;
    if (verifyServer === undefined || this.#isVerified) {
      return undefined;
    }
    this.#isVerified = true;
    return verifyServer().then((isRunning) => {
      this.#wasReset ||= !isRunning;
    });
  }
}
