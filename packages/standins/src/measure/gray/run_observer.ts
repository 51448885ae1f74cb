/** Observes excluded servers, remaining capacity and request outcomes. */

import type { SlotUser } from "@limpetford/core/routing/home_slots";
import type { ServerId } from "@limpetford/domain/ids";
import type { BackendServer } from "@limpetford/domain/service";

import type { FaultModel, GrayPeriod } from "./fault_model.ts";
import type { FleetPolicy } from "./fleet_policy.ts";
import type { RequestOutcome } from "./request_driver.ts";
import type { TeamResult, TimelinePoint } from "./run_result.ts";
import type { SimulatedRequest, TrafficTeam } from "./traffic.ts";

/** Interval between two points of the timeline. */
const TIMELINE_INTERVAL_MS = 100;
/** Sliding window of the timeline's latency percentile. */
const LATENCY_WINDOW_MS = 1_000;

/** Policy, faults and callers of the observed run. */
export interface RunObserverOptions {
  readonly policy: FleetPolicy;
  readonly faults: FaultModel;
  readonly vms: readonly SlotUser[];
  /** Indexes of the VMs that callers use. */
  readonly usedVms: readonly number[];
  readonly teams: readonly TrafficTeam[];
  /** Onset of the first fault, in milliseconds. */
  readonly onsetMs: number;
}

/** Counts of one team's requests; latencies only of served ones. */
interface TeamRecord {
  sent: number;
  served: number;
  readonly latenciesMs: number[];
}

/**
 * Collects the metrics of one run.
 */
export class RunObserver {
  readonly #options: RunObserverOptions;
  readonly #periods: readonly GrayPeriod[];
  readonly #detectedMs = new Map<GrayPeriod, number>();
  readonly #previouslyExcluded = new Map<number, ReadonlySet<ServerId>>();
  readonly #teams = new Map<string, TeamRecord>();
  readonly #recentLatencies: {
    readonly atMs: number;
    readonly latencyMs: number;
  }[] = [];
  readonly #timeline: TimelinePoint[] = [];
  /** Smallest share of slots that any VM has kept in rotation. */
  leastCapacity = 1;
  /** Unjustified exclusions, averaged over the VMs that callers use. */
  falseEjections = 0;
  /** Requests refused although their team was within its rate. */
  wrongfulRefusals = 0;
  /** Requests whose team was within its rate. */
  withinRate = 0;

  /**
   * Creates an observer with all counters at zero.
   *
   * @param options - policy, faults and callers to observe
   */
  constructor(options: RunObserverOptions) {
    this.#options = options;
    this.#periods = options.faults.listGrayPeriods();
  }

  /**
   * Samples which servers each VM excludes.
   *
   * @param servers - servers that may get new requests
   * @param nowMs - monotonic time in milliseconds
   */
  observe(servers: readonly BackendServer[], nowMs: number): void {
    const sets = this.#options.usedVms.map((vm) => ({
      vm,
      excluded: this.#options.policy.listExcluded(vm),
    }));
    for (const period of this.#periods) {
      const isExcludedByAll = sets.every(({ excluded }) =>
        excluded.has(period.server)
      );
      const isDetected = nowMs >= period.onsetMs && isExcludedByAll;
      if (isDetected && !this.#detectedMs.has(period)) {
        this.#detectedMs.set(period, nowMs - period.onsetMs);
      }
    }
    const capacity = Math.min(
      ...sets.map(({ excluded }) => computeCapacity(servers, excluded)),
    );
    this.leastCapacity = Math.min(this.leastCapacity, capacity);
    for (const { vm, excluded } of sets) {
      this.#countFalseEjections({ vm, excluded, servers, nowMs });
    }
    if (nowMs % TIMELINE_INTERVAL_MS === 0) {
      this.#addPoint(sets.map(({ excluded }) => excluded), capacity, nowMs);
    }
  }

  /**
   * Records the outcome of a request for its team.
   *
   * @param request - finished request
   * @param outcome - how it ended for its caller
   * @param latencyMs - latency in milliseconds
   */
  record(
    request: SimulatedRequest,
    outcome: RequestOutcome,
    latencyMs: number,
  ): void {
    if (request.isWithinRate) {
      this.withinRate += 1;
      this.wrongfulRefusals += outcome === "refused" ? 1 : 0;
    }
    const known = this.#teams.get(request.team);
    const team = known ?? { sent: 0, served: 0, latenciesMs: [] };
    this.#teams.set(request.team, team);
    team.sent += 1;
    if (outcome === "served") {
      team.served += 1;
      team.latenciesMs.push(latencyMs);
    }
  }

  /**
   * Records a latency for the timeline.
   *
   * @param latencyMs - latency in milliseconds
   * @param nowMs - monotonic time in milliseconds
   */
  recordLatency(latencyMs: number, nowMs: number): void {
    this.#recentLatencies.push({ atMs: nowMs, latencyMs });
  }

  /**
   * Lists the detection times of the gray servers.
   *
   * @returns milliseconds per gray server and fault; undefined if undetected
   */
  listDetections(): readonly (number | undefined)[] {
    return this.#periods.map((period) => this.#detectedMs.get(period));
  }

  /**
   * Lists the results of the teams that sent requests.
   *
   * @returns one result per team, sorted by id
   */
  listTeams(): readonly TeamResult[] {
    return [...this.#teams].map(([team, record]) => ({
      team,
      sent: record.sent,
      served: record.served,
      p99Ms: computeQuantile(record.latenciesMs, 0.99),
    })).sort((a, b) => a.team.localeCompare(b.team));
  }

  /**
   * Lists the points of the timeline.
   *
   * @returns one point every 100 ms, oldest first
   */
  listTimeline(): readonly TimelinePoint[] {
    return this.#timeline;
  }

  #countFalseEjections(observation: {
    readonly vm: number;
    readonly excluded: ReadonlySet<ServerId>;
    readonly servers: readonly BackendServer[];
    readonly nowMs: number;
  }): void {
    const { vm, excluded, servers, nowMs } = observation;
    const before = this.#previouslyExcluded.get(vm);
    this.#previouslyExcluded.set(vm, excluded);
    const user = this.#options.vms[vm];
    for (const id of excluded) {
      const server = servers.find((candidate) => candidate.id === id);
      if (before?.has(id) === true || server === undefined) {
        continue;
      }
      const isGray = this.#options.faults.isGray(id, nowMs);
      const isCut = user !== undefined &&
        this.#options.faults.describeLink(
            { index: vm, user },
            server,
            nowMs,
          ) !== "open";
      if (!isGray && !isCut) {
        this.falseEjections += 1 / this.#options.usedVms.length;
      }
    }
  }

  #addPoint(
    sets: readonly ReadonlySet<ServerId>[],
    capacity: number,
    nowMs: number,
  ): void {
    while (
      (this.#recentLatencies[0]?.atMs ?? nowMs) < nowMs - LATENCY_WINDOW_MS
    ) {
      this.#recentLatencies.shift();
    }
    const some = [...new Set(sets.flatMap((set) => [...set]))].sort();
    this.#timeline.push({
      atMs: nowMs,
      capacity,
      leftOutByAll: some.filter((id) => sets.every((set) => set.has(id))),
      leftOutBySome: some,
      p99Ms: computeQuantile(
        this.#recentLatencies.map(({ latencyMs }) => latencyMs),
        0.99,
      ),
    });
  }
}

/**
 * Computes a quantile.
 *
 * @param values - samples in any order
 * @param quantile - fraction from 0 to 1
 * @returns the sample at the quantile; 0 without samples
 */
export function computeQuantile(
  values: readonly number[],
  quantile: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(
    sorted.length - 1,
    Math.floor(quantile * sorted.length),
  );
  return sorted[index] ?? 0;
}

function computeCapacity(
  servers: readonly BackendServer[],
  excluded: ReadonlySet<ServerId>,
): number {
  let all = 0;
  let kept = 0;
  for (const server of servers) {
    all += server.slots;
    kept += excluded.has(server.id) ? 0 : server.slots;
  }
  return all === 0 ? 1 : kept / all;
}
