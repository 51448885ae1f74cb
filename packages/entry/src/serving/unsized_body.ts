/** Decides whether a body that ends with its connection is whole. */

import type { Clock } from "@limpetford/core/time/clock";

import type { AttemptRequest } from "./attempt_message.ts";
import type { BackendConnection } from "./backend_connection.ts";
import { SecondResponseDetector } from "./second_response_detector.ts";
import { UnreadTime, type UnreadTimeOptions } from "./unread_time.ts";

/**
 * A body without a length. Its end is the end of its connection, which says little:
 * this class collects what else shows that the server has not sent all of it.
 */
export class UnsizedBody {
  readonly #connection: BackendConnection;
  readonly #request: AttemptRequest;
  readonly #detector: SecondResponseDetector;
  readonly #unreadTime: UnreadTime;
  readonly #clock: Clock;
  #maxUnreadMs = 0;
  #hasBytes = false;
  #wasReset = false;
  #isVerified = false;

  /**
   * Creates a body of which nothing has been read.
   *
   * @param connection - connection that brings it
   * @param request - request of the attempt
   * @param options - clock, and delay of the event loop
   */
  constructor(
    connection: BackendConnection,
    request: AttemptRequest,
    options: UnreadTimeOptions,
  ) {
    this.#connection = connection;
    this.#clock = options.clock;
    this.#unreadTime = new UnreadTime(options);
    this.#unreadTime.observeRead();
    this.#request = request;
    const { identity, isProven } = request;
    const ids = [identity.id, ...connection.answeredIds];
    this.#detector = new SecondResponseDetector((head) => {
      const id = identity.readId(head.headers);
      return id === undefined ? isProven(head) : ids.includes(id);
    });
  }

  /**
   * Longest time for which the end may have lain unread.
   *
   * @returns milliseconds; 0 if the reads had caught up, or before the end
   */
  get maxUnreadMs(): number {
    return this.#maxUnreadMs;
  }

  /** Observes that reads are held back from now on. */
  observeHold(): void {
    this.#unreadTime.observeHold();
  }

  /** Observes that reads go on. */
  observeResume(): void {
    this.#unreadTime.observeResume();
  }

  /**
   * Observes the next bytes.
   *
   * @param chunk - bytes received
   * @returns false if a second response follows in them
   */
  observe(chunk: Buffer): boolean {
    this.#unreadTime.observeRead();
    this.#hasBytes ||= chunk.length > 0;
    return !this.#detector.observe(chunk);
  }

  /** Observes the end of the connection, as soon as it is reported. */
  observeEnd(): void {
    this.#unreadTime.observeRead();
    const nowMs = this.#clock.readMonotonicMs();
    this.#maxUnreadMs = nowMs - (this.#unreadTime.behindSinceMs ?? nowMs);
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
