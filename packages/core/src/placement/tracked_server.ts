/** A backend server as the placement of one VM sees it. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { VmId } from "@limpetford/domain/ids";
import { SERVER_STATE } from "@limpetford/domain/service";

import {
  EVIDENCE,
  type Evidence,
  ServerBelief,
} from "./gray_failure_estimator.ts";

const SPEED_SMOOTHING = 0.3;
/** Time in which a slow server's factor falls back by a factor of e. */
const SPEED_FORGETTING_MS = 5_000;
const LARGEST_SPEED_FACTOR = 20;
/** Share of links that fail while the server is well. */
const LINK_FAILURE_SHARE = 0.02;
/** How long a server that refused load gets no request. */
const SHED_PAUSE_MS = 150;

/** A request that runs at the server. */
export interface RunningRequest {
  readonly startedAtMs: number;
  readonly expectedMs: number;
}

/**
 * Load, speed and beliefs of one server. The belief on the server is shared
 * with other VMs; the belief on the link to it is this VM's own.
 */
export class TrackedServer {
  announced: AnnouncedServer;
  readonly #belief: ServerBelief;
  readonly #linkBelief: ServerBelief;
  readonly #running = new Set<RunningRequest>();
  readonly #loadByVm = new Map<VmId, number>();
  #warmAtMs: number;
  #speedFactor = 1;
  #speedAtMs: number;
  #pausedUntilMs = 0;

  /**
   * Starts without evidence.
   *
   * @param announced - the server
   * @param grayShare - share of the service's servers that are gray
   * @param nowMs - monotonic time
   */
  constructor(announced: AnnouncedServer, grayShare: number, nowMs: number) {
    this.announced = announced;
    this.#belief = new ServerBelief(grayShare, nowMs);
    this.#linkBelief = new ServerBelief(LINK_FAILURE_SHARE, nowMs);
    this.#speedAtMs = nowMs;
    this.#warmAtMs = nowMs + announced.warmUpLeftMs;
  }

  /**
   * Requests that run there, as far as is known.
   *
   * @returns the current value
   */
  get load(): number {
    let load = this.#running.size;
    for (const count of this.#loadByVm.values()) {
      load += count;
    }
    return load;
  }

  /**
   * Requests that this VM has running there.
   *
   * @returns the current value
   */
  get ownLoad(): number {
    return this.#running.size;
  }

  /**
   * Monotonic time of the last evidence on the server, in milliseconds.
   *
   * @returns the current value
   */
  get lastEvidenceAtMs(): number {
    return this.#belief.lastEvidenceAtMs;
  }

  /**
   * Checks whether the server may get new requests at all.
   *
   * @param nowMs - monotonic time
   * @returns false if it leaves or has just refused load
   */
  isOpen(nowMs: number): boolean {
    return this.announced.state === SERVER_STATE.active &&
      nowMs >= this.#pausedUntilMs;
  }

  /**
   * Checks for a free slot.
   *
   * @returns true if there is one, as far as is known
   */
  hasFreeSlot(): boolean {
    return this.load < this.announced.slots;
  }

  /**
   * Checks whether the server still warms up.
   *
   * @param nowMs - monotonic time
   * @returns true if it is slow after its start
   */
  isWarmingUp(nowMs: number): boolean {
    return nowMs < this.#warmAtMs;
  }

  /**
   * Records the start of a request.
   *
   * @param request - the request
   */
  addRunning(request: RunningRequest): void {
    this.#running.add(request);
  }

  /**
   * Records the end of a request.
   *
   * @param request - the request
   */
  removeRunning(request: RunningRequest): void {
    this.#running.delete(request);
  }

  /**
   * Sets what another VM has running there.
   *
   * @param vm - the other VM
   * @param count - its requests
   */
  setPeerLoad(vm: VmId, count: number): void {
    if (count === 0) {
      this.#loadByVm.delete(vm);
    } else {
      this.#loadByVm.set(vm, count);
    }
  }

  /**
   * Takes in how a request ended at the server.
   *
   * @param evidence - how it ended
   * @param grayShare - share of the service's servers that are gray
   * @param nowMs - monotonic time
   */
  recordEvidence(evidence: Evidence, grayShare: number, nowMs: number): void {
    this.#belief.recordEvidence(evidence, grayShare, nowMs);
    if (evidence === EVIDENCE.success) {
      this.#linkBelief.recordEvidence(evidence, LINK_FAILURE_SHARE, nowMs);
    }
  }

  /**
   * Takes in that the link to the server failed.
   *
   * @param nowMs - monotonic time
   */
  recordLinkFailure(nowMs: number): void {
    this.#linkBelief.recordEvidence(
      EVIDENCE.failure,
      LINK_FAILURE_SHARE,
      nowMs,
    );
  }

  /**
   * Takes in how fast a request was served.
   *
   * @param factor - its time as a multiple of the expected time
   * @param nowMs - monotonic time
   */
  recordSpeed(factor: number, nowMs: number): void {
    const before = this.estimateSpeedFactor(nowMs);
    const counted = Math.min(factor, LARGEST_SPEED_FACTOR);
    this.#speedFactor = before + SPEED_SMOOTHING * (counted - before);
    this.#speedAtMs = nowMs;
  }

  /**
   * Takes in that the server refused load.
   *
   * @param nowMs - monotonic time
   */
  recordShed(nowMs: number): void {
    this.#pausedUntilMs = nowMs + SHED_PAUSE_MS;
  }

  /**
   * Estimates how slow the server is, running requests included.
   *
   * @param nowMs - monotonic time
   * @returns 1 for an ordinary server
   */
  estimateSpeedFactor(nowMs: number): number {
    const kept = Math.exp(-(nowMs - this.#speedAtMs) / SPEED_FORGETTING_MS);
    let factor = 1 + (this.#speedFactor - 1) * kept;
    for (const { startedAtMs, expectedMs } of this.#running) {
      factor = Math.max(factor, (nowMs - startedAtMs) / expectedMs);
    }
    return factor;
  }

  /**
   * Estimates the probability that the server is gray.
   *
   * @param grayShare - share of the service's servers that are gray
   * @param nowMs - monotonic time
   * @returns from 0 to 1
   */
  estimateGrayProbability(grayShare: number, nowMs: number): number {
    return this.#belief.estimateGray(grayShare, nowMs);
  }

  /**
   * Estimates the probability that this VM's next request fails there.
   *
   * @param grayShare - share of the service's servers that are gray
   * @param nowMs - monotonic time
   * @returns from 0 to 1
   */
  estimateFailureProbability(grayShare: number, nowMs: number): number {
    const server = this.#belief.estimateFailure(grayShare, nowMs);
    const link = this.#linkBelief.estimateFailure(LINK_FAILURE_SHARE, nowMs);
    return 1 - (1 - server) * (1 - link);
  }
}
