/** Load, speed and failure estimates that one VM keeps of a backend server. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { VmId } from "@limpetford/domain/ids";
import { SERVER_STATE } from "@limpetford/domain/service";

import {
  EVIDENCE,
  type Evidence,
  GrayFailureEstimator,
} from "./gray_failure_estimator.ts";

/** Weight of a new sample in the moving average of the speed factor. */
const SPEED_SMOOTHING = 0.3;
/** Time constant with which the speed factor decays to 1 without samples. */
const SPEED_DECAY_MS = 5_000;
/** Longer samples count as this multiple of the expected time. */
const MAX_SPEED_FACTOR = 20;
/** Prior probability that the link to a healthy server has failed. */
const LINK_FAILURE_PRIOR = 0.02;
/** Time for which a server that shed a request gets no other. */
const SHED_PAUSE_MS = 150;
/**
 * Time after a pause within which a server counts as unproven, since it may shed
 * again.
 */
const UNPROVEN_MS = 1_000;

/** Multiple of the expected time after which a running request is overdue. */
const OVERDUE_FACTOR = 1.5;
/** No request is overdue sooner. */
const MIN_OVERDUE_MS = 200;

/** An attempt that is running at the server. */
export interface RunningRequest {
  /** Monotonic time of dispatch, in milliseconds. */
  readonly startedAtMs: number;
  /** Expected service time, in milliseconds. */
  readonly expectedMs: number;
}

/**
 * Tracks the load, the speed and the failure probability of one server. The
 * failure estimate of the server is fed by other VMs too; the estimate of the
 * network link is local to this VM.
 */
export class TrackedServer {
  announced: AnnouncedServer;
  readonly #estimator: GrayFailureEstimator;
  readonly #linkEstimator: GrayFailureEstimator;
  readonly #running = new Set<RunningRequest>();
  readonly #loadByVm = new Map<VmId, number>();
  #warmedUpAtMs: number;
  #speedFactor = 1;
  #speedAtMs: number;
  /** True if it has shed the last request that it was sent. */
  #hasShed = false;
  /** True if it has named a pause and answered no request since. */
  #hasNamedPause = false;
  /** The first request after the pause, until it has ended or is accepted. */
  #trial: RunningRequest | undefined;
  #pausedUntilMs = 0;
  #nextTokenAtMs = 0;
  #sentAtMs: number;

  /**
   * Starts with the prior probabilities of failure and no load.
   *
   * @param announced - the server's latest announcement
   * @param grayShare - share of the service's servers in gray failure, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   */
  constructor(announced: AnnouncedServer, grayShare: number, nowMs: number) {
    this.announced = announced;
    this.#estimator = new GrayFailureEstimator(grayShare, nowMs);
    this.#linkEstimator = new GrayFailureEstimator(LINK_FAILURE_PRIOR, nowMs);
    this.#speedAtMs = nowMs;
    this.#sentAtMs = nowMs;
    this.#warmedUpAtMs = nowMs + announced.warmUpLeftMs;
  }

  /**
   * Requests in flight at the server from all VMs.
   *
   * @returns this VM's requests plus the counts that other VMs last reported
   */
  get load(): number {
    let load = this.#running.size;
    for (const count of this.#loadByVm.values()) {
      load += count;
    }
    return load;
  }

  /**
   * Requests in flight at the server from this VM.
   *
   * @returns the number of requests
   */
  get ownLoad(): number {
    return this.#running.size;
  }

  /**
   * Monotonic time of the latest request outcome that counted for the server.
   *
   * @returns milliseconds; the time of creation before the first outcome
   */
  get lastEvidenceAtMs(): number {
    return this.#estimator.lastEvidenceAtMs;
  }

  /**
   * Monotonic time of the latest request that is known, from any VM.
   *
   * @returns milliseconds; the time of creation before the first request
   */
  get lastUsedAtMs(): number {
    return Math.max(this.#sentAtMs, this.lastEvidenceAtMs);
  }

  /**
   * Checks whether an announcement is of the same start of the server.
   *
   * @param announced - announcement of a server with the same identifier
   * @returns false if the server has restarted or moved
   */
  isSameStart({ startedAtMs, address }: AnnouncedServer): boolean {
    const known = this.announced;
    return known.startedAtMs === startedAtMs &&
      known.address.host === address.host &&
      known.address.port === address.port;
  }

  /**
   * Checks whether the server accepts new requests.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns false if it is leaving, has just shed a request, or names a rate
   * limit that leaves no token
   */
  isAvailable(nowMs: number): boolean {
    return nowMs >= this.availableAtMs && nowMs >= this.#nextTokenAtMs;
  }

  /**
   * Time from which the server takes requests, but for its rate limit.
   *
   * @returns monotonic time; infinite if it is leaving
   */
  get availableAtMs(): number {
    return this.announced.state === SERVER_STATE.active
      ? this.#pausedUntilMs
      : Infinity;
  }

  /**
   * Checks whether the known load leaves a slot free.
   *
   * @returns true if fewer requests are in flight than the server has slots
   */
  hasFreeSlot(): boolean {
    return this.load < this.announced.slots;
  }

  /**
   * Checks whether the server is in its announced warm-up period.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns true while it is expected to be slow after its start
   */
  isWarmingUp(nowMs: number): boolean {
    return nowMs < this.#warmedUpAtMs;
  }

  /**
   * Adds a request to the load of this VM.
   *
   * @param request - the request that was dispatched
   */
  addRunning(request: RunningRequest): void {
    this.#running.add(request);
    this.#sentAtMs = request.startedAtMs;
    if (this.#hasNamedPause) {
      this.#trial ??= request;
    }
  }

  /**
   * Removes a request from the load of this VM.
   *
   * @param request - the same object that was added
   */
  removeRunning(request: RunningRequest): void {
    this.#running.delete(request);
    if (this.#trial === request) {
      this.#trial = undefined;
    }
  }

  /**
   * Checks whether a request of this VM should have been answered by now.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns true if one runs for longer than expected
   */
  hasOverdue(nowMs: number): boolean {
    for (const { startedAtMs, expectedMs } of this.#running) {
      const dueMs = Math.max(MIN_OVERDUE_MS, expectedMs * OVERDUE_FACTOR);
      if (nowMs - startedAtMs > dueMs) {
        return true;
      }
    }
    return false;
  }

  /**
   * Replaces the load that another VM reports.
   *
   * @param vm - the other VM
   * @param count - its requests in flight at this server
   */
  setPeerLoad(vm: VmId, count: number): void {
    if (count === 0) {
      this.#loadByVm.delete(vm);
    } else {
      this.#loadByVm.set(vm, count);
    }
  }

  /**
   * Updates the failure estimates with the outcome of a request. A success also
   * shows that the link works.
   *
   * @param evidence - success or failure
   * @param grayShare - share of the service's servers in gray failure, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   */
  recordEvidence(evidence: Evidence, grayShare: number, nowMs: number): void {
    this.#estimator.recordEvidence(evidence, grayShare, nowMs);
    if (evidence === EVIDENCE.success) {
      this.#linkEstimator.recordEvidence(evidence, LINK_FAILURE_PRIOR, nowMs);
    }
  }

  /**
   * Updates the estimate of the link alone with a failure.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  recordLinkFailure(nowMs: number): void {
    this.#linkEstimator.recordEvidence(
      EVIDENCE.failure,
      LINK_FAILURE_PRIOR,
      nowMs,
    );
  }

  /**
   * Updates the speed factor with the duration of a served request.
   *
   * @param factor - its duration as a multiple of the expected time
   * @param nowMs - monotonic time, in milliseconds
   */
  recordSpeed(factor: number, nowMs: number): void {
    const before = this.estimateSpeedFactor(nowMs);
    const sample = Math.min(factor, MAX_SPEED_FACTOR);
    this.#speedFactor = before + SPEED_SMOOTHING * (sample - before);
    this.#speedAtMs = nowMs;
  }

  /**
   * Pauses the server after it shed a request.
   *
   * @param nowMs - monotonic time, in milliseconds
   */
  recordShed(nowMs: number): void {
    this.#hasShed = true;
    this.#updatePause(nowMs + SHED_PAUSE_MS);
  }

  /**
   * Checks whether the server has shed the last request that it answered, and may
   * do so again.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns false some time after its pause, also without an answer
   */
  isUnproven(nowMs: number): boolean {
    return this.#hasShed && nowMs < this.#pausedUntilMs + UNPROVEN_MS;
  }

  /**
   * Checks whether the first request after a pause that the server named is still
   * under way. It should get no other until then, however long that takes: this VM
   * may have been frozen with the response unread.
   *
   * @returns false once that request has ended or is accepted
   */
  isOnTrial(): boolean {
    return this.#trial !== undefined;
  }

  /**
   * Records that the head of a response has come that asks for no pause. The rest
   * of the response may take long.
   *
   * @param request - the same object that was added
   */
  recordAccepted(request: RunningRequest): void {
    if (this.#trial === request) {
      this.#completeTrial();
    }
  }

  /** Records that the server has answered a request, if only with an error. */
  recordAnswered(): void {
    this.#hasShed = false;
    this.#completeTrial();
  }

  /**
   * Pauses the server as it asked for. A longer pause that was recorded before
   * stays.
   *
   * @param untilMs - monotonic time before which it gets no request; 0 for none
   */
  setPausedUntil(untilMs: number): void {
    this.#hasNamedPause ||= untilMs > 0;
    this.#updatePause(untilMs);
  }

  /**
   * Sets the time before which a server that names a rate limit gets no request.
   *
   * @param atMs - monotonic time of the next token
   */
  setNextTokenAt(atMs: number): void {
    this.#nextTokenAtMs = atMs;
  }

  /**
   * Estimates how slow the server is. A running request that is overdue raises
   * the estimate before it ends.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns multiple of the expected service time; 1 is ordinary speed
   */
  estimateSpeedFactor(nowMs: number): number {
    const decay = Math.exp(-(nowMs - this.#speedAtMs) / SPEED_DECAY_MS);
    let factor = 1 + (this.#speedFactor - 1) * decay;
    for (const { startedAtMs, expectedMs } of this.#running) {
      factor = Math.max(factor, (nowMs - startedAtMs) / expectedMs);
    }
    return factor;
  }

  /**
   * Estimates the probability that the server is in gray failure.
   *
   * @param grayShare - share of the service's servers in gray failure, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   * @returns a probability from 0 to 1
   */
  estimateGrayProbability(grayShare: number, nowMs: number): number {
    return this.#estimator.estimateGrayProbability(grayShare, nowMs);
  }

  /**
   * Estimates the probability that this VM's next request to the server fails,
   * at the server or on the link.
   *
   * @param grayShare - share of the service's servers in gray failure, 0 to 1
   * @param nowMs - monotonic time, in milliseconds
   * @returns a probability from 0 to 1
   */
  estimateFailureProbability(grayShare: number, nowMs: number): number {
    const server = this.#estimator.estimateFailureProbability(grayShare, nowMs);
    const link = this.#linkEstimator.estimateFailureProbability(
      LINK_FAILURE_PRIOR,
      nowMs,
    );
    return 1 - (1 - server) * (1 - link);
  }

  #completeTrial(): void {
    this.#trial = undefined;
    this.#hasNamedPause = false;
  }

  #updatePause(untilMs: number): void {
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, untilMs);
  }
}
