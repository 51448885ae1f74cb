/** Sends one request in one or more attempts: retries and a hedged request. */

import type { ServerId } from "@limpetford/domain/ids";

import type { ServingDialect } from "../dialect/serving_dialect.ts";
import type {
  AttemptSample,
  Placement,
  PlacementRequest,
} from "../ports/server_router.ts";
import { openAttemptConnection } from "./attempt_connection.ts";
import { AttemptCounter } from "./attempt_counter.ts";
import {
  type AttemptFailure,
  AttemptListener,
  type ResponseHead,
} from "./attempt_listener.ts";
import { openAttemptSpan } from "./attempt_span.ts";
import { BackendAttempt } from "./backend_attempt.ts";
import { buildBufferedReceiver } from "./buffering_receiver.ts";
import {
  buildRefusal,
  findUnusedCause,
  mapFailure,
  mergeCauses,
  type RefusalCause,
} from "./failure_refusals.ts";
import {
  acquireSlot,
  LazySlotRequest,
  UNUSED_SAMPLE,
} from "./lazy_slot_request.ts";
import type { RefusalKind } from "./refusal.ts";
import {
  isReplayable,
  type OutboundRequest,
  type ResponseReceiver,
  type SeriesDependencies,
} from "./response_receiver.ts";
import {
  recordHead,
  type RunningAttempt,
  RunningAttempts,
  type UnusedAttempt,
} from "./running_attempts.ts";
import type { ServingPorts } from "./serving_ports.ts";

/**
 * Sends a request until one attempt gives the response or no further attempt is
 * allowed. The first accepted response wins; the other attempts are cancelled.
 */
export class AttemptSeries extends AttemptListener {
  readonly #ports: ServingPorts;
  readonly #dialect: ServingDialect;
  readonly #dependencies: SeriesDependencies;
  readonly #request: OutboundRequest;
  readonly #receiver: ResponseReceiver;
  readonly #running = new RunningAttempts();
  readonly #tried: ServerId[] = [];
  readonly #attempts: AttemptCounter;
  #abortController: AbortController | undefined;
  #fingerprint: string | undefined;
  #winner: BackendAttempt | undefined;
  #timer: NodeJS.Timeout | undefined;
  #pendingPlacements = 0;
  #lastCause: RefusalCause | undefined;
  #hasHedged = false;
  #isPaused = false;
  #mayHaveRun = false;
  #isFinished = false;

  /**
   * Prepares the attempts; nothing is sent before {@link start}.
   *
   * @param dependencies - ports, dialect and connection pool
   * @param request - outbound request
   * @param receiver - receives the response or the refusal
   */
  constructor(
    dependencies: SeriesDependencies,
    request: OutboundRequest,
    receiver: ResponseReceiver,
  ) {
    super();
    this.#ports = dependencies.ports;
    this.#dialect = dependencies.dialect;
    this.#dependencies = dependencies;
    this.#attempts = new AttemptCounter(request.context.terms);
    this.#request = request;
    this.#receiver = buildBufferedReceiver(receiver, dependencies);
  }

  /**
   * Whether a backend server may be running the request or may have run it.
   *
   * @returns false if no byte was sent, or every server stated that it did not
   * run
   */
  get hasDispatched(): boolean {
    return this.#mayHaveRun || this.#running.mayBeRunning();
  }

  /**
   * Signal that ends waiting requests for a slot.
   *
   * @returns signal that is aborted when the series has ended
   */
  get signal(): AbortSignal {
    this.#abortController ??= new AbortController();
    if (this.#isFinished) {
      this.#abortController.abort();
    }
    return this.#abortController.signal;
  }

  /**
   * Digest that is the same for identical requests; computed at first use.
   *
   * @returns SHA-256 in hexadecimal digits
   */
  get fingerprint(): string {
    this.#fingerprint ??= this.#request.computeFingerprint();
    return this.#fingerprint;
  }

  /** Starts the first attempt. */
  start(): void {
    void this.#acquireSlot(false);
  }

  /** Cancels all attempts because the caller has disconnected. */
  cancel(): void {
    this.#abortAll("cancelled", "answer-cut");
  }

  /** Cancels all attempts because the deadline has passed. */
  expire(): void {
    // A response that a slow caller has paused is not a timeout of the server.
    const outcome = this.#isPaused ? "cancelled" : "timed-out";
    this.#abortAll(outcome, "deadline-passed");
  }

  /** Cancels all attempts because this VM stops. */
  stop(): void {
    this.#abortAll("cancelled", "vm-stopping");
  }

  /** Continues a response that the receiver has paused. */
  resume(): void {
    this.#isPaused = false;
    this.#winner?.resume();
  }

  override receiveHead(attempt: BackendAttempt, head: ResponseHead): void {
    const running = this.#running.find(attempt);
    if (running === undefined) {
      return;
    }
    const { isForwarded } = running.placement;
    const classified = this.#dialect.readResponse(head, isForwarded);
    const { isNotRun, isFinal } = classified;
    recordHead(running, head.status, classified);
    if (!isNotRun) {
      this.#mayHaveRun = true;
    } else if (isForwarded === true) {
      this.#attempts.recordUnsent();
    }
    if (running.outcome !== "served" && isFinal !== true) {
      const sample = attempt.measureSample(running.outcome);
      if (this.#mayAnotherFollow(attempt, { running, sample, isNotRun })) {
        running.isDiscarded = true;
        this.#lastCause = { kind: isNotRun ? "overloaded" : "backend-failed" };
        return;
      }
    }
    const unusedCause = findUnusedCause(classified);
    if (unusedCause !== undefined) {
      running.isDiscarded = true;
      this.#refuse(unusedCause);
      return;
    }
    this.#winner = attempt;
    clearTimeout(this.#timer);
    this.#running.cancelOthers(attempt);
    this.#receiver.receiveHead(head);
  }

  override receiveChunk(attempt: BackendAttempt, chunk: Buffer): boolean {
    if (attempt === this.#winner) {
      this.#isPaused = !this.#receiver.receiveChunk(chunk);
      return !this.#isPaused;
    }
    this.#running.countDiscarded(attempt, chunk.length);
    return true;
  }

  override receiveEnd(
    attempt: BackendAttempt,
    last: Buffer | undefined,
  ): void {
    const running = this.#running.remove(attempt);
    if (running === undefined) {
      return;
    }
    const sample = attempt.measureSample(running.outcome);
    this.#completePlacement(running, sample);
    if (attempt === this.#winner) {
      this.#isFinished = true;
      this.#receiver.receiveEnd(last);
    }
  }

  override receiveFailure(
    attempt: BackendAttempt,
    failure: AttemptFailure,
  ): void {
    const running = this.#running.remove(attempt);
    if (running === undefined) {
      return;
    }
    const outcome = running.isDiscarded ? running.outcome : failure.outcome;
    const sample = attempt.measureSample(outcome);
    this.#completePlacement(running, sample);
    if (running.isDiscarded || this.#isFinished) {
      return;
    }
    if (attempt === this.#winner) {
      if (!this.#receiver.dropResponse()) {
        this.#markFinished();
        this.#receiver.receiveCut();
        return;
      }
      this.#winner = undefined;
    }
    if (failure.mayHaveRun) {
      this.#mayHaveRun = true;
    } else {
      this.#attempts.recordUnsent();
    }
    this.#lastCause = mapFailure(failure);
    if (failure.isDispatchDenied) {
      this.#refuse(this.#lastCause);
      return;
    }
    const isNotRun = !failure.mayHaveRun;
    if (!this.#mayAnotherFollow(attempt, { running, sample, isNotRun })) {
      this.#refuse(this.#lastCause);
    }
  }

  async #acquireSlot(isHedge: boolean): Promise<void> {
    const request = new LazySlotRequest(this, this.#request.context, {
      tried: [...this.#tried],
      attempt: this.#attempts.started + 1,
      isHedge,
    });
    this.#pendingPlacements += 1;
    const verdict = await acquireSlot(this.#ports.router, request);
    if (verdict.kind === "placed") {
      this.#dependencies.arrivals.runOnceRead(() => {
        this.#pendingPlacements -= 1;
        this.#dispatch(request, verdict.placement);
      });
      return;
    }
    this.#pendingPlacements -= 1;
    if (!this.#isFinished && this.#winner === undefined) {
      this.#refuseUnlessRunning(mergeCauses(this.#lastCause, verdict));
    }
  }

  #dispatch(request: PlacementRequest, placement: Placement): void {
    if (this.#isFinished || this.#winner !== undefined) {
      placement.complete(UNUSED_SAMPLE);
      return;
    }
    const isCounted = this.#attempts.started > 0;
    const { sent } = this.#attempts;
    this.#attempts.recordStart();
    this.#tried.push(placement.server.id);
    const span = openAttemptSpan(this.#ports, this.#request, placement);
    const message = this.#dialect.buildAttempt(this.#request, {
      number: this.#attempts.started,
      nowMs: this.#ports.clock.readMonotonicMs(),
      traceparent: span?.traceparent,
      server: placement.server.id,
      ...placement.isForwarded === true
        ? { forwarding: { attempts: sent, isCounted } }
        : {},
    });
    const attempt = new BackendAttempt(
      { ...message, verifyServer: placement.verifyServer },
      openAttemptConnection(this.#dependencies, placement),
      { clock: this.#ports.clock, loop: this.#ports.loop, listener: this },
    );
    this.#running.add(attempt, { placement, request, span });
    attempt.start();
    if (placement.isForwarded !== true) {
      this.#scheduleHedge(request);
    }
  }

  #scheduleHedge(request: PlacementRequest): void {
    if (
      this.#hasHedged || this.#isFinished || !this.#request.isRetryable ||
      !this.#running.isSingle()
    ) {
      return;
    }
    const hedgeMs = this.#ports.router.planHedgeMs(request);
    if (hedgeMs === undefined) {
      return;
    }
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      if (this.#winner === undefined && !this.#isFinished) {
        this.#hasHedged = true;
        void this.#acquireSlot(true);
      }
    }, hedgeMs);
  }

  // Another response may come from a running attempt, a pending placement or a
  // retry, which this call schedules.
  #mayAnotherFollow(attempt: BackendAttempt, failed: UnusedAttempt): boolean {
    return this.#running.hasViable(attempt) || this.#pendingPlacements > 0 ||
      this.#retry(failed);
  }

  #retry({ running, sample, isNotRun }: UnusedAttempt): boolean {
    const mayRetry = this.#request.isRetryable ||
      (isNotRun && !this.#mayHaveRun && isReplayable(this.#request));
    if (!mayRetry || !this.#attempts.hasLeft()) {
      return false;
    }
    const verdict = this.#ports.router.planRetry({
      request: running.request,
      sample,
      isCertainlyNotRun: isNotRun,
    });
    if (verdict.kind === "give-up") {
      return false;
    }
    this.#pendingPlacements += 1;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#pendingPlacements -= 1;
      if (!this.#isFinished && this.#winner === undefined) {
        void this.#acquireSlot(false);
      }
    }, verdict.delayMs);
    return true;
  }

  #refuseUnlessRunning(cause: RefusalCause): void {
    if (!this.#running.hasViable() && this.#pendingPlacements === 0) {
      this.#refuse(cause);
    }
  }

  #refuse(cause: RefusalCause): void {
    if (this.#isFinished) {
      return;
    }
    this.#markFinished();
    this.#receiver.receiveRefusal(buildRefusal(cause, this.#mayHaveRun));
  }

  #abortAll(
    outcome: "cancelled" | "timed-out",
    kind: RefusalKind,
  ): void {
    if (this.#isFinished) {
      return;
    }
    const hadWinner = this.#winner !== undefined &&
      !this.#receiver.dropResponse();
    this.#mayHaveRun ||= this.#running.mayBeRunning();
    this.#markFinished();
    this.#running.cancelAll(outcome);
    if (hadWinner) {
      this.#receiver.receiveCut();
    } else {
      this.#receiver.receiveRefusal(buildRefusal({ kind }, this.#mayHaveRun));
    }
  }

  #markFinished(): void {
    this.#isFinished = true;
    clearTimeout(this.#timer);
    this.#abortController?.abort();
  }

  #completePlacement(running: RunningAttempt, sample: AttemptSample): void {
    running.span?.close(running.status);
    this.#request.record.addAttempt(running.placement.server.id, sample);
    running.placement.complete(sample);
  }
}
