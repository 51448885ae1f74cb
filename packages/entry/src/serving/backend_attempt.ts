/** Sends a request once to a backend server and reads the response. */

import type { Clock } from "@limpetford/core/time/clock";
import { computeSpanMs } from "@limpetford/core/time/time_span";

import type { AttemptOutcome, AttemptSample } from "../ports/server_router.ts";
import type { ContainedExceptions } from "../telemetry/contained_exceptions.ts";
import { buildAttemptGuard, buildAttemptHandler } from "./attempt_handler.ts";
import type {
  AttemptFailure,
  AttemptListener,
  ReceivedHead,
} from "./attempt_listener.ts";
import {
  type AttemptDenial,
  type AttemptRequest,
  findDenial,
  findResponseOwner,
  RESPONSE_OWNER,
} from "./attempt_message.ts";
import type { BackendConnection, ConnectionUse } from "./backend_connection.ts";
import { EarlierCopies } from "./earlier_copies.ts";
import { PendingBody } from "./pending_body.ts";
import type { ReadFlowOptions } from "./read_flow.ts";
import {
  checkResponseFraming,
  computeMaxResponseBytes,
  hasUnknownCoding,
} from "./response_framing.ts";
import { decideStatusClass, STATUS_CLASS } from "./response_status.ts";
import type { StepGuard } from "./step_guard.ts";
import { UnsizedBody } from "./unsized_body.ts";

/** Dependencies of a {@link BackendAttempt}. */
export interface BackendAttemptOptions extends ReadFlowOptions {
  readonly listener: AttemptListener;
  /** Receives what the attempt's steps throw; not reported if absent. */
  readonly exceptions?: ContainedExceptions | undefined;
}

/**
 * Sends a request once over its own connection and reports the response to a
 * listener. The connection returns to the pool only after a complete response.
 */
export class BackendAttempt {
  readonly request: AttemptRequest;
  readonly #connection: BackendConnection;
  readonly #options: BackendAttemptOptions;
  readonly #clock: Clock;
  readonly #listener: AttemptListener;
  readonly #guard: StepGuard;
  readonly #connectionUse: ConnectionUse;
  readonly #copies = new EarlierCopies();
  #startedAtMs = 0;
  #sentAtMs: number | undefined;
  #firstByteAtMs: number | undefined;
  #responseBytes = 0;
  #bytesReadBefore = 0;
  #hasHead = false;
  /** Set if the response ends with its connection. */
  #unsizedBody: UnsizedBody | undefined;
  readonly #pending = new PendingBody();
  #isFlushScheduled = false;
  #hasEnded = false;
  #isFinished = false;
  #denial: AttemptDenial | undefined;
  #isSuccess = false;
  #isConnectionKept = true;

  /**
   * Prepares an attempt; nothing is sent before {@link start}.
   *
   * @param request - HTTP request to send
   * @param connection - connection that no other request uses
   * @param options - listener, clock for the measurements, and event loop
   */
  constructor(
    request: AttemptRequest,
    connection: BackendConnection,
    options: BackendAttemptOptions,
  ) {
    this.request = request;
    this.#options = options;
    this.#connection = connection;
    this.#clock = options.clock;
    this.#listener = options.listener;
    this.#guard = buildAttemptGuard(options.exceptions, () => {
      this.#reportBreak();
    });
    this.#connectionUse = connection.describeUse();
  }

  /**
   * Whether a byte of the request may have been sent.
   *
   * @returns false if the backend server certainly did not run it
   */
  get mayHaveRun(): boolean {
    return this.#sentAtMs !== undefined;
  }

  /**
   * Whether the attempt has ended.
   *
   * @returns true after a complete response, a failure or a cancellation
   */
  get isFinished(): boolean {
    return this.#isFinished;
  }

  /** Sends the request. */
  start(): void {
    this.#startedAtMs = this.#clock.readMonotonicMs();
    const { method, target: path, headers, body = null } = this.request;
    this.#guard.run(() => {
      this.#connection.client.dispatch(
        { method, path, headers, body, idempotent: false, blocking: true },
        buildAttemptHandler(this, this.#guard),
      );
    });
  }

  /**
   * Destroys the connection and reports the failure to the listener.
   *
   * @param outcome - reason to report
   */
  cancel(outcome: "cancelled" | "timed-out"): void {
    this.#reportFailure({ outcome, isMalformed: false });
  }

  /** Closes the connection after this response instead of keeping it. */
  dropConnection(): void {
    this.#isConnectionKept = false;
  }

  /** Continues a response that the listener has paused. */
  resume(): void {
    if (!this.#isFinished) {
      this.#unsizedBody?.observeResume();
      this.#connection.resumeReading();
    }
  }

  /**
   * Measures the attempt up to now.
   *
   * @param outcome - how the attempt ended
   * @returns durations and size for the router's statistics
   */
  measureSample(outcome: AttemptOutcome): AttemptSample {
    return {
      outcome,
      firstByteMs: computeSpanMs(this.#sentAtMs, this.#firstByteAtMs),
      totalMs: this.#clock.readMonotonicMs() - this.#startedAtMs,
      sentAfterMs: computeSpanMs(this.#startedAtMs, this.#sentAtMs),
      wasConnectionReused: this.#connectionUse.requestsBefore > 0,
      answerBytes: this.#responseBytes,
      unreadMs: this.#unsizedBody?.unreadMs,
      wasSent: this.mayHaveRun,
      connection: { ...this.#connectionUse, copies: this.#copies.count },
    };
  }

  /** Called before the HTTP client sends, unless this ends the attempt. */
  handleRequestStart(): void {
    if (this.#isFinished) {
      return;
    }
    if (this.#copies.hasAny) {
      this.#connection.dropWrites();
      return;
    }
    if (this.#sentAtMs !== undefined) {
      // The HTTP client lost its socket and is about to send the request again.
      this.#reportFailure({
        outcome: "reset-before-first-byte",
        isMalformed: false,
      });
      return;
    }
    this.#denial = findDenial(this.request);
    if (this.#denial !== undefined) {
      this.#reportFailure({ outcome: "cancelled", isMalformed: false });
      return;
    }
    this.#bytesReadBefore = this.#connection.bytesRead;
    this.#connection.observeProgress();
    this.#connection.dataListener = this.#guard.bind(() => {
      this.#checkFraming();
    });
    this.#sentAtMs = this.#clock.readMonotonicMs();
  }

  /**
   * Called by the HTTP client with the head of a response.
   *
   * @param received - status line and headers
   */
  handleResponseStart(received: ReceivedHead): void {
    const { status, headers } = received;
    const statusClass = decideStatusClass(status);
    if (this.#isFinished || statusClass === STATUS_CLASS.interim) {
      return;
    }
    this.#firstByteAtMs = this.#clock.readMonotonicMs();
    this.#connection.observeProgress();
    const { request } = this;
    const { answered } = this.#connection;
    const owner = findResponseOwner(request.identity, received, answered);
    if (owner === RESPONSE_OWNER.earlier) {
      this.#copies.begin();
      return;
    }
    this.#isSuccess = statusClass === STATUS_CLASS.success;
    if (!checkResponseFraming(request.method, status, headers)) {
      const sentAtMs = this.#sentAtMs ?? this.#startedAtMs;
      const options = { ...this.#options, sentAtMs, guard: this.#guard };
      this.#unsizedBody = new UnsizedBody(this.#connection, request, options);
    }
    const isDelimited = !hasUnknownCoding(headers) &&
      (this.#unsizedBody === undefined || request.mayEndWithConnection);
    const head = { status, headers };
    const isNamed = this.#connection.checkNamed(request.identity, head);
    const isProven = !this.#isSuccess || request.isProven(head);
    if (
      owner === RESPONSE_OWNER.other || statusClass === STATUS_CLASS.unknown ||
      !isDelimited || !isProven || !isNamed || this.#hasHead
    ) {
      this.#reportFailure({ outcome: "cut", isMalformed: true });
      return;
    }
    this.#hasHead = true;
    this.#listener.receiveHead(this, head);
  }

  /**
   * Called by the HTTP client with a chunk of the body.
   *
   * @param chunk - bytes received
   */
  handleChunk(chunk: Buffer): void {
    if (this.#isFinished) {
      return;
    }
    this.#connection.observeProgress();
    if (this.#copies.isReceiving) {
      this.#copies.drop(chunk);
      return;
    }
    this.#responseBytes += chunk.length;
    if (this.#unsizedBody?.observe(chunk) === false) {
      this.#reportFailure({ outcome: "cut", isMalformed: true });
      return;
    }
    const previous = this.#pending.add(chunk);
    this.#scheduleFlush();
    this.#deliver(previous);
  }

  /** Called by the HTTP client at the end of the response. */
  handleEnd(): void {
    if (this.#isFinished) {
      return;
    }
    if (this.#copies.isReceiving) {
      this.#completeCopy();
      return;
    }
    this.#hasEnded = true;
    this.#unsizedBody?.observeEnd();
    this.#scheduleFlush();
  }

  /** Called by the HTTP client for a broken connection or invalid response. */
  handleError(): void {
    if (!this.#hasEnded) {
      this.#reportBreak();
    }
  }

  #reportBreak(): void {
    const outcome = this.#sentAtMs === undefined
      ? "connect-failed"
      : this.#findBreak();
    this.#reportFailure({ outcome, isMalformed: false });
  }

  // The parser has no limit for the status line, blank lines before it, the
  // number of informational responses, and chunk extensions.
  #checkFraming(): void {
    const read = this.#connection.bytesRead - this.#bytesReadBefore;
    const bodyBytes = this.#responseBytes + this.#copies.bytes;
    const maxBytes = computeMaxResponseBytes(bodyBytes);
    if (read > maxBytes || this.#connection.hasExcess) {
      this.#reportFailure({ outcome: this.#findBreak(), isMalformed: true });
    }
  }

  #findBreak(): "cut" | "reset-before-first-byte" {
    return this.#hasHead ? "cut" : "reset-before-first-byte";
  }

  // The last chunk is held back until the next iteration of the event loop. By
  // then the parser has rejected bytes that follow the end of the response in
  // the same packet, which make the response invalid.
  #scheduleFlush(): void {
    if (!this.#isFlushScheduled) {
      this.#isFlushScheduled = true;
      setImmediate(this.#guard.bind(() => {
        this.#flush();
      }));
    }
  }

  #flush(): void {
    this.#isFlushScheduled = false;
    if (this.#isFinished) {
      return;
    }
    if (!this.#hasEnded) {
      this.#deliver(this.#pending.take());
    } else if (this.#connection.hasUnsolicitedBytes()) {
      this.#reportFailure({ outcome: "cut", isMalformed: true });
    } else if (this.#connection.hasUnparsedBytes()) {
      this.#connection.resumeReading();
      this.#scheduleFlush();
    } else if (this.#unsizedBody?.isCut(this.#isSuccess) === true) {
      this.#reportFailure({ outcome: "cut", isMalformed: false });
    } else {
      this.#complete();
    }
  }

  #complete(): void {
    const verified = this.#unsizedBody?.verifyServer();
    if (verified !== undefined) {
      verified.then(() => {
        this.#flush();
      }).catch((error: unknown) => {
        this.#guard.handle(error);
      });
      return;
    }
    this.#markFinished();
    this.#guard.offer(() => {
      this.#releaseConnection();
    });
    this.#listener.receiveEnd(this, this.#pending.take());
  }

  // The response to this attempt follows. If it were asked for earlier, the HTTP client
  // would have two requests to tell of a broken connection, and fail between them.
  #completeCopy(): void {
    const handler = buildAttemptHandler(this, this.#guard);
    if (!this.#copies.complete() || !this.#connection.receiveNext(handler)) {
      this.#reportFailure({ outcome: "cut", isMalformed: true });
    }
  }

  #releaseConnection(): void {
    if (this.#isConnectionKept && !this.#copies.hasAny) {
      this.#connection.release(
        this.request.identity.id,
        this.#clock.readMonotonicMs(),
      );
    } else {
      this.#connection.abort();
    }
  }

  #markFinished(): void {
    this.#isFinished = true;
    this.#connection.dataListener = undefined;
    this.#unsizedBody?.close();
  }

  #deliver(chunk: Buffer | undefined): void {
    if (chunk !== undefined && !this.#listener.receiveChunk(this, chunk)) {
      this.#unsizedBody?.observeHold();
      this.#connection.stopReading();
    }
  }

  #reportFailure(
    failure: Pick<AttemptFailure, "outcome" | "isMalformed">,
  ): void {
    if (this.#isFinished) {
      return;
    }
    this.#markFinished();
    this.#connection.abort();
    this.#listener.receiveFailure(this, {
      ...failure,
      mayHaveRun: this.mayHaveRun,
      denial: this.#denial,
    });
  }
}
