/** Handles the evidence protocol at the holder of a service's shard. */

import type { EjectionStatus } from "@limpetford/core/ejection/ejection_controller";
import type { EjectionDecision } from "@limpetford/core/ejection/ejection_decision";
import type { ServiceCoordinator } from "@limpetford/core/ejection/service_coordinator";
import { hashName } from "@limpetford/core/evidence/name_hash";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import type { CrashReport } from "@limpetford/core/quarantine/suspect_arbiter";
import type { PermitReply } from "@limpetford/core/routing/router_outbox";
import type { Clock } from "@limpetford/core/time/clock";
import { type ServiceId, toId, type VmId } from "@limpetford/domain/ids";
import { decodeReport, encodeDecision } from "@limpetford/peer/evidence_codec";
import type {
  ReportReply,
  ReportRequest,
} from "@limpetford/peer/generated/evidence";

import type { ConfigurationSource } from "../../ports/configuration_source.ts";
import type { EvidenceHolder } from "./evidence_holder.ts";
import type { EvidenceRpcClient } from "./evidence_rpc_client.ts";

/** Dependencies of an {@link EvidenceCoordinator}. */
export interface EvidenceCoordinatorOptions {
  readonly clock: Clock;
  readonly configuration: ConfigurationSource;
  readonly fleet: FleetView;
  readonly client: EvidenceRpcClient;
  readonly holder: EvidenceHolder;
  /** Applies an ejection decision to this VM's router. */
  readonly applyDecision: (decision: EjectionDecision) => void;
  /** Marks a request as suspect at this VM, or clears the mark. */
  readonly applySuspicion: (fingerprint: string, isSuspect: boolean) => void;
  /** Quarantines a request on all VMs. */
  readonly quarantine: (fingerprint: string) => void;
}

/** Result of a permitted run of a suspect that crashed no server. */
export interface PermittedRunResult {
  readonly fingerprint: string;
  /** True if the server responded to it. */
  readonly hasServed: boolean;
}

/**
 * Aggregates the reports of all VMs, and pushes the resulting decisions and
 * suspicions to the VMs that use the service.
 */
export class EvidenceCoordinator {
  readonly #options: EvidenceCoordinatorOptions;

  /**
   * Creates the coordinator.
   *
   * @param options - the holder's state, the RPC client and local callbacks
   */
  constructor(options: EvidenceCoordinatorOptions) {
    this.#options = options;
  }

  /**
   * Handles an evidence report.
   *
   * @param request - outcomes of attempts and probes at one VM
   * @returns the newest decision unless the sender has it; undefined if this
   *   VM may not act as holder
   */
  receiveReport(request: ReportRequest): ReportReply | undefined {
    const service = toId<ServiceId>(request.service);
    const held = this.#options.holder.findHeld(service);
    if (held === undefined) {
      return undefined;
    }
    const nowMs = this.#options.clock.readMonotonicMs();
    const names = this.#listNames(service);
    held.recordUser(toId<VmId>(request.vm), nowMs);
    held.ejections.receiveReport(decodeReport(request, names), nowMs);
    for (const probe of request.probes) {
      const server = names.servers.find((id) => hashName(id) === probe.server);
      if (server !== undefined) {
        held.ejections.receiveProbe(server, probe.isHealthy, nowMs);
      }
    }
    this.#advanceOne(held);
    const decision = held.ejections.readDecision(nowMs);
    const isKnown = decision.epoch === request.epoch &&
      decision.revision === request.revision;
    return { decision: isKnown ? undefined : encodeDecision(decision) };
  }

  /** Advances the ejection state of all services held here to now. */
  advance(): void {
    for (const held of this.#options.holder.listHeld()) {
      this.#advanceOne(held);
    }
  }

  /**
   * Handles a crash report: the request becomes suspect, or is quarantined after
   * crashes of different servers.
   *
   * @param service - service of the crashed server
   * @param report - the crashed server and the request that was in flight
   */
  receiveCrash(service: ServiceId, report: CrashReport): void {
    const held = this.#options.holder.findHeld(service);
    if (held === undefined) {
      return;
    }
    const nowMs = this.#options.clock.readMonotonicMs();
    const verdict = held.arbiter.recordCrash(report, nowMs);
    this.#sendSuspicion(held, report.fingerprint, true);
    if (verdict === "quarantined") {
      this.#options.quarantine(report.fingerprint);
    }
  }

  /**
   * Handles a request for a permit to run a suspect.
   *
   * @param service - service that the suspect is sent to
   * @param fingerprint - fingerprint of the suspect
   * @returns the verdict; `no-holder` if this VM may not act as holder
   */
  acquirePermit(service: ServiceId, fingerprint: string): PermitReply {
    const held = this.#options.holder.findHeld(service);
    const nowMs = this.#options.clock.readMonotonicMs();
    return held?.arbiter.acquirePermit(fingerprint, nowMs) ?? "no-holder";
  }

  /**
   * Handles the end of a permitted run. The suspicion ends if the server
   * responded.
   *
   * @param service - service that ran the suspect
   * @param result - the suspect, and whether the server responded to it
   */
  receiveRelease(service: ServiceId, result: PermittedRunResult): void {
    const held = this.#options.holder.findHeld(service);
    held?.arbiter.releasePermit(result.fingerprint, result.hasServed);
    if (held !== undefined && result.hasServed) {
      this.#sendSuspicion(held, result.fingerprint, false);
    }
  }

  /**
   * Reads the ejection status of a service held here.
   *
   * @param service - service to describe
   * @returns the status; undefined if this VM may not act as holder
   */
  readStatus(service: ServiceId): EjectionStatus | undefined {
    const nowMs = this.#options.clock.readMonotonicMs();
    return this.#options.holder.findHeld(service)?.ejections.readStatus(nowMs);
  }

  #advanceOne(held: ServiceCoordinator): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    const members = this.#options.fleet.listMembers();
    held.ejections.setVms(
      members.map((vm) => ({ vm: vm.incarnation.vm, zone: vm.zone })),
    );
    held.arbiter.expire(nowMs);
    if (!held.ejections.advance(nowMs)) {
      return;
    }
    const decision = held.ejections.readDecision(nowMs);
    const users = new Set(held.listUsers(nowMs));
    const self = this.#options.fleet.readSelf().incarnation.vm;
    for (const vm of members) {
      if (users.has(vm.incarnation.vm) && vm.incarnation.vm !== self) {
        void this.#options.client.sendDecision(vm, decision);
      }
    }
    this.#options.applyDecision(decision);
  }

  #sendSuspicion(
    held: ServiceCoordinator,
    fingerprint: string,
    isSuspect: boolean,
  ): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    const users = new Set(held.listUsers(nowMs));
    const request = { service: held.service, fingerprint, isSuspect };
    for (const vm of this.#options.fleet.listMembers()) {
      if (users.has(vm.incarnation.vm)) {
        void this.#options.client.sendSuspicion(vm, request);
      }
    }
    this.#options.applySuspicion(fingerprint, isSuspect);
  }

  #listNames(service: ServiceId): Parameters<typeof decodeReport>[1] {
    const configuration = this.#options.configuration.readConfiguration();
    return {
      servers: (configuration?.servers ?? [])
        .filter((server) => server.service === service)
        .map((server) => server.id),
      routes: (configuration?.routes ?? [])
        .filter((route) => route.service === service)
        .map((route) => route.id),
    };
  }
}
