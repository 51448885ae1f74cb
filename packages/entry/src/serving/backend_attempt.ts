/** One sending of a request over one connection. */

import type { Readable } from "node:stream";

import type { Clock } from "@limpetford/core/time/clock";
import type { Dispatcher } from "undici";

import type { AttemptOutcome, AttemptSample } from "../ports/server_router.ts";
import { checkAnswerFraming } from "./answer_framing.ts";
import type { BackendConnection } from "./backend_connections.ts";

/** Head of an answer as it came. */
export interface ResponseHead {
  readonly status: number;
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Why an attempt gave no whole answer. */
export interface AttemptFailure {
  readonly outcome: Exclude<AttemptOutcome, "served" | "failed" | "shed">;
  /** False if certainly no byte of the request left this VM. */
  readonly mayHaveRun: boolean;
  /** True if an answer came, but not one that can be trusted. */
  readonly isMalformed: boolean;
  /** True if the claim did not allow the dispatch. */
  readonly isWithheld: boolean;
}

/** Receives what an attempt yields. After an end or a failure nothing follows. */
export abstract class AttemptListener {
  /** Receives the head of a final answer. */
  abstract receiveHead(attempt: BackendAttempt, head: ResponseHead): void;
  /**
   * Receives a part of the body.
   *
   * @returns false to be sent no more until `resume`
   */
  abstract receiveChunk(attempt: BackendAttempt, chunk: Buffer): boolean;
  /** Receives the last part of the body, if any, and the end of a whole answer. */
  abstract receiveEnd(attempt: BackendAttempt, last: Buffer | undefined): void;
  /** Receives the failure that ends the attempt. */
  abstract receiveFailure(
    attempt: BackendAttempt,
    failure: AttemptFailure,
  ): void;
}

/** What an attempt sends. */
export interface AttemptRequest {
  readonly method: string;
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer | Readable | undefined;
  /** Checks that an answer's headers name this attempt, if they name any. */
  readonly isResponseToAttempt: (headers: ResponseHead["headers"]) => boolean;
  /** True if an answer without a length may end with its connection. */
  readonly mayEndWithConnection: boolean;
  /** Asked immediately before the first byte; undefined to allow. */
  readonly mayDispatch: (() => boolean) | undefined;
}

/**
 * Sends a request once and tells a listener what comes back. The connection is
 * reused only after a whole answer.
 */
export class BackendAttempt {
  readonly request: AttemptRequest;
  readonly #connection: BackendConnection;
  readonly #clock: Clock;
  readonly #listener: AttemptListener;
  readonly #wasConnectionReused: boolean;
  #controller: Dispatcher.DispatchController | undefined;
  #startedAtMs = 0;
  #sentAtMs: number | undefined;
  #firstByteAtMs: number | undefined;
  #answerBytes = 0;
  #hasHead = false;
  #isFramed = true;
  #heldChunk: Buffer | undefined;
  #isTurnScheduled = false;
  #hasEnded = false;
  #isFinished = false;
  #isWithheld = false;

  /**
   * Prepares an attempt.
   *
   * @param request - what to send
   * @param connection - a connection that no other request uses
   * @param options - clock and listener
   */
  constructor(
    request: AttemptRequest,
    connection: BackendConnection,
    options: { readonly clock: Clock; readonly listener: AttemptListener },
  ) {
    this.request = request;
    this.#connection = connection;
    this.#clock = options.clock;
    this.#listener = options.listener;
    this.#wasConnectionReused = connection.servedCount > 0;
  }

  /**
   * True if a byte of the request may have left this VM.
   *
   * @returns the current value
   */
  get mayHaveRun(): boolean {
    return this.#sentAtMs !== undefined;
  }

  /**
   * True after a whole answer, a failure or a cancellation.
   *
   * @returns the current value
   */
  get isFinished(): boolean {
    return this.#isFinished;
  }

  /** Sends the request. */
  start(): void {
    this.#startedAtMs = this.#clock.readMonotonicMs();
    const { method, target, headers, body } = this.request;
    try {
      this.#connection.client.dispatch(
        {
          method,
          path: target,
          headers,
          body: body ?? null,
          idempotent: false,
          blocking: true,
        },
        createHandler(this),
      );
    } catch {
      this.handleError();
    }
  }

  /**
   * Gives up: destroys the connection and tells the listener.
   *
   * @param outcome - why
   */
  cancel(outcome: "cancelled" | "timed-out"): void {
    this.#reportFailure({ outcome, isMalformed: false });
  }

  /** Lets chunks come again. */
  resume(): void {
    if (!this.#isFinished) {
      this.#controller?.resume();
    }
  }

  /**
   * Measures the attempt.
   *
   * @param outcome - how it ended
   * @returns what the router learns from it
   */
  measureSample(outcome: AttemptOutcome): AttemptSample {
    const firstByteMs =
      this.#firstByteAtMs === undefined || this.#sentAtMs === undefined
        ? undefined
        : this.#firstByteAtMs - this.#sentAtMs;
    return {
      outcome,
      firstByteMs,
      totalMs: this.#clock.readMonotonicMs() - this.#startedAtMs,
      wasConnectionReused: this.#wasConnectionReused,
      answerBytes: this.#answerBytes,
    };
  }

  /**
   * Handles the moment before the first byte.
   *
   * @param controller - controls the exchange
   */
  handleRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#isFinished) {
      controller.abort(new Error("attempt is over"));
      return;
    }
    if (this.#sentAtMs !== undefined) {
      // The client lost its socket and would send a second time.
      this.#reportFailure({
        outcome: "reset-before-first-byte",
        isMalformed: false,
      });
      controller.abort(new Error("request was sent before"));
      return;
    }
    if (this.request.mayDispatch?.() === false) {
      this.#isWithheld = true;
      this.#reportFailure({ outcome: "cancelled", isMalformed: false });
      controller.abort(new Error("claim does not allow dispatch"));
      return;
    }
    this.#controller = controller;
    this.#sentAtMs = this.#clock.readMonotonicMs();
  }

  /**
   * Handles the head of an answer.
   *
   * @param status - HTTP status
   * @param headers - names in lower case with their values
   */
  handleResponseStart(status: number, headers: ResponseHead["headers"]): void {
    if (this.#isFinished || status < 200) {
      return;
    }
    this.#firstByteAtMs = this.#clock.readMonotonicMs();
    const isOwn = this.request.isResponseToAttempt(headers);
    this.#isFramed = checkAnswerFraming(this.request.method, status, headers);
    const hasFraming = this.#isFramed || this.request.mayEndWithConnection;
    if (!isOwn || !hasFraming || this.#hasHead) {
      this.#reportFailure({ outcome: "cut", isMalformed: true });
      return;
    }
    this.#hasHead = true;
    this.#listener.receiveHead(this, { status, headers });
  }

  /**
   * Handles a part of the body.
   *
   * @param chunk - the bytes
   */
  handleChunk(chunk: Buffer): void {
    if (this.#isFinished) {
      return;
    }
    this.#answerBytes += chunk.length;
    const before = this.#heldChunk;
    this.#heldChunk = chunk;
    this.#scheduleTurn();
    if (before !== undefined) {
      this.#deliver(before);
    }
  }

  /** Handles the end of a whole answer. */
  handleEnd(): void {
    if (this.#isFinished) {
      return;
    }
    this.#hasEnded = true;
    this.#scheduleTurn();
  }

  /** Handles a broken connection or a malformed answer. */
  handleError(): void {
    if (this.#hasEnded) {
      return;
    }
    if (this.#hasHead) {
      this.#reportFailure({ outcome: "cut", isMalformed: false });
    } else if (this.#sentAtMs === undefined) {
      this.#reportFailure({ outcome: "connect-failed", isMalformed: false });
    } else {
      this.#reportFailure({
        outcome: "reset-before-first-byte",
        isMalformed: false,
      });
    }
  }

  // The last part waits until the loop's next turn: by then bytes that follow
  // the end in the same packet have shown the answer to be malformed.
  #scheduleTurn(): void {
    if (!this.#isTurnScheduled) {
      this.#isTurnScheduled = true;
      setImmediate(() => {
        this.#handleTurn();
      });
    }
  }

  #handleTurn(): void {
    this.#isTurnScheduled = false;
    if (this.#isFinished) {
      return;
    }
    const held = this.#heldChunk;
    this.#heldChunk = undefined;
    if (!this.#hasEnded) {
      if (held !== undefined) {
        this.#deliver(held);
      }
    } else if (this.#connection.hasStrayBytes()) {
      this.#reportFailure({ outcome: "cut", isMalformed: true });
    } else if (!this.#isFramed && this.#connection.hasBroken()) {
      this.#reportFailure({ outcome: "cut", isMalformed: false });
    } else {
      this.#isFinished = true;
      this.#connection.release(this.#clock.readMonotonicMs());
      this.#listener.receiveEnd(this, held);
    }
  }

  #deliver(chunk: Buffer): void {
    if (!this.#listener.receiveChunk(this, chunk)) {
      this.#controller?.pause();
    }
  }

  #reportFailure(
    failure: Pick<AttemptFailure, "outcome" | "isMalformed">,
  ): void {
    if (this.#isFinished) {
      return;
    }
    this.#isFinished = true;
    this.#connection.abort();
    this.#listener.receiveFailure(this, {
      ...failure,
      mayHaveRun: this.mayHaveRun,
      isWithheld: this.#isWithheld,
    });
  }
}

function createHandler(attempt: BackendAttempt): Dispatcher.DispatchHandler {
  return {
    onRequestStart(controller) {
      attempt.handleRequestStart(controller);
    },
    onResponseStart(_controller, status, headers) {
      attempt.handleResponseStart(status, headers);
    },
    onResponseData(_controller, chunk) {
      attempt.handleChunk(chunk);
    },
    onResponseEnd() {
      attempt.handleEnd();
    },
    onResponseError() {
      attempt.handleError();
    },
  };
}
