/** Test statistics of one backend server for one gray alternative. */

import type { VmId, ZoneId } from "@limpetford/domain/ids";

import type { ObservationMix } from "./observation.ts";

/** Evidence that one VM's report adds to a test statistic. */
export interface Contribution {
  readonly vm: VmId;
  /** Zone of the VM. */
  readonly zone: ZoneId;
  /** Positive if the server looks gray, negative if it looks healthy. */
  readonly logLikelihoodRatio: number;
  /** Reported observations per class. */
  readonly counts: ObservationMix;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
  /** Time constant of the decay of scores per zone, in milliseconds. */
  readonly zoneDecayMs: number;
}

/**
 * Accumulates the evidence of all VMs into one score.
 */
export abstract class ServerStatistic {
  /**
   * Adds the evidence of one VM.
   *
   * @param contribution - log-likelihood ratio and counts of one report
   * @param threshold - current detection threshold, which bounds the weight of
   *   a single VM
   */
  abstract add(contribution: Contribution, threshold: number): void;

  /**
   * Computes the score that is compared with the detection threshold.
   *
   * @returns accumulated log-likelihood ratio, at least 0
   */
  abstract computeScore(): number;

  /**
   * Checks whether a network link rather than the server may be at fault: the
   * VMs of some zone see the server healthy, or those of its own zone have not
   * confirmed the fault.
   *
   * @param threshold - current detection threshold
   * @param nowMs - monotonic time in milliseconds
   * @returns true if the evidence may come from a faulty link
   */
  abstract mayBeLinkFault(threshold: number, nowMs: number): boolean;

  /**
   * Computes the share of failed and very slow requests among the observations
   * since the score left 0.
   *
   * @returns share from 0 to 1; 0 without observations
   */
  abstract computeFaultShare(): number;

  /** Resets the score and drops all evidence. */
  abstract clear(): void;
}

// A zone with a lower score sees the server healthy.
const HEALTHY_ZONE_SCORE = -0.2;
// Share of the threshold at which the server's own zone confirms the fault.
const MIN_OWN_ZONE_SHARE = 0.15;
const MAX_ZONE_SCORE = 12;
// Share of the threshold that the evidence of a single VM can reach.
const MAX_VM_SHARE = 0.5;

/** Decaying log-likelihood ratio of the reports of one zone's VMs. */
interface ZoneScore {
  score: number;
  updatedAtMs: number;
  zoneDecayMs: number;
}

/**
 * Cumulative sum (CUSUM) of log-likelihood ratios, in which no VM contributes
 * more than half of the threshold.
 */
export class CusumStatistic extends ServerStatistic {
  readonly #vmScores = new Map<VmId, number>();
  readonly #zoneScores = new Map<ZoneId, ZoneScore>();
  readonly #ownZone: ZoneId;
  #startedAtMs: number | undefined;
  #zoneDecayMs = 0;
  #sum = 0;
  #faults = 0;
  #observations = 0;

  /**
   * Creates a statistic with score 0.
   *
   * @param ownZone - zone of the server under test
   */
  constructor(ownZone: ZoneId) {
    super();
    this.#ownZone = ownZone;
  }

  override add(contribution: Contribution, threshold: number): void {
    const { vm, zone, logLikelihoodRatio, nowMs } = contribution;
    const limit = MAX_VM_SHARE * threshold;
    const score = (this.#vmScores.get(vm) ?? 0) + logLikelihoodRatio;
    this.#vmScores.set(vm, Math.min(limit, score));
    this.#sum = this.#sumScores();
    const zoneScore = this.#findZoneScore(zone, contribution);
    zoneScore.score = Math.max(
      -MAX_ZONE_SCORE,
      Math.min(MAX_ZONE_SCORE, zoneScore.score + logLikelihoodRatio),
    );
    zoneScore.updatedAtMs = nowMs;
    const [fast, slow, verySlow, bad] = contribution.counts;
    this.#faults += verySlow + bad;
    this.#observations += fast + slow + verySlow + bad;
    this.#startedAtMs ??= nowMs;
    this.#zoneDecayMs = contribution.zoneDecayMs;
    if (this.#sum <= 0) {
      this.clear();
    }
  }

  override computeScore(): number {
    return Math.max(0, this.#sum);
  }

  override computeFaultShare(): number {
    return this.#observations === 0 ? 0 : this.#faults / this.#observations;
  }

  override mayBeLinkFault(threshold: number, nowMs: number): boolean {
    if (!this.#hasOwnZoneConfirmed(threshold, nowMs)) {
      return true;
    }
    for (const zoneScore of this.#zoneScores.values()) {
      if (computeDecayedScore(zoneScore, nowMs) < HEALTHY_ZONE_SCORE) {
        return true;
      }
    }
    return false;
  }

  override clear(): void {
    this.#vmScores.clear();
    this.#sum = 0;
    this.#faults = 0;
    this.#observations = 0;
    this.#zoneScores.clear();
    this.#startedAtMs = undefined;
  }

  #sumScores(): number {
    let sum = 0;
    for (const score of this.#vmScores.values()) {
      sum += score;
    }
    return sum;
  }

  #hasOwnZoneConfirmed(threshold: number, nowMs: number): boolean {
    const own = this.#zoneScores.get(this.#ownZone);
    if (own !== undefined) {
      return computeDecayedScore(own, nowMs) >= MIN_OWN_ZONE_SHARE * threshold;
    }
    const startedAtMs = this.#startedAtMs ?? nowMs;
    return nowMs - startedAtMs >= this.#zoneDecayMs;
  }

  #findZoneScore(zone: ZoneId, contribution: Contribution): ZoneScore {
    const known = this.#zoneScores.get(zone);
    if (known !== undefined) {
      known.score = computeDecayedScore(known, contribution.nowMs);
      known.zoneDecayMs = contribution.zoneDecayMs;
      return known;
    }
    const created = {
      score: 0,
      updatedAtMs: contribution.nowMs,
      zoneDecayMs: contribution.zoneDecayMs,
    };
    this.#zoneScores.set(zone, created);
    return created;
  }
}

function computeDecayedScore(zoneScore: ZoneScore, nowMs: number): number {
  const ageMs = nowMs - zoneScore.updatedAtMs;
  return zoneScore.score * Math.exp(-ageMs / zoneScore.zoneDecayMs);
}
