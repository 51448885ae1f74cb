/** Wires request routing, evidence reports and outlier ejection into a VM. */

import type { EjectionStatus } from "@limpetford/core/ejection/ejection_controller";
import type { EjectionDecision } from "@limpetford/core/ejection/ejection_decision";
import type { FactBus } from "@limpetford/core/gossip/fact_bus";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import type { OwnershipView } from "@limpetford/core/ownership/ownership_view";
import { QuarantineRegistry } from "@limpetford/core/quarantine/quarantine_registry";
import type { RouterStatus } from "@limpetford/core/routing/router_status";
import { ServiceRouter } from "@limpetford/core/routing/service_router";
import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";
import {
  type ServerId,
  type ServiceId,
  toId,
  type VmId,
} from "@limpetford/domain/ids";
import { decodeDecision } from "@limpetford/peer/evidence_codec";
import type { PeerChannels } from "@limpetford/peer/peer_channels";
import type { PeerServer } from "@limpetford/peer/peer_server";

import type { ConfigurationSource } from "../../ports/configuration_source.ts";
import type { ServerRouter } from "../../ports/server_router.ts";
import { VmComponent } from "../../ports/vm_component.ts";
import { EvidenceCoordinator } from "../evidence/evidence_coordinator.ts";
import { EvidenceHolder } from "../evidence/evidence_holder.ts";
import { EvidenceOutbox } from "../evidence/evidence_outbox.ts";
import { EvidenceReporter } from "../evidence/evidence_reporter.ts";
import { EvidenceRpcClient } from "../evidence/evidence_rpc_client.ts";
import { registerEvidenceService } from "../evidence/evidence_service.ts";
import { FleetServerRouter } from "./fleet_server_router.ts";
import { listServiceServers } from "./service_servers.ts";

const TICK_MS = 20;

/** Dependencies of a {@link ServerRouterComponent}. */
export interface ServerRouterComponentOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly configuration: ConfigurationSource;
  readonly fleet: FleetView;
  readonly ownership: OwnershipView;
  readonly facts: FactBus;
  readonly channels: PeerChannels;
  readonly server: PeerServer;
}

/** Status of a service for operators; can be serialized as JSON. */
export interface ServiceStatus {
  /** Servers, slots and ejections as this VM applies them. */
  readonly router: RouterStatus;
  /** Evidence and decisions of the shard's holder, if it is reachable. */
  readonly holder: EjectionStatus | undefined;
  /** Slot time that probes from this VM have used since it started, in ms. */
  readonly probeCostMs: number;
}

/**
 * Runs one {@link ServiceRouter} per service, reports the outcomes of attempts
 * to the shard holders and applies their ejection decisions.
 */
export class ServerRouterComponent extends VmComponent {
  /** Places requests on backend servers; used by the serving path. */
  readonly router: ServerRouter;
  /** Pooled evidence of the shards that this VM holds. */
  readonly evidence: EvidenceHolder;
  readonly #options: ServerRouterComponentOptions;
  readonly #routers = new Map<ServiceId, ServiceRouter>();
  readonly #evidenceClient: EvidenceRpcClient;
  readonly #evidenceCoordinator: EvidenceCoordinator;
  readonly #reporter: EvidenceReporter;
  readonly #quarantine = new QuarantineRegistry();
  #memberNames = "";
  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates the component and registers its RPC handlers at the peer server.
   *
   * @param options - the dependencies; the peer server must not be bound yet
   */
  constructor(options: ServerRouterComponentOptions) {
    super();
    this.#options = options;
    const { clock, configuration, fleet, ownership, channels } = options;
    const self = fleet.readSelf();
    const findRouter = (service: ServiceId): ServiceRouter =>
      this.#findRouter(service);
    this.#evidenceClient = new EvidenceRpcClient({ self, channels, ownership });
    this.router = new FleetServerRouter({
      clock,
      configuration,
      findRouter,
      describeService: (service) => ({
        router: findRouter(service).readStatus(),
        holder: this.#evidenceCoordinator.readStatus(service),
        probeCostMs: this.#reporter.computeProbeCostMs(service),
      }),
      listQuarantined: () => this.listQuarantined(),
      withdrawQuarantine: (fingerprint) => this.withdrawQuarantine(fingerprint),
    });
    this.evidence = new EvidenceHolder({
      clock,
      configuration,
      ownership,
      readAppliedDecision: (service) =>
        this.#routers.get(service)?.readDecision(),
    });
    this.#evidenceCoordinator = this.#createCoordinator();
    this.#reporter = new EvidenceReporter({
      clock,
      configuration,
      self,
      client: this.#evidenceClient,
      coordinator: this.#evidenceCoordinator,
    });
    this.#registerService();
    configuration.subscribe(() => {
      this.#updateConfiguration();
    });
    options.facts.subscribe((fact) => {
      if (fact.kind === "request-quarantined") {
        this.#quarantine.apply(fact);
      } else if (fact.kind === "server-leaving") {
        this.#updateConfiguration();
      }
    });
  }

  override start(): Promise<void> {
    this.#timer = setInterval(() => {
      this.#advance();
    }, TICK_MS);
    return Promise.resolve();
  }

  override drain(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    clearInterval(this.#timer);
    return Promise.resolve();
  }

  /**
   * Reads the status of a service and fetches that of the shard's holder.
   *
   * @param service - service to describe
   * @returns the status, which can be serialized as JSON
   */
  async readStatus(service: ServiceId): Promise<ServiceStatus> {
    return {
      router: this.#findRouter(service).readStatus(),
      holder: await this.#fetchHolderStatus(service),
      probeCostMs: this.#reporter.computeProbeCostMs(service),
    };
  }

  /**
   * Lists the requests that are refused because they have crashed servers.
   *
   * @returns fingerprints of the quarantined requests
   */
  listQuarantined(): readonly string[] {
    return this.#quarantine.listQuarantined();
  }

  /**
   * Releases a request from quarantine on all VMs.
   *
   * @param fingerprint - fingerprint of the request to release
   * @returns true if it was quarantined
   */
  withdrawQuarantine(fingerprint: string): boolean {
    if (!this.#quarantine.isQuarantined(fingerprint)) {
      return false;
    }
    const fact = this.#quarantine.buildFact(fingerprint, true);
    this.#options.facts.publish(fact);
    return true;
  }

  async #fetchHolderStatus(
    service: ServiceId,
  ): Promise<EjectionStatus | undefined> {
    const location = this.#evidenceClient.findHolder(service);
    switch (location.kind) {
      case "here":
        return this.#evidenceCoordinator.readStatus(service);
      case "there": {
        const json = await this.#evidenceClient.fetchStatus(
          location.vm,
          service,
        );
        return json === undefined
          ? undefined
          : JSON.parse(json) as EjectionStatus;
      }
      case "unknown":
        return undefined;
    }
  }

  #advance(): void {
    this.#updateFleet();
    this.#evidenceCoordinator.advance();
    for (const [service, router] of this.#routers) {
      router.advance();
      this.#reporter.report(service, router);
    }
  }

  #findRouter(service: ServiceId): ServiceRouter {
    const known = this.#routers.get(service);
    if (known !== undefined) {
      return known;
    }
    const self = this.#options.fleet.readSelf();
    const router = new ServiceRouter({
      self: { vm: self.incarnation.vm, zone: self.zone },
      clock: this.#options.clock,
      random: this.#options.random,
      outbox: this.#createOutbox(service),
      quarantine: this.#quarantine,
    });
    this.#routers.set(service, router);
    this.#updateServers(service, router);
    return router;
  }

  #updateServers(id: ServiceId, router: ServiceRouter): void {
    const { configuration, fleet } = this.#options;
    const service = configuration.readConfiguration()?.services
      .find((candidate) => candidate.id === id);
    if (service === undefined) {
      return;
    }
    const users = fleet.listMembers().map((vm) => ({
      vm: vm.incarnation.vm,
      zone: vm.zone,
    }));
    router.setServers(service, listServiceServers(configuration, id), users);
  }

  #updateConfiguration(): void {
    for (const [service, router] of this.#routers) {
      this.#updateServers(service, router);
    }
    this.evidence.updateConfiguration();
  }

  #updateFleet(): void {
    const memberNames = this.#options.fleet.listMembers()
      .map((vm) => vm.incarnation.vm).join();
    if (memberNames !== this.#memberNames) {
      this.#memberNames = memberNames;
      this.#updateConfiguration();
    }
  }

  #createOutbox(service: ServiceId): EvidenceOutbox {
    return new EvidenceOutbox({
      service,
      client: this.#evidenceClient,
      coordinator: this.#evidenceCoordinator,
    });
  }

  #createCoordinator(): EvidenceCoordinator {
    const { clock, configuration, fleet } = this.#options;
    return new EvidenceCoordinator({
      clock,
      configuration,
      fleet,
      client: this.#evidenceClient,
      holder: this.evidence,
      applyDecision: (decision) => {
        this.#applyDecision(decision);
      },
      applySuspicion: (fingerprint, isSuspect) => {
        this.#applySuspicion(fingerprint, isSuspect);
      },
      quarantine: (fingerprint) => {
        const fact = this.#quarantine.buildFact(fingerprint, false);
        this.#options.facts.publish(fact);
      },
    });
  }

  #registerService(): void {
    const coordinator = this.#evidenceCoordinator;
    registerEvidenceService(this.#options.server, {
      handleReport: (request) => coordinator.receiveReport(request),
      handleCrash: (request) => {
        coordinator.receiveCrash(toId<ServiceId>(request.service), {
          fingerprint: request.fingerprint,
          server: toId<ServerId>(request.server),
          vm: toId<VmId>(request.vm),
        });
      },
      handlePermit: (request) =>
        coordinator.acquirePermit(
          toId<ServiceId>(request.service),
          request.fingerprint,
        ),
      handleRelease: (request) => {
        coordinator.receiveRelease(toId<ServiceId>(request.service), request);
      },
      handleStatus: (service) => {
        const status = coordinator.readStatus(toId<ServiceId>(service));
        return status === undefined ? undefined : JSON.stringify(status);
      },
      handleDecision: (message) => {
        this.#applyDecision(decodeDecision(message));
      },
      handleSuspicion: (request) => {
        this.#applySuspicion(request.fingerprint, request.isSuspect);
      },
    });
  }

  #applyDecision(decision: EjectionDecision): void {
    this.#routers.get(decision.service)?.applyDecision(decision);
  }

  #applySuspicion(fingerprint: string, isSuspect: boolean): void {
    if (isSuspect) {
      this.#quarantine.addSuspect(fingerprint);
    } else {
      this.#quarantine.removeSuspect(fingerprint);
    }
  }
}
