/** Ejection and readmission of a service's servers, on its shard's holder. */

import type { ServerId, ServiceId, VmId } from "@limpetford/domain/ids";
import type { BackendServer, Service } from "@limpetford/domain/service";
import murmurhash from "murmurhash";

import type {
  GrayDetection,
  ServerEvidenceStatus,
} from "../detection/gray_detection.ts";
import {
  PooledDetector,
  type PooledDetectorOptions,
} from "../detection/pooled_detector.ts";
import type { EvidenceReport } from "../evidence/evidence_report.ts";
import type { SlotUser } from "../routing/home_slots.ts";
import { DetectionConfirmation } from "./detection_confirmation.ts";
import {
  type EjectionDecision,
  isOutOfRotation,
  SERVER_MODE,
  type ServerDecision,
} from "./ejection_decision.ts";
import { selectEjectable } from "./floor.ts";
import { type EncodedServerHealth, ServerHealth } from "./server_health.ts";

const PROBERS_PER_SERVER = 2;
// VMs that send requests to a server while it is checked.
const CHECKERS_PER_SERVER = 6;
// Factor on the hash of VMs in the server's zone, which are chosen first.
const OWN_ZONE_PREFERENCE = 1_000;
const REFERENCE_INTERVAL_MS = 5_000;
const MAX_TRIAL_SHARE_OF_SLOW = 0.5;
// An ejected server returns to rotation to make room under the floor only for
// a server whose severity is higher by this.
const DISPLACEMENT_MARGIN = 0.3;

/** Settings of {@link EjectionController}. */
export interface EjectionControllerOptions {
  readonly service: Service;
  /** Epoch of the shard's ownership, under which decisions are issued. */
  readonly epoch: number;
  /** Health of the servers at the previous holder. Default: all healthy. */
  readonly handedOver?: ReadonlyMap<ServerId, EncodedServerHealth>;
  /** Builds the statistic of the sequential tests. Default: CUSUM. */
  readonly buildStatistic?: PooledDetectorOptions["buildStatistic"];
}

/** State of a service on its shard's holder, as operators see it. */
export interface EjectionStatus {
  readonly service: ServiceId;
  readonly evidence: readonly ServerEvidenceStatus[];
  readonly servers: readonly ServerDecision[];
  /** Detected gray servers that the floor keeps in rotation. */
  readonly spared: readonly GrayDetection[];
}

/**
 * Pools the evidence of all VMs and decides which servers they eject.
 */
export class EjectionController {
  #service: Service;
  #servers: readonly BackendServer[] = [];
  #vms: readonly SlotUser[] = [];
  #spared: readonly GrayDetection[] = [];
  readonly #epoch: number;
  readonly #detector: PooledDetector;
  readonly #health = new Map<ServerId, ServerHealth>();
  readonly #handedOver: ReadonlyMap<ServerId, EncodedServerHealth>;
  #revision = 0;
  #referencesAtMs = Number.NEGATIVE_INFINITY;
  readonly #checks = new DetectionConfirmation();
  #referencesText = "[]";
  #hasTrialEnded = false;

  /**
   * Creates a controller, from the state of the previous holder if given.
   *
   * @param options - service, epoch of ownership and earlier state
   */
  constructor(options: EjectionControllerOptions) {
    this.#service = options.service;
    this.#epoch = options.epoch;
    this.#handedOver = options.handedOver ?? new Map();
    this.#detector = new PooledDetector({
      falseEjectionsPerServerDay: options.service.falseEjectionsPerServerDay,
      ...(options.buildStatistic === undefined
        ? {}
        : { buildStatistic: options.buildStatistic }),
    });
  }

  /**
   * Sets the service's settings and servers. Leaving servers are never ejected.
   *
   * @param service - configured service
   * @param servers - servers of the service except those that are leaving
   */
  setServers(service: Service, servers: readonly BackendServer[]): void {
    this.#service = service;
    this.#servers = servers;
    this.#detector.setFalseEjections(service.falseEjectionsPerServerDay);
    this.#detector.setServers(servers);
    const wanted = new Set(servers.map((server) => server.id));
    for (const id of [...this.#health.keys()]) {
      if (!wanted.has(id)) {
        this.#health.delete(id);
      }
    }
    for (const id of wanted) {
      if (!this.#health.has(id)) {
        this.#health.set(id, new ServerHealth(this.#handedOver.get(id)));
      }
    }
  }

  /**
   * Sets the VMs from which probers are chosen.
   *
   * @param vms - all live VMs with their zones
   */
  setVms(vms: readonly SlotUser[]): void {
    this.#vms = vms;
  }

  /**
   * Receives the evidence of one VM.
   *
   * @param report - observations since the VM's last report
   * @param nowMs - monotonic time in milliseconds
   */
  receiveReport(report: EvidenceReport, nowMs: number): void {
    this.#updateTrials(report, nowMs);
    this.#detector.observe(report, nowMs);
  }

  /**
   * Receives the result of a health probe. It neither readmits nor ejects a
   * server; a healthy result brings the next trial forward.
   *
   * @param server - probed server
   * @param isHealthy - true if the health endpoint reported the server healthy
   * @param nowMs - monotonic time in milliseconds
   */
  receiveProbe(server: ServerId, isHealthy: boolean, nowMs: number): void {
    if (isHealthy) {
      this.#health.get(server)?.apply({ type: "probe-answered", nowMs });
    }
  }

  /**
   * Applies elapsed time and new evidence to the health of all servers.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns true if all VMs should get the decision at once; changed reference
   *   latencies alone are sent with the replies to reports
   */
  advance(nowMs: number): boolean {
    let hasChanged = this.#hasTrialEnded;
    this.#hasTrialEnded = false;
    for (const health of this.#health.values()) {
      hasChanged = health.apply({ type: "time-passed", nowMs }) || hasChanged;
    }
    hasChanged = this.#applyDetections(nowMs) || hasChanged;
    if (hasChanged || this.#hasNewReferences(nowMs)) {
      this.#revision += 1;
    }
    return hasChanged;
  }

  /**
   * Reads the current decision.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns decision with ages of its entries relative to the given time
   */
  readDecision(nowMs: number): EjectionDecision {
    return {
      service: this.#service.id,
      epoch: this.#epoch,
      revision: this.#revision,
      servers: this.#listDecisions(nowMs),
      references: this.#detector.listReferences(),
    };
  }

  /**
   * Reads the state for operators.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns evidence, decisions and servers spared by the floor
   */
  readStatus(nowMs: number): EjectionStatus {
    return {
      service: this.#service.id,
      evidence: this.#detector.readStatus(nowMs),
      servers: this.#listDecisions(nowMs),
      spared: this.#spared,
    };
  }

  /**
   * Encodes the health of all servers for a handover.
   *
   * @returns state and context of each server's state machine
   */
  encodeHealth(): ReadonlyMap<ServerId, EncodedServerHealth> {
    return new Map(
      [...this.#health].map(([id, health]) => [id, {
        state: health.readState(),
        context: health.readContext(),
      }]),
    );
  }

  #hasNewReferences(nowMs: number): boolean {
    if (nowMs - this.#referencesAtMs < REFERENCE_INTERVAL_MS) {
      return false;
    }
    this.#referencesAtMs = nowMs;
    const references = this.#detector.listReferences();
    const text = JSON.stringify(references);
    const isNew = text !== this.#referencesText;
    this.#referencesText = text;
    return isNew;
  }

  #updateTrials(report: EvidenceReport, nowMs: number): void {
    for (const entry of report.entries) {
      const health = this.#health.get(entry.server);
      if (health?.readState() !== "trial") {
        continue;
      }
      const [fast, slow, verySlow, bad] = this.#detector.countClasses(entry);
      const all = fast + slow + verySlow + bad;
      const isSlow = verySlow > MAX_TRIAL_SHARE_OF_SLOW * all;
      if (bad > 0 || isSlow) {
        health.apply({ type: "trial-failed", nowMs });
        this.#detector.clear(entry.server);
        this.#hasTrialEnded = true;
        continue;
      }
      for (let count = 0; count < fast + slow; count += 1) {
        const isOver = health.apply({ type: "trial-succeeded", nowMs });
        this.#hasTrialEnded ||= isOver;
      }
    }
  }

  #applyDetections(nowMs: number): boolean {
    const all = this.#detector.listDetected(nowMs);
    const hasNewCheck = this.#beginChecks(all, nowMs);
    const detected = this.#checks.listConfirmed(all, nowMs);
    const out = this.#listDecisions(nowMs)
      .filter(isOutOfRotation);
    const candidates = [
      ...out.map(({ server, severity }) => ({
        server,
        rank: severity + DISPLACEMENT_MARGIN,
      })),
      ...detected.map(({ server, severity }) => ({ server, rank: severity })),
    ].sort((a, b) => b.rank - a.rank || a.server.localeCompare(b.server));
    const allowed = selectEjectable(
      this.#servers,
      candidates.map(({ server }) => server),
      this.#service.floor,
    );
    this.#spared = detected.filter(({ server }) => !allowed.has(server));
    const hasSpared = this.#returnSpared(out, { allowed, nowMs });
    const hasEjected = this.#ejectDetected(detected, { allowed, nowMs });
    return hasSpared || hasEjected || hasNewCheck;
  }

  #beginChecks(detected: readonly GrayDetection[], nowMs: number): boolean {
    const suspected = this.#detector.listSuspected(nowMs)
      .map(({ server }) => server)
      .filter((server) => this.#health.get(server)?.readState() !== "ejected");
    return this.#checks.begin(suspected, detected, nowMs);
  }

  #ejectDetected(
    detected: readonly GrayDetection[],
    bounds: { readonly allowed: ReadonlySet<ServerId>; readonly nowMs: number },
  ): boolean {
    let hasChanged = false;
    for (const { server, alternative, severity } of detected) {
      if (bounds.allowed.has(server)) {
        const health = this.#health.get(server);
        const isNew = health?.apply({
          type: "accused",
          severity,
          alternative,
          nowMs: bounds.nowMs,
        }) ?? false;
        hasChanged ||= isNew;
        this.#detector.clear(server);
      }
    }
    return hasChanged;
  }

  #returnSpared(
    out: readonly ServerDecision[],
    bounds: { readonly allowed: ReadonlySet<ServerId>; readonly nowMs: number },
  ): boolean {
    let hasChanged = false;
    for (const { server } of out) {
      if (!bounds.allowed.has(server)) {
        const event = { type: "spared", nowMs: bounds.nowMs } as const;
        const isNew = this.#health.get(server)?.apply(event) ?? false;
        hasChanged ||= isNew;
      }
    }
    return hasChanged;
  }

  #listDecisions(nowMs: number): readonly ServerDecision[] {
    const decisions: ServerDecision[] = [];
    for (const [server, health] of this.#health) {
      const state = health.readState();
      const isChecked = this.#checks.isChecked(server);
      if (state === "healthy" && !isChecked) {
        continue;
      }
      const mode = state === "healthy" ? SERVER_MODE.checking : state;
      const context = health.readContext();
      decisions.push({
        server,
        mode,
        severity: context.severity,
        reason: context.alternative,
        ageMs: nowMs - context.changedAtMs,
        probers: this.#chooseProbers(
          server,
          mode === SERVER_MODE.checking
            ? CHECKERS_PER_SERVER
            : PROBERS_PER_SERVER,
        ),
        strikes: context.strikes,
      });
    }
    return decisions.sort((a, b) =>
      b.severity - a.severity || a.server.localeCompare(b.server)
    );
  }

  #chooseProbers(server: ServerId, count: number): readonly VmId[] {
    const zone = this.#servers.find((other) => other.id === server)?.zone;
    return this.#vms
      .map((user) => ({
        vm: user.vm,
        score: murmurhash.v3(`${server}#${user.vm}`) *
          (user.zone === zone ? OWN_ZONE_PREFERENCE : 1),
      }))
      .sort((a, b) => b.score - a.score || a.vm.localeCompare(b.vm))
      .slice(0, count)
      .map(({ vm }) => vm);
  }
}
