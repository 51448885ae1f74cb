/** Load balancing of requests across the backend servers of each service. */

import type { RetryLimits } from "@limpetford/core/placement/retry_token_bucket";
import {
  type ServerEvidence,
  ServicePlacement,
  type TakenSlot,
} from "@limpetford/core/placement/service_placement";
import type { Waiter } from "@limpetford/core/placement/wait_queue";
import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";
import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { ServiceId, VmId, ZoneId } from "@limpetford/domain/ids";

import {
  type FailedAttempt,
  type Placement,
  type PlacementRequest,
  type PlacementVerdict,
  type RetryVerdict,
  ServerRouter,
} from "../ports/server_router.ts";
import type { CrashGuard } from "./crash_guard.ts";
import { buildDemand, readServiceId } from "./demand_builder.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { FleetState } from "./fleet_state.ts";
import type { PeerServingReport } from "./peer_serving_report.ts";
import { PlacementLog } from "./placement_log.ts";

/** Time between checks of the queued requests. */
const QUEUE_CHECK_INTERVAL_MS = 20;
/** Retry delay told to callers of a service without available servers. */
const NO_SERVER_RETRY_MS = 500;
/** How long after a request this VM counts as serving callers. */
const RECENT_REQUEST_MS = 2_000;
/** A hedge is sent after this multiple of the expected service time. */
const HEDGE_FACTOR = 2.5;
const MIN_HEDGE_DELAY_MS = 150;

/** Dependencies and bounds of a {@link PlacementRouter}. */
export interface PlacementRouterOptions {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: FleetLog;
  readonly zone: ZoneId;
  /** Limits of the extra attempts for each service. */
  readonly retryBounds: RetryLimits;
  readonly guard: CrashGuard;
}

interface PendingPlacement {
  readonly request: PlacementRequest;
  /** Monotonic time of the request. */
  readonly askedAtMs: number;
  resolve: (verdict: PlacementVerdict) => void;
}

type Balancer = ServicePlacement<PendingPlacement>;

/** Routes requests with one load balancer for each configured service. */
export class PlacementRouter extends ServerRouter {
  readonly #options: PlacementRouterOptions;
  readonly #log: PlacementLog;
  readonly #services = new Map<ServiceId, Balancer>();
  readonly #serviceByServer = new Map<string, ServiceId>();
  #isTickScheduled = false;
  #requestedAtMs = -Infinity;
  #vmCount: number | undefined;
  #failureListener: (() => void) | undefined;

  /**
   * Creates a router that follows the server list of the fleet's state.
   *
   * @param options - dependencies and bounds
   */
  constructor(options: PlacementRouterOptions) {
    super();
    this.#options = options;
    this.#log = new PlacementLog(options);
    options.state.subscribe(() => {
      this.#updateServers();
    });
  }

  /**
   * Sets the listener for attempts that were not served.
   *
   * @param listener - called after each such attempt
   */
  setFailureListener(listener: () => void): void {
    this.#failureListener = listener;
  }

  /**
   * Checks whether this VM has received requests recently.
   *
   * @returns true if the last one came within `RECENT_REQUEST_MS`
   */
  hasRecentRequests(): boolean {
    const nowMs = this.#options.clock.readMonotonicMs();
    return nowMs - this.#requestedAtMs < RECENT_REQUEST_MS;
  }

  /**
   * Sets the number of VMs that divide the retry budget of each service.
   *
   * @param count - number of leaders; undefined if this VM is not a leader
   */
  setVmCount(count: number | undefined): void {
    this.#vmCount = count;
    for (const service of this.#services.values()) {
      service.setVmCount(count);
    }
  }

  /**
   * Counts the requests that wait for a slot.
   *
   * @returns number of queued requests over all services
   */
  countWaiting(): number {
    let count = 0;
    for (const service of this.#services.values()) {
      count += service.waitingCount;
    }
    return count;
  }

  /**
   * Counts the backend servers that are more likely gray than healthy.
   *
   * @returns number of servers over all services
   */
  countGray(): number {
    const nowMs = this.#options.clock.readMonotonicMs();
    let count = 0;
    for (const service of this.#services.values()) {
      count += service.listServers().filter((server) =>
        server.estimateGrayProbability(service.grayShare, nowMs) > 0.5
      ).length;
    }
    return count;
  }

  /**
   * Lists this VM's in-flight requests at each backend server.
   *
   * @returns server identifiers and counts, without servers that have none
   */
  listLoads(): readonly (readonly [string, number])[] {
    return [...this.#services.values()].flatMap((service) =>
      service.listServers().flatMap((server) =>
        server.ownLoad === 0
          ? []
          : [[server.announced.id as string, server.ownLoad] as const]
      )
    );
  }

  /**
   * Takes the evidence that has not been sent to other VMs yet.
   *
   * @returns evidence since the last call, grouped by service
   */
  takeEvidence(): readonly ServerEvidence[] {
    return [...this.#services.values()].flatMap((service) =>
      service.takeEvidence()
    );
  }

  /**
   * Applies the report of another VM.
   *
   * @param vm - the other VM
   * @param report - its load, which replaces the previous one, and evidence
   */
  applyPeerReport(vm: VmId, report: PeerServingReport): void {
    for (const service of this.#services.values()) {
      service.setPeerLoads(vm, report.loads);
    }
    this.applyPeerEvidence(report.evidence);
  }

  /**
   * Applies evidence of another VM; that of unknown servers is ignored.
   *
   * @param evidence - outcomes of the other VM's requests, oldest first
   */
  applyPeerEvidence(evidence: readonly ServerEvidence[]): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const shared of evidence) {
      const service = this.#serviceByServer.get(shared.server);
      if (service !== undefined) {
        this.#services.get(service)?.applyPeerEvidence(shared, nowMs);
      }
    }
  }

  override async acquire(
    request: PlacementRequest,
  ): Promise<PlacementVerdict> {
    const nowMs = this.#options.clock.readMonotonicMs();
    this.#requestedAtMs = nowMs;
    const service = this.#findService(request);
    if (service === undefined) {
      return { kind: "no-server", retryAfterMs: NO_SERVER_RETRY_MS };
    }
    if (request.attempt === 1) {
      service.recordRequest();
    } else if (request.isHedge && !service.takeRetry()) {
      return { kind: "overloaded", retryAfterMs: 0 };
    }
    const { guard } = this.#options;
    const refusal = guard.shouldAdmit(request) && await guard.admit(request);
    if (refusal) {
      return refusal;
    }
    const verdict = await new Promise<PlacementVerdict>((resolve) => {
      const pending = { request, askedAtMs: nowMs, resolve };
      this.#acquireSlot(service, pending);
    });
    if (verdict.kind !== "placed") {
      guard.withdraw(request);
    }
    return verdict;
  }

  override planRetry(attempt: FailedAttempt): RetryVerdict {
    const service = this.#findService(attempt.request);
    return service?.takeRetry() === true
      ? { kind: "retry", delayMs: 0 }
      : { kind: "give-up" };
  }

  override planHedgeMs(request: PlacementRequest): number | undefined {
    const { terms } = request.context;
    const service = this.#findService(request);
    if (
      service === undefined || terms === undefined ||
      this.#options.guard.isSuspect(request) ||
      request.attempt >= terms.maxAttempts
    ) {
      return undefined;
    }
    const expectedMs = service.estimateServiceMs(buildDemand(request, false));
    return Math.max(MIN_HEDGE_DELAY_MS, expectedMs * HEDGE_FACTOR);
  }

  override describeService(id: ServiceId): unknown {
    const nowMs = this.#options.clock.readMonotonicMs();
    const service = this.#services.get(id);
    return service && {
      grayShare: service.grayShare,
      waiting: service.waitingCount,
      servers: service.listServers().map((server) => ({
        id: server.announced.id,
        load: server.load,
        failure: server.estimateFailureProbability(service.grayShare, nowMs),
      })),
    };
  }

  #acquireSlot(service: Balancer, pending: PendingPlacement): void {
    const { clock } = this.#options;
    const demand = buildDemand(
      pending.request,
      this.#options.guard.isSuspect(pending.request),
    );
    const decision = service.acquire(demand, pending, clock.readMonotonicMs());
    if (decision.kind === "waiting") {
      this.#log.recordWaiting(pending.request, service.waitingCount);
      this.#observeCaller(service, decision.waiter);
      this.#scheduleTick();
      return;
    }
    this.#settle(service, pending, decision);
  }

  #settle(
    service: Balancer,
    pending: PendingPlacement,
    decision: Exclude<
      ReturnType<Balancer["acquire"]>,
      { readonly kind: "waiting" }
    >,
  ): void {
    switch (decision.kind) {
      case "placed":
        this.#log.recordPlaced({
          request: pending.request,
          askedAtMs: pending.askedAtMs,
          slot: decision.slot,
          grayShare: service.grayShare,
        });
        pending.resolve({
          kind: "placed",
          placement: this.#buildPlacement(service, pending, decision.slot),
        });
        break;
      case "overloaded":
        pending.resolve(decision);
        break;
      case "no-server":
        pending.resolve({ ...decision, retryAfterMs: NO_SERVER_RETRY_MS });
        break;
    }
  }

  #buildPlacement(
    service: Balancer,
    { request }: PendingPlacement,
    slot: TakenSlot,
  ): Placement {
    const { clock, guard } = this.#options;
    const { announced } = slot.server;
    return {
      server: { ...announced, connections: Infinity },
      complete: (sample) => {
        service.complete(slot, sample, clock.readMonotonicMs());
        this.#log.recordEnded(request, slot, sample);
        guard.complete({
          server: announced,
          request,
          sample,
          sentAtMs: slot.running.startedAtMs,
        });
        if (sample.outcome !== "served") {
          this.#failureListener?.();
        }
        this.#decideWaiting(service);
      },
    };
  }

  #decideWaiting(service: Balancer): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const { waiter, decision } of service.decideWaiting(nowMs)) {
      this.#settle(service, waiter.item, decision);
    }
  }

  // A queued request must not take a slot after its caller has disconnected.
  #observeCaller(
    service: Balancer,
    waiter: Waiter<PendingPlacement>,
  ): void {
    const { request, resolve } = waiter.item;
    request.signal.addEventListener("abort", () => {
      if (service.withdraw(waiter)) {
        resolve({ kind: "overloaded", retryAfterMs: 0 });
      }
    }, { once: true });
  }

  #scheduleTick(): void {
    if (this.#isTickScheduled) {
      return;
    }
    this.#isTickScheduled = true;
    setTimeout(() => {
      this.#isTickScheduled = false;
      let hasWaiting = false;
      for (const service of this.#services.values()) {
        this.#decideWaiting(service);
        hasWaiting ||= service.waitingCount > 0;
      }
      if (hasWaiting) {
        this.#scheduleTick();
      }
    }, QUEUE_CHECK_INTERVAL_MS);
  }

  #findService(request: PlacementRequest): Balancer | undefined {
    return this.#services.get(readServiceId(request));
  }

  #updateServers(): void {
    const { state, clock, random, zone, retryBounds } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const byService = new Map<ServiceId, AnnouncedServer[]>();
    for (const { id } of state.active?.configuration.services ?? []) {
      byService.set(id, []);
    }
    this.#serviceByServer.clear();
    for (const server of state.servers.listServers()) {
      byService.get(server.service)?.push(server);
      this.#serviceByServer.set(server.id, server.service);
    }
    for (const [id, servers] of byService) {
      const known = this.#services.get(id);
      const service = known ??
        new ServicePlacement<PendingPlacement>({ zone, random, retryBounds });
      service.setVmCount(this.#vmCount);
      service.setServers(servers, nowMs);
      this.#services.set(id, service);
    }
  }
}
