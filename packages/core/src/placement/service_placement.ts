/** Places the requests of one service on its backend servers. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { ServerId, VmId, ZoneId } from "@limpetford/domain/ids";

import type { AttemptSample } from "../evidence/attempt_sample.ts";
import type { RandomSource } from "../time/random_source.ts";
import { EVIDENCE, type Evidence } from "./gray_failure_estimator.ts";
import type { PlacementDemand } from "./placement_demand.ts";
import { type RetryLimits, RetryTokenBucket } from "./retry_token_bucket.ts";
import { chooseServer } from "./server_choice.ts";
import { ServiceTimeEstimator } from "./service_time_estimator.ts";
import { type RunningRequest, TrackedServer } from "./tracked_server.ts";
import { type Waiter, WaitQueue } from "./wait_queue.ts";

const INITIAL_GRAY_SHARE = 0.1;
const MIN_GRAY_SHARE = 0.03;
const MAX_GRAY_SHARE = 0.4;
/** Weight of a new estimate in the moving average of the gray share. */
const GRAY_SHARE_SMOOTHING = 0.2;
/** Servers without an outcome for this long do not count for the share. */
const RECENT_EVIDENCE_MS = 2_000;
/** Time between two estimates of the share of gray servers. */
const GRAY_SHARE_INTERVAL_MS = 500;
/** Retry tokens that probes leave for requests that failed. */
const PROBE_RESERVE = 3;
/** Multiple of the service time after which a request counts as hung. */
const HUNG_FACTOR = 4;
/** Share of the time to the deadline that the expected wait may take. */
const WAIT_SHARE = 0.8;

/** A slot at a server, held by a running attempt. */
export interface TakenSlot {
  readonly server: TrackedServer;
  readonly running: RunningRequest;
  readonly demand: PlacementDemand;
}

/** Result of a request for a slot. */
export type PlacementDecision<T> =
  | { readonly kind: "placed"; readonly slot: TakenSlot }
  | { readonly kind: "waiting"; readonly waiter: Waiter<T> }
  /** Cannot be served before its deadline; `retryAfterMs` from now it may. */
  | { readonly kind: "overloaded"; readonly retryAfterMs: number }
  | { readonly kind: "no-server" };

/** Decision on a request that was waiting. */
export interface WaiterDecision<T> {
  readonly waiter: Waiter<T>;
  readonly decision: Exclude<
    PlacementDecision<T>,
    { readonly kind: "waiting" }
  >;
}

/** Outcome of a request, as it is shared with the other VMs. */
export interface ServerEvidence {
  readonly server: ServerId;
  readonly evidence: Evidence;
  /** True if the network link may be at fault rather than the server. */
  readonly isLinkFailure: boolean;
}

/** Settings of {@link ServicePlacement}. */
export interface ServicePlacementOptions {
  readonly zone: ZoneId;
  readonly random: RandomSource;
  readonly retryBounds: RetryLimits;
}

/** Assigns requests to servers, queues them for slots, or refuses them. */
export class ServicePlacement<T> {
  readonly #options: ServicePlacementOptions;
  readonly #servers = new Map<ServerId, TrackedServer>();
  readonly #waiting = new WaitQueue<T>();
  readonly #serviceTimes = new ServiceTimeEstimator();
  readonly #retryTokens: RetryTokenBucket;
  #unsentEvidence: ServerEvidence[] = [];
  #grayShare = INITIAL_GRAY_SHARE;
  #grayShareAtMs = 0;

  /**
   * Starts without servers.
   *
   * @param options - this VM's zone, random numbers and the retry limit
   */
  constructor(options: ServicePlacementOptions) {
    this.#options = options;
    this.#retryTokens = new RetryTokenBucket(options.retryBounds);
  }

  /**
   * Length of the wait queue.
   *
   * @returns the number of requests that wait for a slot
   */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /**
   * Estimated share of the service's servers in gray failure.
   *
   * @returns from 0 to 1
   */
  get grayShare(): number {
    return this.#grayShare;
  }

  /**
   * Lists the servers that were set last.
   *
   * @returns active and leaving servers
   */
  listServers(): readonly TrackedServer[] {
    return [...this.#servers.values()];
  }

  /**
   * Replaces the servers; one of the same start and address keeps its state.
   *
   * @param announced - the service's servers
   * @param nowMs - monotonic time, in milliseconds
   */
  setServers(announced: readonly AnnouncedServer[], nowMs: number): void {
    const listed = new Set(announced.map((server) => server.id));
    for (const id of this.#servers.keys()) {
      if (!listed.has(id)) {
        this.#servers.delete(id);
      }
    }
    for (const server of announced) {
      const known = this.#servers.get(server.id);
      if (known !== undefined && isSameStart(known.announced, server)) {
        known.announced = server;
      } else {
        this.#servers.set(
          server.id,
          new TrackedServer(server, this.#grayShare, nowMs),
        );
      }
    }
  }

  /**
   * Acquires a slot for a request, queues it, or refuses it.
   *
   * @param demand - priority, deadline and other properties of the request
   * @param item - returned with the decision if the request is queued
   * @param nowMs - monotonic time, in milliseconds
   * @returns the slot, the place in the queue, or the refusal
   */
  acquire(
    demand: PlacementDemand,
    item: T,
    nowMs: number,
  ): PlacementDecision<T> {
    this.#updateGrayShare(nowMs);
    if (this.#servers.size === 0) {
      return { kind: "no-server" };
    }
    const isNext = this.#waiting.countAhead(demand.priority) === 0;
    const slot = isNext ? this.#takeSlot(demand, nowMs) : undefined;
    if (slot !== undefined) {
      return { kind: "placed", slot };
    }
    const waitMs = this.#estimateWaitMs(demand);
    const leftMs = demand.deadlineAtMs - nowMs - this.#estimateMs(demand);
    if (waitMs > leftMs * WAIT_SHARE) {
      return { kind: "overloaded", retryAfterMs: waitMs };
    }
    const waiter = { demand, arrivedAtMs: nowMs, item };
    this.#waiting.add(waiter);
    return { kind: "waiting", waiter };
  }

  /**
   * Places or refuses waiting requests. Has to be called after each completed
   * attempt, and at short intervals while requests wait.
   *
   * @param nowMs - monotonic time, in milliseconds
   * @returns the requests that left the queue, with their decisions
   */
  decideWaiting(nowMs: number): readonly WaiterDecision<T>[] {
    if (this.#waiting.size === 0) {
      return [];
    }
    const estimate = (demand: PlacementDemand): number =>
      this.#estimateMs(demand);
    const expired = this.#waiting.removeExpired(nowMs, estimate);
    const decisions: WaiterDecision<T>[] = expired.map((waiter) => ({
      waiter,
      decision: {
        kind: "overloaded",
        retryAfterMs: this.#estimateWaitMs(waiter.demand),
      },
    }));
    for (const waiter of this.#waiting.listInOrder(nowMs, estimate)) {
      const slot = this.#takeSlot(waiter.demand, nowMs);
      if (slot !== undefined) {
        this.#waiting.remove(waiter);
        decisions.push({ waiter, decision: { kind: "placed", slot } });
      }
    }
    return decisions;
  }

  /**
   * Removes a waiting request whose caller has disconnected.
   *
   * @param waiter - queue entry that {@link acquire} returned
   * @returns false if it had already left the queue
   */
  withdraw(waiter: Waiter<T>): boolean {
    return this.#waiting.remove(waiter);
  }

  /**
   * Releases a slot and updates the estimates with the attempt's outcome.
   *
   * @param slot - slot that the attempt used, from a placement decision
   * @param sample - outcome and duration of the attempt
   * @param nowMs - monotonic time, in milliseconds
   */
  complete(slot: TakenSlot, sample: AttemptSample, nowMs: number): void {
    const { server, running, demand } = slot;
    server.removeRunning(running);
    switch (sample.outcome) {
      case "served":
        this.#recordEvidence(server, EVIDENCE.success, nowMs);
        server.recordSpeed(sample.totalMs / running.expectedMs, nowMs);
        this.#serviceTimes.recordDuration(demand.route, sample.totalMs);
        break;
      case "failed":
      case "cut":
        this.#recordEvidence(server, EVIDENCE.failure, nowMs);
        break;
      case "shed":
        server.recordShed(nowMs);
        break;
      case "connect-failed":
      case "reset-before-first-byte":
        this.#recordLinkFailure(server, nowMs);
        break;
      case "timed-out":
      case "cancelled":
        if (sample.totalMs > running.expectedMs * HUNG_FACTOR) {
          this.#recordLinkFailure(server, nowMs);
        }
        break;
    }
  }

  /**
   * Updates a server's estimate with an outcome that another VM observed.
   *
   * @param shared - the server and the outcome
   * @param nowMs - monotonic time, in milliseconds
   */
  applyPeerEvidence(shared: ServerEvidence, nowMs: number): void {
    this.#servers.get(shared.server)?.recordEvidence(
      shared.evidence,
      this.#grayShare,
      nowMs,
    );
  }

  /**
   * Replaces the loads that another VM reports.
   *
   * @param vm - the other VM
   * @param loads - its requests in flight by server; missing servers have none
   */
  setPeerLoads(vm: VmId, loads: ReadonlyMap<string, number>): void {
    for (const [id, server] of this.#servers) {
      server.setPeerLoad(vm, loads.get(id) ?? 0);
    }
  }

  /**
   * Takes the outcomes that have not been sent to the other VMs yet.
   *
   * @returns the outcomes, oldest first
   */
  takeEvidence(): readonly ServerEvidence[] {
    const taken = this.#unsentEvidence;
    this.#unsentEvidence = [];
    return taken;
  }

  /**
   * Sets this VM's share of the service's retry slack.
   *
   * @param count - VMs that receive callers; undefined if this VM does not
   */
  setVmCount(count: number | undefined): void {
    this.#retryTokens.setVmCount(count);
  }

  /** Adds retry tokens for the first attempt of a request. */
  recordRequest(): void {
    this.#retryTokens.recordRequest();
  }

  /**
   * Takes a retry token for an extra attempt.
   *
   * @returns false if none is left
   */
  takeRetry(): boolean {
    return this.#retryTokens.take();
  }

  /**
   * Estimates the service time of a request.
   *
   * @param demand - request whose route determines the estimate
   * @returns milliseconds from dispatch to the end of the response
   */
  estimateServiceMs(demand: PlacementDemand): number {
    return this.#estimateMs(demand);
  }

  #takeSlot(demand: PlacementDemand, nowMs: number): TakenSlot | undefined {
    const expectedMs = this.#estimateMs(demand);
    const server = chooseServer(this.listServers(), demand, {
      zone: this.#options.zone,
      grayShare: this.#grayShare,
      nowMs,
      random: this.#options.random,
      mayProbe: this.#retryTokens.hasTokens(PROBE_RESERVE),
      mayWait: nowMs + expectedMs < demand.targetAtMs,
    });
    if (server === undefined) {
      return undefined;
    }
    const running = { startedAtMs: nowMs, expectedMs };
    server.addRunning(running);
    return { server, running, demand };
  }

  #recordEvidence(
    server: TrackedServer,
    evidence: Evidence,
    nowMs: number,
  ): void {
    server.recordEvidence(evidence, this.#grayShare, nowMs);
    this.#unsentEvidence.push({
      server: server.announced.id,
      evidence,
      isLinkFailure: false,
    });
  }

  #recordLinkFailure(server: TrackedServer, nowMs: number): void {
    server.recordLinkFailure(nowMs);
    this.#recordEvidence(server, EVIDENCE.failure, nowMs);
  }

  #estimateMs(demand: PlacementDemand): number {
    return this.#serviceTimes.estimateMs(demand.route);
  }

  #estimateWaitMs(demand: PlacementDemand): number {
    const slots = this.listServers().reduce(
      (sum, server) => sum + server.announced.slots,
      0,
    );
    const ahead = this.#waiting.countAhead(demand.priority) + 1;
    return ahead * this.#estimateMs(demand) / Math.max(1, slots);
  }

  #updateGrayShare(nowMs: number): void {
    if (nowMs - this.#grayShareAtMs < GRAY_SHARE_INTERVAL_MS) {
      return;
    }
    this.#grayShareAtMs = nowMs;
    const recent = this.listServers().filter((server) =>
      nowMs - server.lastEvidenceAtMs < RECENT_EVIDENCE_MS
    );
    if (recent.length === 0) {
      return;
    }
    const sum = recent.reduce(
      (total, server) =>
        total + server.estimateGrayProbability(this.#grayShare, nowMs),
      0,
    );
    const observed = Math.min(
      MAX_GRAY_SHARE,
      Math.max(MIN_GRAY_SHARE, sum / recent.length),
    );
    this.#grayShare += GRAY_SHARE_SMOOTHING * (observed - this.#grayShare);
  }
}

function isSameStart(a: AnnouncedServer, b: AnnouncedServer): boolean {
  return a.startedAtMs === b.startedAtMs &&
    a.address.host === b.address.host && a.address.port === b.address.port;
}
