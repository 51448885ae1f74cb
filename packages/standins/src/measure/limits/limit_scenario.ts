/** Runs one case of the measurement of limits. */

import {
  createBucket,
  type LimitBucket,
  spend,
} from "@limpetford/core/limits/limit_bucket";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import {
  type RequestId,
  type RouteId,
  type ServiceId,
  type TeamId,
  toId,
} from "@limpetford/domain/ids";
import type { Team } from "@limpetford/domain/team";
import type { RequestContext } from "@limpetford/entry/ports/request_context";

import type { LimitPolicyName } from "./limit_policies.ts";
import { type LimitVm, LimitWorld } from "./limit_world.ts";

const WARM_UP_MS = 10_000;
const RUN_MS = 30_000;
const FAULTS_FROM_MS = 3_000;
const FAULTS_SPREAD_MS = 20_000;
const BURST_PERIOD_MS = 5_000;
const BURST_LENGTH_MS = 500;
const CALLERS_PER_TEAM = 20;
const ENTRIES_VALID_MS = 10_000;
const STRAY_SHARE = 0.1;
const DEADLINE_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** When requests come. */
export type TrafficPattern = "steady" | "bursty";
/** Which VMs are replaced in the run. */
export type Replacement =
  | { readonly kind: "none" }
  | { readonly kind: "killed"; readonly share: number }
  | { readonly kind: "planned"; readonly share: number };

/** One case. */
export interface LimitScenario {
  readonly policy: LimitPolicyName;
  readonly vmCount: number;
  /** Requests as a multiple of each team's rate. */
  readonly load: number;
  readonly pattern: TrafficPattern;
  readonly replacement: Replacement;
  /** True if callers follow the entry lists, but for a tenth of them. */
  readonly areCallersLed: boolean;
  readonly seed: number;
}

/** What a case showed. */
export interface LimitFigures {
  readonly requests: number;
  readonly admitted: number;
  /** Requests that one ideal bucket per team would have admitted. */
  readonly idealAdmitted: number;
  /** Missing admissions over ideal ones, summed over teams. */
  readonly wrongfulShare: number;
  /** The same of the team that fared worst. */
  readonly worstTeamShare: number;
  readonly refusedWithoutHolder: number;
  /** Largest excess of any window over burst plus rate times time. */
  readonly largestExcess: number;
  readonly callsPerRequest: number;
  /** Share of decisions that waited for another VM. */
  readonly waitedShare: number;
}

interface TeamTally {
  readonly team: Team;
  ideal: LimitBucket;
  idealAdmitted: number;
  readonly admittedAtMs: number[];
}

interface Caller {
  entries: readonly LimitVm[];
  refreshAtMs: number;
}

/**
 * Runs a case in virtual time.
 *
 * @param scenario - the case
 * @returns what it showed
 */
export async function runLimitScenario(
  scenario: LimitScenario,
): Promise<LimitFigures> {
  return await new LimitRun(scenario).run();
}

/**
 * Makes teams as the two users have them, a few of them large.
 *
 * @returns the teams
 */
function makeTeams(): readonly Team[] {
  return Array.from({ length: 8 }, (_, index) => {
    const ratePerSecond = index < 3 ? 60 : 10;
    return {
      id: toId<TeamId>(`team-${index}`),
      ratePerSecond,
      burst: 2 * ratePerSecond,
      weight: 1,
    };
  });
}

class LimitRun {
  readonly #scenario: LimitScenario;
  readonly #random: SeededRandomSource;
  readonly #world: LimitWorld;
  readonly #tallies: readonly TeamTally[];
  #requests = 0;
  #withoutHolder = 0;
  #waited = 0;

  constructor(scenario: LimitScenario) {
    this.#scenario = scenario;
    this.#random = new SeededRandomSource(scenario.seed);
    const teams = makeTeams();
    this.#world = new LimitWorld({
      vmCount: scenario.vmCount,
      teams,
      policy: scenario.policy,
      random: this.#random,
    });
    this.#tallies = teams.map((team) => ({
      team,
      ideal: createBucket(team, 0, 0),
      idealAdmitted: 0,
      admittedAtMs: [],
    }));
  }

  async run(): Promise<LimitFigures> {
    const { time } = this.#world;
    for (const tally of this.#tallies) {
      const callers = Array.from(
        { length: CALLERS_PER_TEAM },
        (): Caller => ({ entries: [], refreshAtMs: 0 }),
      );
      this.#scheduleNext(tally, callers, WARM_UP_MS);
    }
    this.#scheduleFaults();
    await time.advanceAndSettle(WARM_UP_MS + RUN_MS + DEADLINE_MS);
    return this.#buildFigures();
  }

  #scheduleNext(
    tally: TeamTally,
    callers: readonly Caller[],
    fromMs: number,
  ): void {
    const { pattern, load } = this.#scenario;
    const meanMs = MS_PER_SECOND / (load * tally.team.ratePerSecond);
    const isBursty = pattern === "bursty";
    const squeeze = isBursty ? BURST_LENGTH_MS / BURST_PERIOD_MS : 1;
    const gapMs = -Math.log(1 - this.#random.sampleUniform()) * meanMs *
      squeeze;
    const activeMs = isBursty ? toActiveTime(fromMs) + gapMs : fromMs + gapMs;
    const atMs = isBursty ? toWallTime(activeMs) : activeMs;
    if (atMs > WARM_UP_MS + RUN_MS) {
      return;
    }
    this.#world.time.schedule(atMs - this.#world.time.readMonotonicMs(), () => {
      void this.#sendRequest(tally, callers);
      this.#scheduleNext(tally, callers, atMs);
    });
  }

  async #sendRequest(
    tally: TeamTally,
    callers: readonly Caller[],
  ): Promise<void> {
    const nowMs = this.#world.time.readMonotonicMs();
    this.#requests += 1;
    const step = spend(tally.ideal, nowMs);
    tally.ideal = step.bucket;
    tally.idealAdmitted += step.isDone ? 1 : 0;
    const target = this.#pickTarget(tally.team, callers);
    const verdict = await target?.limiter.acquire(
      tally.team.id,
      makeContext(tally.team.id, nowMs),
    );
    const endMs = this.#world.time.readMonotonicMs();
    this.#waited += endMs > nowMs ? 1 : 0;
    if (verdict?.kind === "granted" && target?.isRunning === true) {
      tally.admittedAtMs.push(endMs);
    } else if (verdict?.kind === "no-holder") {
      this.#withoutHolder += 1;
    }
  }

  #pickTarget(
    team: Team,
    callers: readonly Caller[],
  ): LimitVm | undefined {
    const isStray = !this.#scenario.areCallersLed ||
      this.#random.sampleUniform() < STRAY_SHARE;
    if (isStray) {
      const running = this.#world.vms.filter((known) =>
        known.isRunning && !known.isLeaving
      );
      return running[this.#random.pickIndex(running.length)];
    }
    const caller = callers[this.#random.pickIndex(callers.length)];
    if (caller === undefined) {
      return undefined;
    }
    const nowMs = this.#world.time.readMonotonicMs();
    if (nowMs >= caller.refreshAtMs) {
      caller.entries = this.#world.listEntries(team);
      caller.refreshAtMs = nowMs + ENTRIES_VALID_MS;
    }
    return caller.entries.find((entry) => entry.isRunning);
  }

  #scheduleFaults(): void {
    const { replacement, vmCount } = this.#scenario;
    if (replacement.kind === "none") {
      return;
    }
    const count = Math.max(1, Math.round(vmCount * replacement.share));
    const first = this.#world.findHolder(toId<TeamId>("team-0"));
    const others = this.#world.vms.filter((known) => known !== first);
    const victims = [...first === undefined ? [] : [first], ...others]
      .slice(0, count);
    victims.forEach((victim, index) => {
      const atMs = WARM_UP_MS + FAULTS_FROM_MS +
        index * FAULTS_SPREAD_MS / count;
      this.#world.time.schedule(atMs, () => {
        if (replacement.kind === "killed") {
          this.#world.abortVm(victim);
        } else {
          this.#world.drainVm(victim);
        }
      });
    });
  }

  #buildFigures(): LimitFigures {
    const missing = this.#tallies.map((tally) =>
      Math.max(0, tally.idealAdmitted - tally.admittedAtMs.length)
    );
    const ideal = this.#tallies.map((tally) => tally.idealAdmitted);
    const shares = missing.map((count, index) => count / (ideal[index] ?? 1));
    return {
      requests: this.#requests,
      admitted: sumAll(this.#tallies.map((t) => t.admittedAtMs.length)),
      idealAdmitted: sumAll(ideal),
      wrongfulShare: sumAll(missing) / sumAll(ideal),
      worstTeamShare: Math.max(...shares),
      refusedWithoutHolder: this.#withoutHolder,
      largestExcess: Math.max(...this.#tallies.map(computeExcess)),
      callsPerRequest: this.#world.callCount / this.#requests,
      waitedShare: this.#waited / this.#requests,
    };
  }
}

function toActiveTime(wallMs: number): number {
  const periods = Math.floor(wallMs / BURST_PERIOD_MS);
  const inPeriodMs = Math.min(
    BURST_LENGTH_MS,
    wallMs - periods * BURST_PERIOD_MS,
  );
  return periods * BURST_LENGTH_MS + inPeriodMs;
}

function toWallTime(activeMs: number): number {
  const periods = Math.floor(activeMs / BURST_LENGTH_MS);
  return periods * BURST_PERIOD_MS + (activeMs - periods * BURST_LENGTH_MS);
}

/**
 * Computes the largest excess of any window, by the bucket that it implies.
 *
 * @param tally - admissions of one team
 * @returns requests above burst plus rate times time; negative if below
 */
function computeExcess(tally: TeamTally): number {
  const { ratePerSecond, burst } = tally.team;
  let used = 0;
  let largest = -Infinity;
  let lastMs = 0;
  for (const atMs of tally.admittedAtMs.toSorted((a, b) => a - b)) {
    const earned = (atMs - lastMs) * ratePerSecond / MS_PER_SECOND;
    used = Math.max(0, used - earned) + 1;
    largest = Math.max(largest, used - burst);
    lastMs = atMs;
  }
  return largest;
}

function sumAll(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function makeContext(team: TeamId, nowMs: number): RequestContext {
  return {
    id: toId<RequestId>("request"),
    route: {
      id: toId<RouteId>("route"),
      service: toId<ServiceId>("service"),
      method: "GET",
      pathPrefix: "/",
      access: "team",
      isIdempotent: true,
      deadlineMs: DEADLINE_MS,
      bodyLimitBytes: 0,
      derivedKeyWindowMs: 0,
    },
    team,
    method: "GET",
    target: "/",
    receivedAtMs: nowMs,
    deadlineAtMs: nowMs + DEADLINE_MS,
    isPassedOn: false,
  };
}
