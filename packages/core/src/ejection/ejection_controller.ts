/** Ejection and readmission of a service's servers, at its shard's holder. */

import type { ServerId, ServiceId, VmId } from "@limpetford/domain/ids";
import type { BackendServer, Service } from "@limpetford/domain/service";
import murmurhash from "murmurhash";

import type {
  Accusation,
  ServerEvidenceStatus,
} from "../detection/accusation.ts";
import {
  PooledDetector,
  type PooledDetectorOptions,
} from "../detection/pooled_detector.ts";
import type { EvidenceReport } from "../evidence/evidence_report.ts";
import type { SlotUser } from "../routing/home_slots.ts";
import { AccusationChecks } from "./accusation_checks.ts";
import {
  type EjectionDecision,
  isOutOfRotation,
  SERVER_MODE,
  type ServerDecision,
} from "./ejection_decision.ts";
import { selectEjectable } from "./floor.ts";
import { type EncodedServerHealth, ServerHealth } from "./server_health.ts";

const PROBERS_PER_SERVER = 2;
const CHECKERS_PER_SERVER = 6;
const OWN_ZONE_PREFERENCE = 1_000;
const REFERENCE_INTERVAL_MS = 5_000;
const MAX_TRIAL_SHARE_OF_SLOW = 0.5;
const DISPLACEMENT_MARGIN = 0.3;

/** Settings of {@link EjectionHolder}. */
export interface EjectionHolderOptions {
  readonly service: Service;
  readonly epoch: number;
  /** Health of the servers at a predecessor. Default: all healthy. */
  readonly handedOver?: ReadonlyMap<ServerId, EncodedServerHealth>;
  /** Kind of sequential test. Default: CUSUM. */
  readonly buildStatistic?: PooledDetectorOptions["buildStatistic"];
}

/** State of a service at its holder, as operators see it. */
export interface EjectionStatus {
  readonly service: ServiceId;
  readonly evidence: readonly ServerEvidenceStatus[];
  readonly servers: readonly ServerDecision[];
  /** Accused servers that the floor keeps in use. */
  readonly spared: readonly Accusation[];
}

/**
 * Pools evidence and decides which servers are left out by all VMs.
 */
export class EjectionHolder {
  #service: Service;
  #servers: readonly BackendServer[] = [];
  #vms: readonly SlotUser[] = [];
  #spared: readonly Accusation[] = [];
  readonly #epoch: number;
  readonly #detector: PooledDetector;
  readonly #health = new Map<ServerId, ServerHealth>();
  readonly #handedOver: ReadonlyMap<ServerId, EncodedServerHealth>;
  #revision = 0;
  #referencesAtMs = Number.NEGATIVE_INFINITY;
  readonly #checks = new AccusationChecks();
  #referencesText = "[]";
  #hasTrialEnded = false;

  /**
   * Starts with the state of a predecessor, if any.
   *
   * @param options - the service, the epoch of ownership and the state
   */
  constructor(options: EjectionHolderOptions) {
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
   * Sets the service's record and servers. Leaving servers are not judged.
   *
   * @param service - the record
   * @param servers - its servers without those that are leaving
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
   * Sets the VMs among which probers are chosen.
   *
   * @param vms - the live VMs
   */
  setVms(vms: readonly SlotUser[]): void {
    this.#vms = vms;
  }

  /**
   * Receives the evidence of one VM.
   *
   * @param report - its report
   * @param nowMs - monotonic time
   */
  receiveReport(report: EvidenceReport, nowMs: number): void {
    this.#updateTrials(report, nowMs);
    this.#detector.observe(report, nowMs);
  }

  /**
   * Receives the answer of a server's health endpoint. It readmits nobody and
   * ejects nobody; a good one brings the next trial forward.
   *
   * @param server - the server
   * @param isHealthy - what the endpoint said
   * @param nowMs - monotonic time
   */

  receiveProbe(server: ServerId, isHealthy: boolean, nowMs: number): void {
    if (isHealthy) {
      this.#health.get(server)?.apply({ type: "probe-answered", nowMs });
    }
  }

  /**
   * Advances time and decides anew.
   *
   * @param nowMs - monotonic time
   * @returns true if all VMs should be told at once; newer references alone
   *   travel with the answers to reports
   */
  advance(nowMs: number): boolean {
    let hasChanged = this.#hasTrialEnded;
    this.#hasTrialEnded = false;
    for (const health of this.#health.values()) {
      hasChanged = health.apply({ type: "time-passed", nowMs }) || hasChanged;
    }
    hasChanged = this.#applyAccusations(nowMs) || hasChanged;
    if (hasChanged || this.#hasNewReferences(nowMs)) {
      this.#revision += 1;
    }
    return hasChanged;
  }

  /**
   * Reads the decision in force.
   *
   * @param nowMs - monotonic time
   * @returns the decision
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
   * @param nowMs - monotonic time
   * @returns evidence and decisions
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
   * @returns state and context per server
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

  #applyAccusations(nowMs: number): boolean {
    const all = this.#detector.listAccused(nowMs);
    const hasNewCheck = this.#beginChecks(all, nowMs);
    const accused = this.#checks.listStanding(all, nowMs);
    const out = this.#listDecisions(nowMs)
      .filter(isOutOfRotation);
    const candidates = [
      ...out.map(({ server, severity }) => ({
        server,
        rank: severity + DISPLACEMENT_MARGIN,
      })),
      ...accused.map(({ server, severity }) => ({ server, rank: severity })),
    ].sort((a, b) => b.rank - a.rank || a.server.localeCompare(b.server));
    const allowed = selectEjectable(
      this.#servers,
      candidates.map(({ server }) => server),
      this.#service.floor,
    );
    this.#spared = accused.filter(({ server }) => !allowed.has(server));
    const hasSpared = this.#releaseRest(out, { allowed, nowMs });
    const hasEjected = this.#ejectAllowed(accused, { allowed, nowMs });
    return hasSpared || hasEjected || hasNewCheck;
  }

  #beginChecks(accused: readonly Accusation[], nowMs: number): boolean {
    const suspected = this.#detector.listSuspected(nowMs)
      .map(({ server }) => server)
      .filter((server) => this.#health.get(server)?.readState() !== "ejected");
    return this.#checks.begin(suspected, accused, nowMs);
  }

  #ejectAllowed(
    accused: readonly Accusation[],
    bounds: { readonly allowed: ReadonlySet<ServerId>; readonly nowMs: number },
  ): boolean {
    let hasChanged = false;
    for (const { server, alternative, severity } of accused) {
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

  #releaseRest(
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
