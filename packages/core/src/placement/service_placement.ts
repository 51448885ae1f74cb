/** Places the requests of one service on its backend servers. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { VmId, ZoneId } from "@limpetford/domain/ids";

import type { AttemptSample } from "../evidence/attempt_sample.ts";
import { ServiceReach } from "../reach/service_reach.ts";
import type { RandomSource } from "../time/random_source.ts";
import { GrayShareEstimator } from "./gray_share_estimator.ts";
import { LongestDurations } from "./longest_durations.ts";
import { findNeglectedServer } from "./neglected_servers.ts";
import { OutcomeRecorder } from "./outcome_recorder.ts";
import { PeerLoads } from "./peer_loads.ts";
import type {
  PlacementDecision,
  TakenSlot,
  WaiterDecision,
} from "./placement_decision.ts";
import type { PlacementDemand } from "./placement_demand.ts";
import { type RetryLimits, RetryTokenBucket } from "./retry_token_bucket.ts";
import { RouteSizeEstimator } from "./route_size_estimator.ts";
import {
  computeServerWaitMs,
  listAvailableSoon,
} from "./server_availability.ts";
import { chooseServer } from "./server_choice.ts";
import type { ServerEvidence } from "./server_evidence.ts";
import { ServerTable } from "./server_table.ts";
import { ServiceThroughput } from "./service_throughput.ts";
import { ServiceTimeEstimator } from "./service_time_estimator.ts";
import type { TrackedServer } from "./tracked_server.ts";
import { UnservedMeter } from "./unserved_meter.ts";
import { type Waiter, WaitQueue } from "./wait_queue.ts";

/** Retry tokens that probes leave for requests that failed. */
const PROBE_RESERVE = 3;
/** Time for which a server is kept while a token for it is asked for. */
const TOKEN_WAIT_MS = 100;
/**
 * Longest time for which a request waits while no server takes requests. Longer
 * waits are refused at once, since the servers may turn requests away again.
 */
const MAX_SERVER_WAIT_MS = 300;
/** Share of the time to the deadline that the expected wait may take. */
const WAIT_SHARE = 0.8;

/** Settings of {@link ServicePlacement}. */
export interface ServicePlacementOptions {
  readonly zone: ZoneId;
  readonly random: RandomSource;
  readonly retryBounds: RetryLimits;
  /** Least share of the sound servers that get requests while some fail. */
  readonly minimumShare: number;
  /** Finds the rate limit that a server names, in requests per second. */
  readonly findRateLimit: (server: AnnouncedServer) => number | undefined;
}

/** Assigns requests to servers, queues them for slots, or refuses them. */
export class ServicePlacement<T> {
  readonly #options: ServicePlacementOptions;
  /** Servers of the service, and their pauses. */
  readonly servers = new ServerTable();
  /** Whether this VM reaches the servers. */
  readonly reach = new ServiceReach();
  readonly #peerLoads = new PeerLoads(this.servers);
  /** Requests that wait for a slot. */
  readonly waiting = new WaitQueue<T>();
  /** Longest recent durations of the requests that servers have answered. */
  readonly durations = new LongestDurations();
  readonly #serviceTimes = new ServiceTimeEstimator();
  readonly #sizes = new RouteSizeEstimator();
  readonly #retryTokens: RetryTokenBucket;
  readonly #grayShares = new GrayShareEstimator();
  readonly #throughput: ServiceThroughput;
  readonly #unserved = new UnservedMeter();
  readonly #outcomes = new OutcomeRecorder({
    serviceTimes: this.#serviceTimes,
    durations: this.durations,
    grayShares: this.#grayShares,
    sizes: this.#sizes,
    reach: this.reach,
  });

  /**
   * Starts without servers.
   *
   * @param options - this VM's zone, random numbers and the retry limit
   */
  constructor(options: ServicePlacementOptions) {
    this.#options = options;
    this.#retryTokens = new RetryTokenBucket(options.retryBounds);
    this.#throughput = new ServiceThroughput((server) =>
      options.findRateLimit(server.announced)
    );
  }

  /**
   * Length of the wait queue.
   *
   * @returns the number of requests that wait for a slot
   */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /**
   * Estimated share of the service's servers in gray failure.
   *
   * @returns from 0 to 1
   */
  get grayShare(): number {
    return this.#grayShares.share;
  }

  /**
   * Lists the servers that were set last.
   *
   * @returns active and leaving servers
   */
  listServers(): readonly TrackedServer[] {
    return this.servers.list();
  }

  /**
   * Replaces the servers; one of the same start and address keeps its state.
   *
   * @param announced - the service's servers
   * @param nowMs - monotonic time, in milliseconds
   */
  setServers(announced: readonly AnnouncedServer[], nowMs: number): void {
    this.servers.setServers(announced, this.grayShare, nowMs);
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
    this.#grayShares.update(this.listServers(), nowMs);
    this.#retryTokens.refill(nowMs);
    const serverWaitMs = computeServerWaitMs(this.listServers(), demand, nowMs);
    if (serverWaitMs === Infinity) {
      return { kind: "no-server" };
    }
    if (serverWaitMs > MAX_SERVER_WAIT_MS) {
      const retryAfterMs = this.#estimateWaitMs(demand, nowMs);
      return { kind: "overloaded", retryAfterMs };
    }
    const slot = this.waiting.hasWaiting(demand.priority)
      ? undefined
      : this.#takeSlot(demand, nowMs);
    if (slot !== undefined) {
      return { kind: "placed", slot };
    }
    const waitMs = this.#estimateWaitMs(demand, nowMs);
    // Under lasting overload, requests past their target are overtaken by new
    // ones until their deadline.
    const isLasting = this.#throughput.isOverLimits(this.listServers(), nowMs);
    const endAtMs = isLasting ? demand.targetAtMs : demand.deadlineAtMs;
    const leftMs = endAtMs - nowMs - this.estimateServiceMs(demand);
    if (waitMs > leftMs * WAIT_SHARE) {
      this.waiting.recordRefused(nowMs);
      this.#unserved.recordRefused(nowMs);
      return { kind: "overloaded", retryAfterMs: waitMs };
    }
    const waiter = { demand, arrivedAtMs: nowMs, item };
    this.#addWaiter(waiter, nowMs);
    return { kind: "waiting", waiter };
  }

  /**
   * Records that the token for an attempt at a rate-limited server was granted.
   *
   * @param slot - slot that the attempt uses
   * @param nowMs - monotonic time, in milliseconds
   */
  grantToken(slot: TakenSlot, nowMs: number): void {
    slot.server.setNextTokenAt(nowMs);
    this.#throughput.recordPlaced(nowMs);
  }

  /**
   * Releases a slot whose token was refused, and places the request elsewhere or
   * queues it again.
   *
   * @param slot - slot that the attempt cannot use
   * @param waiter - the request; it is not refused for the length of the queue
   * @param times - monotonic time, and until when the server gets no request
   * @returns another slot, or the place in the queue
   */
  refuseToken(
    slot: TakenSlot,
    waiter: Waiter<T>,
    times: { readonly nowMs: number; readonly untilMs: number },
  ): PlacementDecision<T> {
    const { nowMs, untilMs } = times;
    slot.server.removeRunning(slot.running);
    slot.server.setNextTokenAt(untilMs);
    const other = this.waiting.hasWaiting(waiter.demand.priority)
      ? undefined
      : this.#takeSlot(waiter.demand, nowMs);
    if (other !== undefined) {
      return { kind: "placed", slot: other };
    }
    this.#addWaiter(waiter, nowMs);
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
    if (this.waiting.size === 0) {
      this.#throughput.recordQueue(false, nowMs);
      return [];
    }
    const estimate = (demand: PlacementDemand): number =>
      this.estimateServiceMs(demand);
    const expired = this.waiting.removeExpired(
      nowMs,
      (demand) =>
        computeServerWaitMs(this.listServers(), demand, nowMs) >
            MAX_SERVER_WAIT_MS
          ? Infinity
          : this.#serviceTimes.estimateLongMs(demand.route),
    );
    const decisions: WaiterDecision<T>[] = expired.map((waiter) => ({
      waiter,
      decision: {
        kind: "overloaded",
        retryAfterMs: this.#estimateWaitMs(waiter.demand, nowMs),
      },
    }));
    for (const waiter of this.waiting.listInOrder(nowMs, estimate)) {
      const slot = this.#takeSlot(waiter.demand, nowMs);
      if (slot !== undefined) {
        this.waiting.remove(waiter);
        decisions.push({ waiter, decision: { kind: "placed", slot } });
      }
    }
    return decisions;
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
    this.#outcomes.record(slot, sample, nowMs);
    this.#unserved.recordAttempt(demand, sample.outcome, nowMs);
  }

  /**
   * Updates a server's estimate with an outcome that another VM observed.
   *
   * @param shared - the server and the outcome
   * @param nowMs - monotonic time, in milliseconds
   */
  applyPeerEvidence(shared: ServerEvidence, nowMs: number): void {
    this.servers.find(shared.server)?.recordEvidence(
      shared.evidence,
      this.grayShare,
      nowMs,
    );
  }

  /**
   * Replaces the loads that another VM reports.
   *
   * @param vm - the other VM
   * @param loads - its requests in flight by server; missing servers have none
   * @param nowMs - monotonic time, in milliseconds
   */
  setPeerLoads(
    vm: VmId,
    loads: ReadonlyMap<string, number>,
    nowMs: number,
  ): void {
    this.#peerLoads.update(vm, loads, nowMs);
  }

  /**
   * Takes the outcomes that have not been sent to the other VMs yet.
   *
   * @returns the outcomes, oldest first
   */
  takeEvidence(): readonly ServerEvidence[] {
    return this.#outcomes.takeEvidence();
  }

  /**
   * Sets this VM's share of the service's retry slack and rate limits.
   *
   * @param count - VMs that receive callers; undefined if this VM does not
   */
  setVmCount(count: number | undefined): void {
    this.#retryTokens.setVmCount(count);
    this.#throughput.setVmCount(count);
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
    return this.#serviceTimes.estimateMs(demand.route);
  }

  #addWaiter(waiter: Waiter<T>, nowMs: number): void {
    this.waiting.add(waiter);
    this.#throughput.recordQueue(true, nowMs);
  }

  #takeSlot(demand: PlacementDemand, nowMs: number): TakenSlot | undefined {
    this.#peerLoads.expire(nowMs);
    const expectedMs = this.estimateServiceMs(demand);
    const { zone, random, minimumShare } = this.#options;
    const conditions = { zone, grayShare: this.grayShare, nowMs };
    const neglected = findNeglectedServer(this.listServers(), demand, {
      ...conditions,
      minimumShare,
      unservedShare: this.#unserved.readShare(nowMs),
    });
    const server = neglected ?? chooseServer(this.listServers(), demand, {
      ...conditions,
      random,
      mayProbe: this.#retryTokens.hasTokens(PROBE_RESERVE),
      mayRetryShed: this.#retryTokens.hasTokens(PROBE_RESERVE),
      expectedBytes: this.#sizes.estimateBytes(demand.route),
      mayWait: nowMs + expectedMs < demand.targetAtMs,
    });
    if (server === undefined) {
      return undefined;
    }
    const running = { startedAtMs: nowMs, expectedMs };
    server.addRunning(running);
    this.waiting.recordPlaced(demand, nowMs);
    const needsToken =
      this.#options.findRateLimit(server.announced) !== undefined;
    if (needsToken) {
      // One request at a time asks for a token.
      server.setNextTokenAt(nowMs + TOKEN_WAIT_MS);
    } else {
      this.#throughput.recordPlaced(nowMs);
    }
    return { needsToken, server, running, demand };
  }

  // At least the time until a server takes requests, if one is expected to.
  #estimateWaitMs(demand: PlacementDemand, nowMs: number): number {
    const ahead = this.waiting.countAhead(demand, nowMs) + 1;
    const perMs = this.#throughput.estimatePerMs(
      listAvailableSoon(this.listServers(), nowMs),
      this.estimateServiceMs(demand),
      nowMs,
    );
    const serverWaitMs = computeServerWaitMs(this.listServers(), demand, nowMs);
    return serverWaitMs === Infinity
      ? ahead / perMs
      : Math.max(ahead / perMs, serverWaitMs);
  }
}
