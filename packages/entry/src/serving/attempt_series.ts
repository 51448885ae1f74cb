/** Sends one request in one or more attempts: retries and a hedged request. */

import type { ServerId } from "@limpetford/domain/ids";

import { hasExpired } from "../ports/request_context.ts";
import type { Placement, PlacementRequest } from "../ports/server_router.ts";
import { EXCEPTION_SOURCE } from "../telemetry/contained_exceptions.ts";
import { AttemptCounter } from "./attempt_counter.ts";
import {
  type AttemptFailure,
  AttemptListener,
  type ResponseHead,
} from "./attempt_listener.ts";
import { ATTEMPT_DENIAL } from "./attempt_message.ts";
import type { BackendAttempt } from "./backend_attempt.ts";
import { buildBufferedReceiver } from "./buffering_receiver.ts";
import {
  buildRefusal,
  findUnusedCause,
  mapFailure,
  mergeCauses,
  type RefusalCause,
} from "./failure_refusals.ts";
import { GuardedListener } from "./guarded_listener.ts";
import {
  acquireSlot,
  LazySlotRequest,
  SeriesSlotFields,
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
  RunningAttempts,
  type UnusedAttempt,
} from "./running_attempts.ts";
import { completeAttempt, openAttempt, returnSlot } from "./series_attempt.ts";
import type { ServingPorts } from "./serving_ports.ts";
import { StepGuard } from "./step_guard.ts";

/**
 * Sends a request until one attempt gives the response or no further attempt is
 * allowed. The first accepted response wins; the other attempts are cancelled.
 */
export class AttemptSeries extends AttemptListener {
  readonly #ports: ServingPorts;
  readonly #dependencies: SeriesDependencies;
  readonly #request: OutboundRequest;
  readonly #receiver: ResponseReceiver;
  readonly #running = new RunningAttempts();
  readonly #tried: ServerId[] = [];
  readonly #attempts: AttemptCounter;
  readonly #slotFields: SeriesSlotFields;
  readonly #guard: StepGuard;
  readonly #listener: GuardedListener;
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
    this.#dependencies = dependencies;
    this.#attempts = new AttemptCounter(request.context.terms);
    this.#request = request;
    this.#slotFields = new SeriesSlotFields(request.computeFingerprint);
    this.#guard = new StepGuard({
      exceptions: this.#ports.exceptions,
      source: EXCEPTION_SOURCE.caller,
      abort: () => {
        this.#cancelFailed();
      },
    });
    this.#listener = new GuardedListener(this, this.#guard);
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
    this.#guard.run(() => this.#winner?.resume());
  }

  override receiveHead(attempt: BackendAttempt, head: ResponseHead): void {
    const running = this.#running.find(attempt);
    if (running === undefined) {
      return;
    }
    const { isForwarded } = running.placement;
    const classified = this.#dependencies.dialect.readResponse(
      head,
      isForwarded,
    );
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
    completeAttempt(running, sample, this.#guard);
    if (attempt === this.#winner) {
      this.#isFinished = true;
      this.#slotFields.hasEnded = true;
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
    completeAttempt(running, sample, this.#guard);
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
    const isNotRun = !failure.mayHaveRun;
    if (
      failure.denial === ATTEMPT_DENIAL.dispatch ||
      !this.#mayAnotherFollow(attempt, { running, sample, isNotRun })
    ) {
      this.#refuse(this.#lastCause);
    }
  }

  async #acquireSlot(isHedge: boolean): Promise<void> {
    const { context } = this.#request;
    const request = new LazySlotRequest(this.#slotFields, context, {
      tried: [...this.#tried],
      attempt: this.#attempts.started + 1,
      isHedge,
    });
    this.#pendingPlacements += 1;
    const verdict = await acquireSlot(this.#ports, request);
    if (verdict.kind === "placed") {
      this.#dependencies.arrivals.runOnceRead(() => {
        this.#pendingPlacements -= 1;
        this.#guard.run(() => {
          this.#dispatch(request, verdict.placement);
        });
      });
      return;
    }
    this.#pendingPlacements -= 1;
    if (!this.#isFinished && this.#winner === undefined) {
      this.#guard.run(() => {
        this.#refuseUnlessRunning(mergeCauses(this.#lastCause, verdict));
      });
    }
  }

  #dispatch(request: PlacementRequest, placement: Placement): void {
    if (hasExpired(this.#request.context, this.#ports.clock)) {
      this.expire();
    }
    if (this.#isFinished || this.#winner !== undefined) {
      returnSlot(placement, this.#guard);
      return;
    }
    const attempt = this.#openAttempt(request, placement);
    this.#tried.push(placement.server.id);
    attempt.start();
    if (placement.isForwarded !== true) {
      this.#scheduleHedge(request);
    }
  }

  #openAttempt(
    request: PlacementRequest,
    placement: Placement,
  ): BackendAttempt {
    const { sent } = this.#attempts;
    this.#attempts.recordStart();
    const { attempt, span } = openAttempt(placement, {
      dependencies: this.#dependencies,
      request: this.#request,
      listener: this.#listener,
      guard: this.#guard,
      number: this.#attempts.started,
      sent,
    });
    const { record } = this.#request;
    this.#running.add(attempt, { placement, request, span, record });
    return attempt;
  }

  #scheduleHedge(request: PlacementRequest): void {
    if (
      this.#hasHedged || this.#isFinished || !this.#request.isRetryable ||
      !this.#running.isSingle()
    ) {
      return;
    }
    const { router } = this.#ports;
    const hedgeMs = this.#guard.offer(() => router.planHedgeMs(request));
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

  #abortAll(outcome: "cancelled" | "timed-out", kind: RefusalKind): void {
    if (this.#isFinished) {
      return;
    }
    this.#guard.run(() => {
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
    });
  }

  #markFinished(): void {
    this.#isFinished = true;
    clearTimeout(this.#timer);
    this.#slotFields.abort();
  }

  #cancelFailed(): void {
    // What was known of the attempts may have been lost with the exception.
    this.#mayHaveRun ||= this.#tried.length > 0;
    this.#guard.run(() => {
      this.#markFinished();
      this.#running.cancelAll("cancelled");
    });
    this.#dependencies.abort(
      buildRefusal({ kind: "vm-busy" }, this.#mayHaveRun),
    );
  }
}
