/** The load balancers of all services at one VM. */

import type { RetryLimits } from "@limpetford/core/placement/retry_token_bucket";
import type { ServerEvidence } from "@limpetford/core/placement/server_evidence";
import { ServicePlacement } from "@limpetford/core/placement/service_placement";
import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";
import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { ServerId, ServiceId, VmId, ZoneId } from "@limpetford/domain/ids";

import type {
  PlacementRequest,
  PlacementVerdict,
} from "../ports/server_router.ts";
import { readServiceId } from "./demand_builder.ts";
import type { FleetState } from "./fleet_state.ts";
import type { PeerServingReport } from "./peer_serving_report.ts";

/** Dependencies and bounds of {@link ServiceBalancers}. */
export interface ServiceBalancersOptions {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly zone: ZoneId;
  /** Limits of the extra attempts for each service. */
  readonly retryBounds: RetryLimits;
  /** Least share of a service's sound servers that get requests, 0 to 1. */
  readonly minimumShare: number;
  /** Finds the rate limit that a server names, in requests per second. */
  readonly findRateLimit: (server: AnnouncedServer) => number | undefined;
}

/** A request that has asked for a slot. */
export interface PendingPlacement {
  readonly request: PlacementRequest;
  /** Monotonic time of the request. */
  readonly askedAtMs: number;
  resolve: (verdict: PlacementVerdict) => void;
}

/** Load balancer of one service. */
export type Balancer = ServicePlacement<PendingPlacement>;

/**
 * Keeps one load balancer for each configured service, with the servers that
 * the fleet's state lists.
 */
export class ServiceBalancers {
  readonly #options: ServiceBalancersOptions;
  readonly #services = new Map<ServiceId, Balancer>();
  readonly #serviceByServer = new Map<string, ServiceId>();
  #vmCount: number | undefined;

  /**
   * Creates balancers that follow the server list of the fleet's state.
   *
   * @param options - dependencies and bounds
   */
  constructor(options: ServiceBalancersOptions) {
    this.#options = options;
    options.state.subscribe(() => {
      this.#updateServers();
    });
  }

  /**
   * Lists the balancers of all services.
   *
   * @returns one for each configured service
   */
  list(): readonly Balancer[] {
    return [...this.#services.values()];
  }

  /**
   * Lists the balancers with the identifiers of their services.
   *
   * @returns one pair for each configured service
   */
  listByService(): readonly (readonly [ServiceId, Balancer])[] {
    return [...this.#services];
  }

  /**
   * Finds the balancer of a service.
   *
   * @param service - the service
   * @returns its balancer; undefined if it is not configured
   */
  findService(service: ServiceId): Balancer | undefined {
    return this.#services.get(service);
  }

  /**
   * Finds the service of a backend server.
   *
   * @param server - identifier of the server
   * @returns the service; undefined if the server is not known
   */
  findServiceOf(server: ServerId): ServiceId | undefined {
    return this.#serviceByServer.get(server);
  }

  /**
   * Finds the balancer of the service that an attempt is routed to.
   *
   * @param request - the attempt
   * @returns the balancer; undefined if the service is not configured
   */
  find(request: PlacementRequest): Balancer | undefined {
    return this.#services.get(readServiceId(request));
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
   * Counts the backend servers that want no requests from this VM.
   *
   * @returns number of servers over all services
   */
  countPaused(): number {
    const nowMs = this.#options.clock.readMonotonicMs();
    let count = 0;
    for (const service of this.#services.values()) {
      count += service.servers.countPaused(nowMs);
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
   * Lists this VM's in-flight requests at each backend server. Those on the way to
   * servers that it cannot reach keep no slots there.
   *
   * @returns server identifiers and counts, without servers that have none
   */
  listLoads(): readonly (readonly [string, number])[] {
    const reachable = this.list().filter(({ reach }) => !reach.isUnreachable);
    return reachable.flatMap((service) =>
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
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const service of this.#services.values()) {
      service.setPeerLoads(vm, report.loads, nowMs);
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

  #updateServers(): void {
    const { state, clock, ...options } = this.#options;
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
        new ServicePlacement<PendingPlacement>(options);
      service.setVmCount(this.#vmCount);
      service.setServers(servers, nowMs);
      this.#services.set(id, service);
    }
  }
}
