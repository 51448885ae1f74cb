/** Detection of gray servers from the pooled evidence of all VMs. */

import type { ServerId, VmId, ZoneId } from "@limpetford/domain/ids";

import type {
  EvidenceReport,
  RouteEvidence,
  RouteReference,
} from "../evidence/evidence_report.ts";
import { DecayingHistogram } from "./decaying_histogram.ts";
import { computeThreshold } from "./detection_threshold.ts";
import type { GrayDetection, ServerEvidenceStatus } from "./gray_detection.ts";
import { computeLogLikelihoodRatio } from "./log_likelihood.ts";
import {
  GRAY_ALTERNATIVES,
  OBSERVATION,
  type ObservationMix,
  OBSERVATIONS,
} from "./observation.ts";
import { PeerBaselines } from "./peer_baseline.ts";
import { RouteBaselines } from "./route_baselines.ts";
import {
  computeRate,
  findWorstScore,
  isSlownessCommon,
  RATE_TIME_CONSTANT_MS,
  type ServerRecord,
} from "./server_record.ts";
import { CusumStatistic, type ServerStatistic } from "./server_statistic.ts";

// Servers may be slow after a restart, so slowness isn't tested for this time.
const WARM_UP_MS = 30_000;
const MIN_RECENT_MS = 400;
const MAX_RECENT_MS = 60_000;
const RECENT_OBSERVATIONS_PER_SERVER = 8;
const MIN_ZONE_DECAY_MS = 3_000;
const ZONE_DECAY_OBSERVATIONS = 20;
// Log-likelihood ratios are scaled down, as observations aren't independent.
const DEPENDENCE_WEIGHT = 0.75;
// Latencies of servers with a higher score don't enter the route baselines.
const MAX_REFERENCE_SCORE = 4;
const MIN_LISTED_SCORE = 5;
const MIN_FAULT_RATIO = 0.5;
const SUSPICION_THRESHOLD_SHARE = 0.4;
const SLOW_THRESHOLD_SHARE = 0.2;

/** A server whose evidence is tested. */
export interface MonitoredServer {
  readonly id: ServerId;
  readonly zone: ZoneId;
}

/** Settings of {@link PooledDetector}. */
export interface PooledDetectorOptions {
  /** Accepted rate, from which the detection threshold follows. */
  readonly falseEjectionsPerServerDay: number;
  /** Builds the test statistic of a server and alternative. Default: CUSUM. */
  readonly buildStatistic?: (ownZone: ZoneId) => ServerStatistic;
}

interface Reporter {
  readonly vm: VmId;
  readonly zone: ZoneId;
  readonly nowMs: number;
}

/**
 * Runs one sequential test per server and gray alternative, relative to the
 * service's other servers.
 */
export class PooledDetector {
  #falseEjectionsPerServerDay: number;
  readonly #buildStatistic: (ownZone: ZoneId) => ServerStatistic;
  readonly #records = new Map<ServerId, ServerRecord>();
  readonly #recent = new Map<ServerId, DecayingHistogram>();
  readonly #baselines: PeerBaselines;
  readonly #routes = new RouteBaselines();

  /**
   * Creates a detector without servers and evidence.
   *
   * @param options - accepted false-ejection rate and kind of test statistic
   */
  constructor(options: PooledDetectorOptions) {
    this.#falseEjectionsPerServerDay = options.falseEjectionsPerServerDay;
    this.#baselines = new PeerBaselines(
      this.#recent,
      () => this.#computeRecentMs(),
    );
    this.#buildStatistic = options.buildStatistic ??
      ((ownZone) => new CusumStatistic(ownZone));
  }

  /**
   * Sets the accepted rate of false ejections.
   *
   * @param perServerDay - accepted false ejections per server and day
   */
  setFalseEjections(perServerDay: number): void {
    this.#falseEjectionsPerServerDay = perServerDay;
  }

  /**
   * Sets the monitored servers and drops the evidence of all others.
   *
   * @param servers - all servers of the service that may be ejected
   */
  setServers(servers: readonly MonitoredServer[]): void {
    const wanted = new Set(servers.map((server) => server.id));
    for (const id of [...this.#records.keys()]) {
      if (!wanted.has(id)) {
        this.#records.delete(id);
        this.#recent.delete(id);
        this.#baselines.remove(id);
      }
    }
    for (const server of servers) {
      if (!this.#records.has(server.id)) {
        this.#addServer(server);
      }
    }
  }

  /**
   * Adds the evidence of one VM.
   *
   * @param report - observations since the VM's last report
   * @param nowMs - monotonic time in milliseconds
   */
  observe(report: EvidenceReport, nowMs: number): void {
    const counts = report.entries
      .filter((entry) => this.#records.has(entry.server))
      .map((entry) => ({ entry, counts: this.countClasses(entry) }));
    for (const { entry, counts: values } of counts) {
      const record = this.#records.get(entry.server);
      if (record !== undefined && entry.outcomes.refused > 0) {
        record.restartedAtMs = nowMs;
      }
      this.#addToHistograms(entry.server, values, nowMs);
    }
    for (const { entry, counts: values } of counts) {
      const reporter = { vm: report.vm, zone: report.zone, nowMs };
      this.#addToStatistics(entry.server, values, reporter);
      this.#addToReferences(entry, nowMs);
    }
  }

  /**
   * Lists the servers whose score has crossed the detection threshold, except
   * where a network link may be at fault.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns detected gray servers, highest severity first
   */
  listDetected(nowMs: number): readonly GrayDetection[] {
    return this.#listAbove(1, nowMs).filter((status) => !status.isVouchedFor)
      .map((status) => ({
        server: status.server,
        alternative: status.alternative,
        isLatency: isLatencyAlternative(status.alternative),
        severity: status.faultShare,
      }))
      .sort((a, b) =>
        b.severity - a.severity || a.server.localeCompare(b.server)
      );
  }

  /**
   * Lists the servers whose score has crossed the lower suspicion threshold.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns test state of each suspected server
   */
  listSuspected(nowMs: number): readonly ServerEvidenceStatus[] {
    return this.#listAbove(SUSPICION_THRESHOLD_SHARE, nowMs);
  }

  #listAbove(share: number, nowMs: number): readonly ServerEvidenceStatus[] {
    const above: ServerEvidenceStatus[] = [];
    for (const [server, record] of this.#records) {
      if (findWorstScore(record) < MIN_LISTED_SCORE) {
        continue;
      }
      const status = this.#readStatus(server, nowMs);
      if (
        status !== undefined && status.score >= share * status.threshold &&
        this.#isPlausible(status)
      ) {
        above.push(status);
      }
    }
    return above;
  }

  /**
   * Reads the state of the tests of all servers.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns one status per server
   */
  readStatus(nowMs: number): readonly ServerEvidenceStatus[] {
    return [...this.#records.keys()]
      .map((server) => this.#readStatus(server, nowMs))
      .filter((status) => status !== undefined);
  }

  /**
   * Lists the reference latencies of the routes.
   *
   * @returns one reference per route with enough samples
   */
  listReferences(): readonly RouteReference[] {
    return this.#routes.listReferences();
  }

  /**
   * Resets the tests of a server, as after an ejection.
   *
   * @param server - server whose evidence is dropped
   */
  clear(server: ServerId): void {
    for (const { statistic } of this.#records.get(server)?.statistics ?? []) {
      statistic.clear();
    }
  }

  /**
   * Classifies the requests that one VM reports for a server and route.
   *
   * @param entry - latencies and outcomes of the requests
   * @returns number of requests per class
   */
  countClasses(entry: RouteEvidence): ObservationMix {
    const counts: [number, number, number, number] = [0, 0, 0, 0];
    for (const { bucket, count } of entry.latencies) {
      counts[this.#routes.findLatencyClass(entry.route, bucket)] += count;
    }
    const { outcomes } = entry;
    counts[OBSERVATION.verySlow] += outcomes.late + outcomes.overdue;
    counts[OBSERVATION.bad] += outcomes.failed + outcomes.refused +
      outcomes.reset + outcomes.cut + outcomes.timedOut;
    return counts;
  }

  #isWarmingUp(server: ServerId, nowMs: number): boolean {
    const record = this.#records.get(server);
    return record !== undefined &&
      nowMs - record.restartedAtMs < WARM_UP_MS;
  }

  #addServer({ id, zone }: MonitoredServer): void {
    const recent = new DecayingHistogram(MIN_RECENT_MS);
    this.#recent.set(id, recent);
    this.#records.set(id, {
      restartedAtMs: Number.NEGATIVE_INFINITY,
      recent,
      rate: new DecayingHistogram(RATE_TIME_CONSTANT_MS),
      statistics: GRAY_ALTERNATIVES.map((alternative) => ({
        alternative,
        statistic: this.#buildStatistic(zone),
      })),
    });
  }

  #addToHistograms(
    server: ServerId,
    counts: ObservationMix,
    nowMs: number,
  ): void {
    const record = this.#records.get(server);
    for (const observation of OBSERVATIONS) {
      const count = counts[observation];
      if (count > 0) {
        record?.recent.add(observation, count, nowMs);
        record?.rate.add(observation, count, nowMs);
      }
    }
  }

  #addToStatistics(
    server: ServerId,
    counts: ObservationMix,
    reporter: Reporter,
  ): void {
    const record = this.#records.get(server);
    if (record === undefined) {
      return;
    }
    const baseline = this.#baselines.findBaseline(server, reporter.nowMs);
    const rate = computeRate(record);
    const threshold = computeThreshold(
      rate,
      this.#falseEjectionsPerServerDay,
    );
    const isWarmingUp = this.#isWarmingUp(server, reporter.nowMs);
    for (const { alternative, statistic } of record.statistics) {
      if (isWarmingUp && alternative.isLatency) {
        statistic.clear();
        continue;
      }
      const logLikelihoodRatio = computeLogLikelihoodRatio(counts, {
        alternative,
        baseline,
      });
      if (logLikelihoodRatio === undefined) {
        statistic.clear();
      } else {
        statistic.add({
          ...reporter,
          counts,
          logLikelihoodRatio: DEPENDENCE_WEIGHT * logLikelihoodRatio,
          zoneDecayMs: Math.max(
            MIN_ZONE_DECAY_MS,
            1_000 * ZONE_DECAY_OBSERVATIONS / Math.max(rate, 0.01),
          ),
        }, threshold);
      }
    }
  }

  #addToReferences(entry: RouteEvidence, nowMs: number): void {
    const record = this.#records.get(entry.server);
    if (record !== undefined && findWorstScore(record) < MAX_REFERENCE_SCORE) {
      this.#routes.add(entry.route, entry.latencies, nowMs);
    }
  }

  // A score counts only with at least half of the faults that the alternative
  // predicts. Slowness of many servers at once is overload and doesn't count.
  #isPlausible(status: ServerEvidenceStatus): boolean {
    const alternative = GRAY_ALTERNATIVES.find((candidate) =>
      candidate.name === status.alternative
    );
    if (alternative === undefined) {
      return false;
    }
    const { mix, isLatency } = alternative;
    const expected = mix[OBSERVATION.verySlow] + mix[OBSERVATION.bad];
    const slowScore = SLOW_THRESHOLD_SHARE * status.threshold;
    return status.faultShare >= MIN_FAULT_RATIO * expected &&
      !(isLatency && isSlownessCommon(this.#records.values(), slowScore));
  }

  // Covers a few observations per server on average, within fixed limits.
  #computeRecentMs(): number {
    let rate = 0;
    for (const record of this.#records.values()) {
      rate += computeRate(record);
    }
    const wanted = RECENT_OBSERVATIONS_PER_SERVER * this.#records.size;
    return Math.min(
      MAX_RECENT_MS,
      Math.max(MIN_RECENT_MS, 1_000 * wanted / Math.max(rate, 0.01)),
    );
  }

  #readStatus(
    server: ServerId,
    nowMs: number,
  ): ServerEvidenceStatus | undefined {
    const record = this.#records.get(server);
    if (record === undefined) {
      return undefined;
    }
    const rate = computeRate(record);
    const threshold = computeThreshold(
      rate,
      this.#falseEjectionsPerServerDay,
    );
    const candidates = record.statistics.map(({ alternative, statistic }) => ({
      alternative: alternative.name,
      score: statistic.computeScore(),
      isVouchedFor: statistic.mayBeLinkFault(threshold, nowMs),
      faultShare: statistic.computeFaultShare(),
    })).sort((a, b) => b.score - a.score);
    const detected = candidates.find((candidate) => !candidate.isVouchedFor);
    const worst = detected !== undefined && detected.score >= threshold
      ? detected
      : candidates[0];
    if (worst === undefined) {
      return undefined;
    }
    return {
      server,
      ...worst,
      threshold,
      observationsPerSecond: rate,
      recentMix: record.recent.estimateMix(),
    };
  }
}

function isLatencyAlternative(name: string): boolean {
  return GRAY_ALTERNATIVES.some((alternative) =>
    alternative.name === name && alternative.isLatency
  );
}
