/**
 * Runs one scenario of the rate limit measurement and compares what each team
 * was admitted with what one ideal token bucket would have admitted.
 */

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
import { LimiterFleet, type LimiterVm } from "./limiter_fleet.ts";

/** Time in which the VMs settle before any request. */
const WARM_UP_MS = 10_000;
/** Time in which requests are sent. */
const RUN_MS = 30_000;
/** Time from the first request to the first fault. */
const FIRST_FAULT_MS = 3_000;
/** Time over which the faults are spread evenly. */
const FAULT_WINDOW_MS = 20_000;
/** Interval between the starts of two bursts. */
const BURST_PERIOD_MS = 5_000;
/** Duration of a burst; no requests are sent between bursts. */
const BURST_LENGTH_MS = 500;
const CALLERS_PER_TEAM = 20;
/** Time after which a caller fetches its entry list again. */
const ENTRY_LIST_TTL_MS = 10_000;
/** Share of requests that go to a random VM despite the entry lists. */
const RANDOM_TARGET_SHARE = 0.1;
const DEADLINE_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** Arrival pattern: Poisson throughout, or only within bursts. */
export type TrafficPattern = "steady" | "bursty";
/** How VMs are replaced during the run, and which share of them (0 to 1). */
export type Replacement =
  | { readonly kind: "none" }
  | { readonly kind: "killed"; readonly share: number }
  | { readonly kind: "planned"; readonly share: number };

/** Inputs of a scenario. Written to the JSON file as it is. */
export interface LimitScenario {
  readonly policy: LimitPolicyName;
  readonly vmCount: number;
  /** Offered load as a multiple of each team's rate. */
  readonly load: number;
  readonly pattern: TrafficPattern;
  readonly replacement: Replacement;
  /**
   * True if callers use their entry lists for all but a tenth of the requests;
   * false if every request goes to a random VM.
   */
  readonly areCallersLed: boolean;
  readonly seed: number;
}

/** Results of a scenario. Written to the JSON file as it is. */
export interface LimitFigures {
  readonly requests: number;
  /** Requests admitted by a VM that was still running afterwards. */
  readonly admitted: number;
  /** Requests that one ideal bucket per team would have admitted. */
  readonly idealAdmitted: number;
  /** Admissions below the ideal, as a share of the ideal of all teams. */
  readonly wrongfulShare: number;
  /** The largest such share of a single team. */
  readonly worstTeamShare: number;
  /** Requests refused because no holder of the shard could be reached. */
  readonly refusedWithoutHolder: number;
  /**
   * Most requests admitted above burst plus rate times time, over all windows
   * and teams; negative if no team reached its limit.
   */
  readonly largestExcess: number;
  /** Calls between VMs per request. */
  readonly callsPerRequest: number;
  /** Share of requests whose decision waited for another VM. */
  readonly waitedShare: number;
}

interface TeamCounts {
  readonly team: Team;
  /** State of a single bucket that receives every request at once. */
  idealBucket: LimitBucket;
  idealAdmitted: number;
  /** Times of the admissions, in the order of their decisions. */
  readonly admittedAtMs: number[];
}

interface Caller {
  /** VMs to send to, best first, as the directory listed them. */
  entries: readonly LimiterVm[];
  refreshAtMs: number;
}

/**
 * Runs a scenario in virtual time.
 *
 * @param scenario - policy, load, traffic pattern, callers and faults
 * @returns admissions and refusals against those of ideal buckets
 */
export async function runLimitScenario(
  scenario: LimitScenario,
): Promise<LimitFigures> {
  return await new LimitRun(scenario).run();
}

/**
 * Makes teams as the two users have them: a few large ones and more small ones.
 *
 * @returns three large teams and five small ones
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
  readonly #fleet: LimiterFleet;
  readonly #teamCounts: readonly TeamCounts[];
  #requests = 0;
  #withoutHolder = 0;
  #waited = 0;

  constructor(scenario: LimitScenario) {
    this.#scenario = scenario;
    this.#random = new SeededRandomSource(scenario.seed);
    const teams = makeTeams();
    this.#fleet = new LimiterFleet({
      vmCount: scenario.vmCount,
      teams,
      policy: scenario.policy,
      random: this.#random,
    });
    this.#teamCounts = teams.map((team) => ({
      team,
      idealBucket: createBucket(team, 0, 0),
      idealAdmitted: 0,
      admittedAtMs: [],
    }));
  }

  async run(): Promise<LimitFigures> {
    const { time } = this.#fleet;
    for (const counts of this.#teamCounts) {
      const callers = Array.from(
        { length: CALLERS_PER_TEAM },
        (): Caller => ({ entries: [], refreshAtMs: 0 }),
      );
      this.#scheduleNext(counts, callers, WARM_UP_MS);
    }
    this.#scheduleFaults();
    await time.advanceAndSettle(WARM_UP_MS + RUN_MS + DEADLINE_MS);
    return this.#buildFigures();
  }

  #scheduleNext(
    counts: TeamCounts,
    callers: readonly Caller[],
    fromMs: number,
  ): void {
    const { pattern, load } = this.#scenario;
    const meanMs = MS_PER_SECOND / (load * counts.team.ratePerSecond);
    const isBursty = pattern === "bursty";
    const timeScale = isBursty ? BURST_LENGTH_MS / BURST_PERIOD_MS : 1;
    const gapMs = -Math.log(1 - this.#random.sampleUniform()) * meanMs *
      timeScale;
    const activeMs = isBursty ? toActiveTime(fromMs) + gapMs : fromMs + gapMs;
    const atMs = isBursty ? toWallTime(activeMs) : activeMs;
    if (atMs > WARM_UP_MS + RUN_MS) {
      return;
    }
    this.#fleet.time.schedule(atMs - this.#fleet.time.readMonotonicMs(), () => {
      void this.#sendRequest(counts, callers);
      this.#scheduleNext(counts, callers, atMs);
    });
  }

  async #sendRequest(
    counts: TeamCounts,
    callers: readonly Caller[],
  ): Promise<void> {
    const nowMs = this.#fleet.time.readMonotonicMs();
    this.#requests += 1;
    const result = spend(counts.idealBucket, nowMs);
    counts.idealBucket = result.bucket;
    counts.idealAdmitted += result.isAllowed ? 1 : 0;
    const target = this.#pickTarget(counts.team, callers);
    const verdict = await target?.limiter.acquire(
      counts.team.id,
      makeContext(counts.team.id, nowMs),
    );
    const endMs = this.#fleet.time.readMonotonicMs();
    this.#waited += endMs > nowMs ? 1 : 0;
    if (verdict?.kind === "granted" && target?.isRunning === true) {
      counts.admittedAtMs.push(endMs);
    } else if (verdict?.kind === "no-holder") {
      this.#withoutHolder += 1;
    }
  }

  #pickTarget(
    team: Team,
    callers: readonly Caller[],
  ): LimiterVm | undefined {
    const isRandomTarget = !this.#scenario.areCallersLed ||
      this.#random.sampleUniform() < RANDOM_TARGET_SHARE;
    if (isRandomTarget) {
      const running = this.#fleet.vms.filter((candidate) =>
        candidate.isRunning && !candidate.isLeaving
      );
      return running[this.#random.pickIndex(running.length)];
    }
    const caller = callers[this.#random.pickIndex(callers.length)];
    if (caller === undefined) {
      return undefined;
    }
    const nowMs = this.#fleet.time.readMonotonicMs();
    if (nowMs >= caller.refreshAtMs) {
      caller.entries = this.#fleet.listEntries(team);
      caller.refreshAtMs = nowMs + ENTRY_LIST_TTL_MS;
    }
    return caller.entries.find((entry) => entry.isRunning);
  }

  #scheduleFaults(): void {
    const { replacement, vmCount } = this.#scenario;
    if (replacement.kind === "none") {
      return;
    }
    const count = Math.max(1, Math.round(vmCount * replacement.share));
    const firstHolder = this.#fleet.findHolder(toId<TeamId>("team-0"));
    const others = this.#fleet.vms.filter((candidate) =>
      candidate !== firstHolder
    );
    const victims = [
      ...firstHolder === undefined ? [] : [firstHolder],
      ...others,
    ]
      .slice(0, count);
    victims.forEach((victim, index) => {
      const atMs = WARM_UP_MS + FIRST_FAULT_MS +
        index * FAULT_WINDOW_MS / count;
      this.#fleet.time.schedule(atMs, () => {
        if (replacement.kind === "killed") {
          this.#fleet.abortVm(victim);
        } else {
          this.#fleet.drainVm(victim);
        }
      });
    });
  }

  #buildFigures(): LimitFigures {
    const missing = this.#teamCounts.map((counts) =>
      Math.max(0, counts.idealAdmitted - counts.admittedAtMs.length)
    );
    const ideal = this.#teamCounts.map((counts) => counts.idealAdmitted);
    const shares = missing.map((count, index) => count / (ideal[index] ?? 1));
    return {
      requests: this.#requests,
      admitted: sumAll(this.#teamCounts.map((t) => t.admittedAtMs.length)),
      idealAdmitted: sumAll(ideal),
      wrongfulShare: sumAll(missing) / sumAll(ideal),
      worstTeamShare: Math.max(...shares),
      refusedWithoutHolder: this.#withoutHolder,
      largestExcess: Math.max(...this.#teamCounts.map(computeExcess)),
      callsPerRequest: this.#fleet.callCount / this.#requests,
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
 * Computes the largest excess over all time windows. A leaky bucket that drains
 * at the team's rate finds it in one pass over the admissions.
 *
 * @param counts - admissions of one team
 * @returns requests above burst plus rate times time; negative if below
 */
function computeExcess(counts: TeamCounts): number {
  const { ratePerSecond, burst } = counts.team;
  let level = 0;
  let largest = -Infinity;
  let lastMs = 0;
  for (const atMs of counts.admittedAtMs.toSorted((a, b) => a - b)) {
    const drained = (atMs - lastMs) * ratePerSecond / MS_PER_SECOND;
    level = Math.max(0, level - drained) + 1;
    largest = Math.max(largest, level - burst);
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
