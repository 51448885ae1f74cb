/** Decides whether a body that ends with its connection is whole. */

import type { Clock } from "@limpetford/core/time/clock";

import type { AttemptRequest } from "./attempt_message.ts";
import type { BackendConnection } from "./backend_connection.ts";
import { ReadFlow, type ReadFlowOptions } from "./read_flow.ts";
import { SecondResponseDetector } from "./second_response_detector.ts";
import { ServerWitness } from "./server_witness.ts";
import type { StepGuard } from "./step_guard.ts";

/** Shortest time in which a server's process ends and another one listens. */
const MIN_RESTART_MS = 500;
/** Time that reads follow one another after which another connection is made. */
const WITNESS_DELAY_MS = 100;
/** Time in which the ends of all connections of a process arrive. */
const SETTLE_MS = 50;

/** Dependencies of an {@link UnsizedBody}. */
export interface UnsizedBodyOptions extends ReadFlowOptions {
  /** Monotonic time at which the request was sent, in milliseconds. */
  readonly sentAtMs: number;
  /** Runs the steps that the body takes at a time of its own. */
  readonly guard: StepGuard;
}

/**
 * A body without a length. Its end is the end of its connection, which says little:
 * this class collects what else shows that the server has not sent all of it.
 */
export class UnsizedBody {
  readonly #connection: BackendConnection;
  readonly #request: AttemptRequest;
  readonly #detector: SecondResponseDetector;
  readonly #reads: ReadFlow;
  readonly #clock: Clock;
  readonly #guard: StepGuard;
  #witness: ServerWitness | undefined;
  #witnessTimer: NodeJS.Timeout | undefined;
  #unreadMs = 0;
  /** Earliest time at which the connection may have ended. */
  #endedAfterMs = Infinity;
  #hasBytes = false;
  #wasReset = false;
  #isVerified = false;

  /**
   * Creates a body of which nothing has been read.
   *
   * @param connection - connection that brings it
   * @param request - request of the attempt
   * @param options - clock, delay of the event loop, and start of the attempt
   */
  constructor(
    connection: BackendConnection,
    request: AttemptRequest,
    options: UnsizedBodyOptions,
  ) {
    this.#connection = connection;
    this.#clock = options.clock;
    this.#guard = options.guard;
    this.#reads = new ReadFlow(options.sentAtMs, options);
    this.#reads.observeRead();
    this.#request = request;
    const { identity, isProven } = request;
    const { answered } = connection;
    this.#detector = new SecondResponseDetector((head) => {
      const id = identity.readId(head.headers);
      return (id !== undefined && (id === identity.id || answered.has(id))) ||
        isProven(head);
    });
  }

  /**
   * Longest time for which the end may have been on its way or unread.
   *
   * @returns milliseconds; 0 before the end
   */
  get unreadMs(): number {
    return this.#unreadMs;
  }

  /** Observes that reads are held back from now on. */
  observeHold(): void {
    this.#reads.observeHold();
    this.#scheduleWitness();
  }

  /** Observes that reads go on. */
  observeResume(): void {
    this.#reads.observeResume();
  }

  /**
   * Observes the next bytes.
   *
   * @param chunk - bytes received
   * @returns false if a second response follows in them
   */
  observe(chunk: Buffer): boolean {
    this.#reads.observeRead();
    this.#scheduleWitness();
    this.#hasBytes ||= chunk.length > 0;
    return !this.#detector.observe(chunk);
  }

  /** Observes the end of the connection, as soon as it is reported. */
  observeEnd(): void {
    this.#reads.observeRead();
    this.#unreadMs = this.#reads.durationMs;
    this.#endedAfterMs = this.#clock.readMonotonicMs() - this.#unreadMs;
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
    return this.#hasRunOn(verifyServer).then((hasRunOn) => {
      this.#wasReset ||= !hasRunOn;
    });
  }

  /** Ends what was opened beside the body's own connection. */
  close(): void {
    clearTimeout(this.#witnessTimer);
    this.#witness?.close();
  }

  // A server that listens now may have ended and started again since the end of the
  // body arrived. An older connection that is still open then shows that it has not.
  async #hasRunOn(verifyServer: () => Promise<boolean>): Promise<boolean> {
    const restartedAfterMs = this.#endedAfterMs + MIN_RESTART_MS;
    const isListening = await verifyServer();
    const nowMs = this.#clock.readMonotonicMs();
    if (isListening && nowMs < restartedAfterMs) {
      return true;
    }
    if (!isListening && this.#hasConnectionSince(restartedAfterMs)) {
      await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    }
    return this.#hasConnectionSince(restartedAfterMs);
  }

  #hasConnectionSince(beforeMs: number): boolean {
    return this.#witness?.hasBeenOpenSince(beforeMs) === true ||
      this.#connection.hasIdleSiblingSince(beforeMs);
  }

  // A body that ends soon needs no witness.
  #scheduleWitness(): void {
    if (this.#request.verifyServer !== undefined && !this.#witness) {
      this.#witnessTimer ??= setTimeout(() => {
        this.#witness = this.#guard.offer(() =>
          new ServerWitness(this.#connection.target, this.#clock)
        );
      }, WITNESS_DELAY_MS);
    }
  }
}
