/** Places the requests of one service on its backend servers. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { ServerId, VmId, ZoneId } from "@limpetford/domain/ids";

import type { AttemptSample } from "../evidence/attempt_sample.ts";
import type { RandomSource } from "../time/random_source.ts";
import { type RunningRequest, TrackedServer } from "./tracked_server.ts";
import type { PlacementDemand } from "./placement_demand.ts";
import { RetryAllowance, type RetryLimits } from "./retry_token_bucket.ts";
import { EVIDENCE, type Evidence } from "./gray_failure_estimator.ts";
import { chooseServer } from "./server_choice.ts";
import { ServiceTimes } from "./service_times.ts";
import { type Waiter, WaitingRoom } from "./wait_queue.ts";

const INITIAL_GRAY_SHARE = 0.1;
const LEAST_GRAY_SHARE = 0.03;
const MOST_GRAY_SHARE = 0.4;
const GRAY_SHARE_SMOOTHING = 0.2;
/** Evidence older than this does not count for the service's share. */
const RECENT_EVIDENCE_MS = 2_000;
/** Time between two estimates of the share of gray servers. */
const GRAY_SHARE_INTERVAL_MS = 500;
/** Extra sendings kept for requests that failed, out of reach of probes. */
const PROBE_RESERVE = 3;
/** Multiple of the service time after which a running request counts as hung. */
const HUNG_FACTOR = 4;
/** Part of the time left that a request may be expected to wait. */
const WAIT_SHARE = 0.8;

/** A slot that was taken. */
export interface TakenSlot {
  readonly server: TrackedServer;
  readonly running: RunningRequest;
  readonly demand: PlacementDemand;
}

/** How a request to place was decided. */
export type PlacementDecision<T> =
  | { readonly kind: "placed"; readonly slot: TakenSlot }
  | { readonly kind: "waiting"; readonly waiter: Waiter<T> }
  /** Not served in time; come back later. */
  | { readonly kind: "overloaded"; readonly retryAfterMs: number }
  | { readonly kind: "no-server" };

/** A decision on a request that waited. */
export interface WaiterDecision<T> {
  readonly waiter: Waiter<T>;
  readonly decision: Exclude<
    PlacementDecision<T>,
    { readonly kind: "waiting" }
  >;
}

/** Evidence to share with other VMs. */
export interface ServerEvidence {
  readonly server: ServerId;
  readonly evidence: Evidence;
  /** True if the link may be at fault rather than the server. */
  readonly isLinkFailure: boolean;
}

/** What a placement is told about its surroundings. */
export interface ServicePlacementOptions {
  readonly zone: ZoneId;
  readonly random: RandomSource;
  readonly retryBounds: RetryLimits;
}

/**
 * Load, beliefs and waiting requests of one service at one VM.
 */
export class ServicePlacement<T> {
  readonly #options: ServicePlacementOptions;
  readonly #servers = new Map<ServerId, TrackedServer>();
  readonly #waiting = new WaitingRoom<T>();
  readonly #times = new ServiceTimes();
  readonly #allowance: RetryAllowance;
  #outbox: ServerEvidence[] = [];
  #grayShare = INITIAL_GRAY_SHARE;
  #grayShareAtMs = 0;

  /**
   * Starts without servers.
   *
   * @param options - the surroundings
   */
  constructor(options: ServicePlacementOptions) {
    this.#options = options;
    this.#allowance = new RetryAllowance(options.retryBounds);
  }

  /**
   * Requests that wait for a slot.
   *
   * @returns the current value
   */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /**
   * Share of the service's servers believed to be gray.
   *
   * @returns from 0 to 1
   */
  get grayShare(): number {
    return this.#grayShare;
  }

  /**
   * Lists the servers.
   *
   * @returns those that are not gone
   */
  listServers(): readonly TrackedServer[] {
    return [...this.#servers.values()];
  }

  /**
   * Replaces the list of servers; what is known of those that stay is kept.
   *
   * @param announced - the service's servers
   * @param nowMs - monotonic time
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
   * Places a request, lets it wait, or refuses it.
   *
   * @param demand - the request
   * @param item - handed back when a waiting request is decided
   * @param nowMs - monotonic time
   * @returns the decision
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
   * Decides on requests that wait. To be called after each end of a request
   * and at short intervals while requests wait.
   *
   * @param nowMs - monotonic time
   * @returns the requests that wait no longer
   */
  decideWaiting(nowMs: number): readonly WaiterDecision<T>[] {
    if (this.#waiting.size === 0) {
      return [];
    }
    const estimate = (demand: PlacementDemand): number =>
      this.#estimateMs(demand);
    const hopeless = this.#waiting.removeHopeless(nowMs, estimate);
    const decisions: WaiterDecision<T>[] = hopeless.map((waiter) => ({
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
   * Withdraws a request that waits.
   *
   * @param waiter - the request
   * @returns false if it was decided before
   */
  withdraw(waiter: Waiter<T>): boolean {
    return this.#waiting.remove(waiter);
  }

  /**
   * Records how a request ended and frees its slot.
   *
   * @param slot - the slot
   * @param sample - how it ended
   * @param nowMs - monotonic time
   */
  complete(slot: TakenSlot, sample: AttemptSample, nowMs: number): void {
    const { server, running, demand } = slot;
    server.removeRunning(running);
    switch (sample.outcome) {
      case "served":
        this.#recordEvidence(server, EVIDENCE.success, nowMs);
        server.recordSpeed(sample.totalMs / running.expectedMs, nowMs);
        this.#times.recordDuration(demand.route, sample.totalMs);
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
   * Takes in another VM's evidence.
   *
   * @param shared - the evidence
   * @param nowMs - monotonic time
   */
  applyPeerEvidence(shared: ServerEvidence, nowMs: number): void {
    this.#servers.get(shared.server)?.recordEvidence(
      shared.evidence,
      this.#grayShare,
      nowMs,
    );
  }

  /**
   * Sets what another VM has running.
   *
   * @param vm - the other VM
   * @param loads - its requests by server; servers without one are left out
   */
  setPeerLoads(vm: VmId, loads: ReadonlyMap<string, number>): void {
    for (const [id, server] of this.#servers) {
      server.setPeerLoad(vm, loads.get(id) ?? 0);
    }
  }

  /**
   * Takes the evidence that has not been shared yet.
   *
   * @returns the evidence, oldest first
   */
  takeEvidence(): readonly ServerEvidence[] {
    const taken = this.#outbox;
    this.#outbox = [];
    return taken;
  }

  /**
   * Divides the allowance of extra sendings anew.
   *
   * @param count - VMs that take callers; undefined if this is none of them
   */
  setVmCount(count: number | undefined): void {
    this.#allowance.setVmCount(count);
  }

  /** Counts the first sending of a request. */
  recordRequest(): void {
    this.#allowance.recordRequest();
  }

  /**
   * Takes an extra sending from the allowance.
   *
   * @returns false if none is left
   */
  takeRetry(): boolean {
    return this.#allowance.take();
  }

  /**
   * Estimates the service time of a request.
   *
   * @param demand - the request
   * @returns milliseconds
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
      mayProbe: this.#allowance.hasRoom(PROBE_RESERVE),
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
    this.#outbox.push({
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
    return this.#times.estimateMs(demand.route);
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
    const seen = Math.min(
      MOST_GRAY_SHARE,
      Math.max(LEAST_GRAY_SHARE, sum / recent.length),
    );
    this.#grayShare += GRAY_SHARE_SMOOTHING * (seen - this.#grayShare);
  }
}

function isSameStart(a: AnnouncedServer, b: AnnouncedServer): boolean {
  return a.startedAtMs === b.startedAtMs &&
    a.address.host === b.address.host && a.address.port === b.address.port;
}
