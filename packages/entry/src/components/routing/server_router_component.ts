/** Routing, evidence and ejection of one VM, with their messages. */

import type { EjectionDecision } from "@limpetford/core/ejection/ejection_decision";
import type { EjectionStatus } from "@limpetford/core/ejection/ejection_controller";
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
import { EvidenceAgent } from "../evidence/evidence_agent.ts";
import { EvidenceHolder } from "../evidence/evidence_holder.ts";
import { EvidenceLink } from "../evidence/evidence_link.ts";
import { EvidenceOutbox } from "../evidence/evidence_outbox.ts";
import { EvidenceReporter } from "../evidence/evidence_reporter.ts";
import { registerEvidenceService } from "../evidence/evidence_service.ts";
import { FleetServerRouter } from "./fleet_server_router.ts";
import { listServiceServers } from "./service_servers.ts";

const TICK_MS = 20;

/** What the component works with. */
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

/** State of a service for operators, ready for JSON. */
export interface ServiceStatus {
  /** How this VM uses the service. */
  readonly router: RouterStatus;
  /** Evidence and decisions at the holder, if it can be reached. */
  readonly holder: EjectionStatus | undefined;
  /** Slot time that probes from this VM have cost since its start. */
  readonly probeCostMs: number;
}

/**
 * Connects the routers of all services with the rest of a VM.
 */
export class ServerRouterComponent extends VmComponent {
  /** The choice of backend servers, for the serving path. */
  readonly router: ServerRouter;
  /** The state kept for shards held here. */
  readonly evidence: EvidenceHolder;
  readonly #options: ServerRouterComponentOptions;
  readonly #routers = new Map<ServiceId, ServiceRouter>();
  readonly #link: EvidenceLink;
  readonly #agent: EvidenceAgent;
  readonly #reporter: EvidenceReporter;
  readonly #quarantine = new QuarantineRegistry();
  #fleetText = "";
  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates the component and adds its service to the peer server.
   *
   * @param options - the parts it works with
   */
  constructor(options: ServerRouterComponentOptions) {
    super();
    this.#options = options;
    const { clock, configuration, fleet, ownership, channels } = options;
    const self = fleet.readSelf();
    const findRouter = (service: ServiceId): ServiceRouter =>
      this.#findRouter(service);
    this.#link = new EvidenceLink({ self, channels, ownership });
    this.router = new FleetServerRouter({
      clock,
      configuration,
      findRouter,
      describeService: (service) => ({
        router: findRouter(service).readStatus(),
        holder: this.#agent.readStatus(service),
        probeCostMs: this.#reporter.computeProbeCostMs(service),
      }),
      listQuarantined: () => this.listQuarantined(),
      withdrawQuarantine: (fingerprint) => this.withdrawQuarantine(fingerprint),
    });
    this.evidence = new EvidenceHolder({
      clock,
      configuration,
      ownership,
      readObeyed: (service) => this.#routers.get(service)?.readDecision(),
    });
    this.#agent = this.#createAgent();
    this.#reporter = new EvidenceReporter({
      clock,
      configuration,
      self,
      link: this.#link,
      agent: this.#agent,
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
   * Reads the state of a service, its holder's included.
   *
   * @param service - the service
   * @returns the state, ready for JSON
   */
  async readStatus(service: ServiceId): Promise<ServiceStatus> {
    return {
      router: this.#findRouter(service).readStatus(),
      holder: await this.#fetchHolderStatus(service),
      probeCostMs: this.#reporter.computeProbeCostMs(service),
    };
  }

  /**
   * Lists quarantined requests.
   *
   * @returns their fingerprints
   */
  listQuarantined(): readonly string[] {
    return this.#quarantine.listQuarantined();
  }

  /**
   * Releases a quarantined request, fleet-wide.
   *
   * @param fingerprint - the request
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
    const place = this.#link.findHolder(service);
    switch (place.kind) {
      case "here":
        return this.#agent.readStatus(service);
      case "there": {
        const json = await this.#link.fetchStatus(place.vm, service);
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
    this.#agent.advance();
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
    const text = this.#options.fleet.listMembers()
      .map((vm) => vm.incarnation.vm).join();
    if (text !== this.#fleetText) {
      this.#fleetText = text;
      this.#updateConfiguration();
    }
  }

  #createOutbox(service: ServiceId): EvidenceOutbox {
    return new EvidenceOutbox({
      service,
      link: this.#link,
      agent: this.#agent,
    });
  }

  #createAgent(): EvidenceAgent {
    const { clock, configuration, fleet } = this.#options;
    return new EvidenceAgent({
      clock,
      configuration,
      fleet,
      link: this.#link,
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
    const agent = this.#agent;
    registerEvidenceService(this.#options.server, {
      handleReport: (request) => agent.receiveReport(request),
      handleCrash: (request) => {
        agent.receiveCrash(toId<ServiceId>(request.service), {
          fingerprint: request.fingerprint,
          server: toId<ServerId>(request.server),
          vm: toId<VmId>(request.vm),
        });
      },
      handlePermit: (request) =>
        agent.acquirePermit(
          toId<ServiceId>(request.service),
          request.fingerprint,
        ),
      handleRelease: (request) => {
        agent.receiveRelease(toId<ServiceId>(request.service), request);
      },
      handleStatus: (service) => {
        const status = agent.readStatus(toId<ServiceId>(service));
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
