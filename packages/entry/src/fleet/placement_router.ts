/** Places requests on backend servers by shared load and beliefs. */

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
import { buildDemand, readServiceId } from "./demand_builder.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { FleetState } from "./fleet_state.ts";
import type { PeerServingReport } from "./peer_serving_report.ts";

const WAITING_TICK_MS = 20;
/** A service without servers is asked again this soon. */
const NO_SERVER_RETRY_MS = 500;
/** A VM counts as serving for this long after a request. */
const RECENT_REQUEST_MS = 2_000;
/** Multiple of the service time after which a second sending goes out. */
const HEDGE_FACTOR = 2.5;
const LEAST_HEDGE_MS = 150;

/** What the router works with. */
export interface PlacementRouterOptions {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: FleetLog;
  readonly zone: ZoneId;
  readonly retryBounds: RetryLimits;
}

interface PendingPlacement {
  readonly request: PlacementRequest;
  readonly askedAtMs: number;
  resolve: (verdict: PlacementVerdict) => void;
}

type Placements = ServicePlacement<PendingPlacement>;

/**
 * Runs one placement for each service of the configuration.
 */
export class PlacementRouter extends ServerRouter {
  readonly #options: PlacementRouterOptions;
  readonly #services = new Map<ServiceId, Placements>();
  readonly #serviceByServer = new Map<string, ServiceId>();
  #isTickScheduled = false;
  #requestedAtMs = -Infinity;
  #vmCount: number | undefined;
  #evidenceListener: (() => void) | undefined;

  /**
   * Prepares the router.
   *
   * @param options - what it works with
   */
  constructor(options: PlacementRouterOptions) {
    super();
    this.#options = options;
    options.state.subscribe(() => {
      this.#updateServers();
    });
  }

  /**
   * Sets what to call when a server has failed.
   *
   * @param listener - the callback
   */
  setFailureListener(listener: () => void): void {
    this.#evidenceListener = listener;
  }

  /**
   * Checks whether this VM has taken requests lately.
   *
   * @returns true if it has
   */
  hasRecentRequests(): boolean {
    const nowMs = this.#options.clock.readMonotonicMs();
    return nowMs - this.#requestedAtMs < RECENT_REQUEST_MS;
  }

  /**
   * Divides what the VMs with callers share.
   *
   * @param count - their number; undefined if this VM is none of them
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
   * @returns the number
   */
  countWaiting(): number {
    let count = 0;
    for (const service of this.#services.values()) {
      count += service.waitingCount;
    }
    return count;
  }

  /**
   * Counts the backend servers that are more likely gray than well.
   *
   * @returns the number
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
   * Lists what this VM has running at each backend server.
   *
   * @returns servers with at least one request
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
   * Takes the evidence that has not been shared yet.
   *
   * @returns the evidence
   */
  takeEvidence(): readonly ServerEvidence[] {
    return [...this.#services.values()].flatMap((service) =>
      service.takeEvidence()
    );
  }

  /**
   * Takes in another VM's report.
   *
   * @param vm - the other VM
   * @param report - its load and evidence
   */
  applyPeerReport(vm: VmId, report: PeerServingReport): void {
    for (const service of this.#services.values()) {
      service.setPeerLoads(vm, report.loads);
    }
    this.applyPeerEvidence(report.evidence);
  }

  /**
   * Takes in another VM's evidence.
   *
   * @param evidence - the evidence, oldest first
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
    return await new Promise((resolve) => {
      const pending = { request, askedAtMs: nowMs, resolve };
      this.#acquireSlot(service, pending);
    });
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
      request.attempt >= terms.maxAttempts
    ) {
      return undefined;
    }
    const expectedMs = service.estimateServiceMs(buildDemand(request));
    return Math.max(LEAST_HEDGE_MS, expectedMs * HEDGE_FACTOR);
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

  #acquireSlot(service: Placements, pending: PendingPlacement): void {
    const { clock, log } = this.#options;
    const demand = buildDemand(pending.request);
    const decision = service.acquire(demand, pending, clock.readMonotonicMs());
    if (decision.kind === "waiting") {
      log.record("request-waits", {
        request: pending.request.context.id,
        service: readServiceId(pending.request),
        waiting: service.waitingCount,
      });
      this.#observeCaller(service, decision.waiter);
      this.#scheduleTick();
      return;
    }
    this.#settle(service, pending, decision);
  }

  #settle(
    service: Placements,
    pending: PendingPlacement,
    decision: Exclude<
      ReturnType<Placements["acquire"]>,
      { readonly kind: "waiting" }
    >,
  ): void {
    switch (decision.kind) {
      case "placed":
        this.#recordPlaced(pending, decision.slot, service.grayShare);
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
    service: Placements,
    { request }: PendingPlacement,
    slot: TakenSlot,
  ): Placement {
    const { clock, log } = this.#options;
    const { announced } = slot.server;
    return {
      server: { ...announced, connections: Infinity },
      complete: (sample) => {
        service.complete(slot, sample, clock.readMonotonicMs());
        log.record("attempt-ended", {
          request: request.context.id,
          server: announced.id,
          outcome: sample.outcome,
          totalMs: Math.round(sample.totalMs),
        });
        if (sample.outcome !== "served") {
          this.#evidenceListener?.();
        }
        this.#decideWaiting(service);
      },
    };
  }

  #recordPlaced(
    pending: PendingPlacement,
    { server }: TakenSlot,
    grayShare: number,
  ): void {
    const { clock, log, state } = this.#options;
    const nowMs = clock.readMonotonicMs();
    log.record("request-placed", {
      request: pending.request.context.id,
      attempt: pending.request.attempt,
      server: server.announced.id,
      failureProbability: Number(
        server.estimateFailureProbability(grayShare, nowMs).toFixed(3),
      ),
      load: server.load,
      slots: server.announced.slots,
      serversAgeMs: Math.round(state.serversAgeMs),
      waitedMs: Math.round(nowMs - pending.askedAtMs),
    });
  }

  #decideWaiting(service: Placements): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const { waiter, decision } of service.decideWaiting(nowMs)) {
      this.#settle(service, waiter.item, decision);
    }
  }

  // A caller that leaves must not take a slot later.
  #observeCaller(
    service: Placements,
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
    }, WAITING_TICK_MS);
  }

  #findService(request: PlacementRequest): Placements | undefined {
    return this.#services.get(readServiceId(request));
  }

  #updateServers(): void {
    const { state, clock, random, zone, retryBounds } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const byService = new Map<ServiceId, AnnouncedServer[]>();
    for (const { id } of state.placed?.configuration.services ?? []) {
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
