/** Reports this VM's evidence to the holders of the services' shards. */

import { ProbeSchedule } from "@limpetford/core/ejection/probe_schedule";
import { hashName } from "@limpetford/core/evidence/name_hash";
import type { ServiceRouter } from "@limpetford/core/routing/service_router";
import type { Clock } from "@limpetford/core/time/clock";
import type { ServerId, ServiceId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import {
  decodeDecision,
  encodeEvidence,
} from "@limpetford/peer/evidence_codec";
import type {
  ProbeResult,
  ReportReply,
  ReportRequest,
} from "@limpetford/peer/generated/evidence";

import type { ConfigurationSource } from "../../ports/configuration_source.ts";
import type { EvidenceCoordinator } from "./evidence_coordinator.ts";
import type { EvidenceRpcClient } from "./evidence_rpc_client.ts";
import { probeHealth } from "./health_prober.ts";

const MAX_REPORT_INTERVAL_MS = 5_000;

/** Dependencies of an {@link EvidenceReporter}. */
export interface EvidenceReporterOptions {
  readonly clock: Clock;
  readonly configuration: ConfigurationSource;
  readonly self: Vm;
  readonly client: EvidenceRpcClient;
  readonly coordinator: EvidenceCoordinator;
}

/**
 * Sends evidence that is due, and probes the health endpoints of the servers
 * that the schedule assigns to this VM.
 */
export class EvidenceReporter {
  readonly #options: EvidenceReporterOptions;
  readonly #schedules = new Map<ServiceId, ProbeSchedule>();
  readonly #probeResults = new Map<ServiceId, ProbeResult[]>();
  readonly #reportedAtMs = new Map<ServiceId, number>();

  /**
   * Creates a reporter without pending evidence.
   *
   * @param options - clock, configuration, RPC client and local coordinator
   */
  constructor(options: EvidenceReporterOptions) {
    this.#options = options;
  }

  /**
   * Sends a report if evidence is due, or if the last report is older than the
   * maximum interval. The reply proves to the router that the holder is alive,
   * and may contain a newer decision.
   *
   * @param service - service that the evidence is about
   * @param router - source of the evidence; receives the decision
   */
  report(service: ServiceId, router: ServiceRouter): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    this.#probeDue(service, router);
    const entries = router.takeEvidence();
    const probes = this.#probeResults.get(service) ?? [];
    const lastMs = this.#reportedAtMs.get(service) ?? Number.NEGATIVE_INFINITY;
    const isEmpty = entries.length === 0 && probes.length === 0;
    if (isEmpty && nowMs - lastMs < MAX_REPORT_INTERVAL_MS) {
      return;
    }
    this.#reportedAtMs.set(service, nowMs);
    this.#probeResults.delete(service);
    const decision = router.readDecision();
    this.#send(service, router, {
      service,
      vm: this.#options.self.incarnation.vm,
      zone: this.#options.self.zone,
      entries: entries.map(encodeEvidence),
      probes,
      epoch: decision?.epoch ?? 0,
      revision: decision?.revision ?? 0,
    });
  }

  /**
   * Computes the slot time that probes of a service's servers have used.
   *
   * @param service - service whose servers were probed
   * @returns total milliseconds since this VM started
   */
  computeProbeCostMs(service: ServiceId): number {
    return this.#schedules.get(service)?.computeCostMs() ?? 0;
  }

  #send(
    service: ServiceId,
    router: ServiceRouter,
    request: ReportRequest,
  ): void {
    const { client, coordinator } = this.#options;
    const location = client.findHolder(service);
    if (location.kind === "here") {
      applyReply(router, coordinator.receiveReport(request));
    } else if (location.kind === "there") {
      void client.sendReport(location.vm, request).then((reply) => {
        applyReply(router, reply);
      });
    }
  }

  #probeDue(service: ServiceId, router: ServiceRouter): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    const schedule = this.#findSchedule(service);
    for (const id of schedule.takeDue(router.readDecision(), nowMs)) {
      void this.#probe(service, id);
    }
  }

  #findSchedule(service: ServiceId): ProbeSchedule {
    const known = this.#schedules.get(service);
    if (known !== undefined) {
      return known;
    }
    const created = new ProbeSchedule(this.#options.self.incarnation.vm);
    this.#schedules.set(service, created);
    return created;
  }

  async #probe(service: ServiceId, id: ServerId): Promise<void> {
    const configuration = this.#options.configuration.readConfiguration();
    const server = configuration?.servers.find((other) => other.id === id);
    const path = configuration?.services
      .find((other) => other.id === service)?.healthPath;
    if (server === undefined || path === undefined) {
      return;
    }
    const isHealthy = await probeHealth(server, path);
    const results = this.#probeResults.get(service) ?? [];
    results.push({ server: hashName(id), isHealthy });
    this.#probeResults.set(service, results);
  }
}

function applyReply(
  router: ServiceRouter,
  reply: ReportReply | undefined,
): void {
  if (reply === undefined) {
    return;
  }
  router.recordContact();
  if (reply.decision !== undefined) {
    router.applyDecision(decodeDecision(reply.decision));
  }
}
