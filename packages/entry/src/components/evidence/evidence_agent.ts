/** The holder's side of the evidence protocol at one VM. */

import type { EjectionDecision } from "@limpetford/core/ejection/ejection_decision";
import type { EjectionStatus } from "@limpetford/core/ejection/ejection_controller";
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
import type { EvidenceLink } from "./evidence_link.ts";

/** What the agent works with. */
export interface EvidenceAgentOptions {
  readonly clock: Clock;
  readonly configuration: ConfigurationSource;
  readonly fleet: FleetView;
  readonly link: EvidenceLink;
  readonly holder: EvidenceHolder;
  /** Applies a decision at this VM. */
  readonly applyDecision: (decision: EjectionDecision) => void;
  /** Applies a suspicion or its end at this VM. */
  readonly applySuspicion: (fingerprint: string, isSuspect: boolean) => void;
  /** Quarantines a request fleet-wide. */
  readonly quarantine: (fingerprint: string) => void;
}

/** End of a permitted run that crashed nothing. */
export interface PermittedRunEnd {
  readonly fingerprint: string;
  /** True if the server answered it. */
  readonly hasServed: boolean;
}

/**
 * Pools reports, and tells the VMs that use a service what follows.
 */
export class EvidenceAgent {
  readonly #options: EvidenceAgentOptions;

  /**
   * Connects the holder's state with the fleet.
   *
   * @param options - state, links and what to do at this VM
   */
  constructor(options: EvidenceAgentOptions) {
    this.#options = options;
  }

  /**
   * Receives evidence.
   *
   * @param request - the report
   * @returns the newest decision if the sender lacks it; undefined if this VM
   *   may not act as holder
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

  /** Advances time at all services held here. */
  advance(): void {
    for (const held of this.#options.holder.listHeld()) {
      this.#advanceOne(held);
    }
  }

  /**
   * Receives word of a crash.
   *
   * @param service - the service
   * @param notice - the request in flight and the server
   */
  receiveCrash(service: ServiceId, notice: CrashReport): void {
    const held = this.#options.holder.findHeld(service);
    if (held === undefined) {
      return;
    }
    const nowMs = this.#options.clock.readMonotonicMs();
    const verdict = held.arbiter.recordCrash(notice, nowMs);
    this.#sendSuspicion(held, notice.fingerprint, true);
    if (verdict === "quarantined") {
      this.#options.quarantine(notice.fingerprint);
    }
  }

  /**
   * Answers a VM that would run a suspect.
   *
   * @param service - the service
   * @param fingerprint - the suspect
   * @returns the verdict
   */
  acquirePermit(service: ServiceId, fingerprint: string): PermitReply {
    const held = this.#options.holder.findHeld(service);
    const nowMs = this.#options.clock.readMonotonicMs();
    return held?.arbiter.acquirePermit(fingerprint, nowMs) ?? "no-holder";
  }

  /**
   * Receives the end of a permitted run.
   *
   * @param service - the service
   * @param end - the suspect, and whether the server answered it
   */
  receiveRelease(service: ServiceId, end: PermittedRunEnd): void {
    const held = this.#options.holder.findHeld(service);
    held?.arbiter.releasePermit(end.fingerprint, end.hasServed);
    if (held !== undefined && end.hasServed) {
      this.#sendSuspicion(held, end.fingerprint, false);
    }
  }

  /**
   * Reads the evidence on a service held here.
   *
   * @param service - the service
   * @returns the state, or undefined if this VM is not the holder
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
        void this.#options.link.sendDecision(vm, decision);
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
        void this.#options.link.sendSuspicion(vm, request);
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
