/** Generates random requests of eight teams, two of them large. */

import type { RandomSource } from "@limpetford/core/time/random_source";
import { type RouteId, type TeamId, toId } from "@limpetford/domain/ids";

import { isActive, type Scenario } from "./scenario.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Standard deviation of the logarithm of service times. */
const LATENCY_LOG_DEVIATION = 0.4;
const LARGE_RESPONSE_BYTES = 1_000_000;
const SMALL_RESPONSE_BYTES = 2_000;
/** Factor on the service time of large responses. */
const LARGE_RESPONSE_DURATION_FACTOR = 12;

/** One request of a caller. */
export interface SimulatedRequest {
  readonly fingerprint: string;
  readonly team: TeamId;
  readonly route: RouteId;
  readonly isIdempotent: boolean;
  readonly deadlineMs: number;
  /** Index of the VM that receives it. */
  readonly vm: number;
  /** Time on a healthy server, in milliseconds. */
  readonly serviceMs: number;
  readonly answerBytes: number;
  readonly isCrashing: boolean;
  /** False if the team exceeds its rate. */
  readonly isWithinRate: boolean;
}

/** Share of traffic and VMs of one team. */
export interface TrafficTeam {
  readonly id: TeamId;
  /** Share of all requests. */
  readonly share: number;
  /** Indexes of the VMs that its callers use. */
  readonly vms: readonly number[];
}

/** Traffic share, service time and deadline of a route. */
interface RouteProfile {
  readonly id: RouteId;
  readonly share: number;
  readonly medianMs: number;
  readonly isIdempotent: boolean;
  readonly deadlineMs: number;
}

const ROUTES: readonly RouteProfile[] = [
  {
    id: toId<RouteId>("read"),
    share: 0.75,
    medianMs: 18,
    isIdempotent: true,
    deadlineMs: 2_000,
  },
  {
    id: toId<RouteId>("search"),
    share: 0.15,
    medianMs: 40,
    isIdempotent: true,
    deadlineMs: 3_000,
  },
  {
    id: toId<RouteId>("confirm"),
    share: 0.1,
    medianMs: 30,
    isIdempotent: false,
    deadlineMs: 5_000,
  },
];

const LARGE_TEAM_COUNT = 2;
/** Share of all requests of each large team. */
const LARGE_TEAM_SHARE = 0.3;
const TEAM_COUNT = 8;
const LARGE_TEAM_VMS = 12;
const SMALL_TEAM_VMS = 3;

/** Scenario, load and receiver of the generated requests. */
export interface TrafficOptions {
  readonly scenario: Scenario;
  readonly serverCount: number;
  readonly time: VirtualTime;
  readonly random: RandomSource;
  readonly send: (request: SimulatedRequest) => void;
}

/**
 * Sends requests as a Poisson process; equal seeds give equal requests.
 */
export class Traffic {
  /** Teams in the order of their numbers, large ones first. */
  readonly teams: readonly TrafficTeam[];
  readonly #options: TrafficOptions;
  #sent = 0;

  /**
   * Chooses each team's VMs at random.
   *
   * @param options - scenario, virtual time and source of randomness
   */
  constructor(options: TrafficOptions) {
    this.#options = options;
    this.teams = this.#createTeams();
  }

  /** Schedules the first request of each team. */
  start(): void {
    for (const [index, team] of this.teams.entries()) {
      this.#scheduleNext(team, index);
    }
  }

  #createTeams(): readonly TrafficTeam[] {
    const { random, scenario } = this.#options;
    return Array.from({ length: TEAM_COUNT }, (_, index) => {
      const isLarge = index < LARGE_TEAM_COUNT;
      const smallShare = (1 - LARGE_TEAM_COUNT * LARGE_TEAM_SHARE) /
        (TEAM_COUNT - LARGE_TEAM_COUNT);
      const count = isLarge ? LARGE_TEAM_VMS : SMALL_TEAM_VMS;
      const first = random.pickIndex(scenario.vms);
      return {
        id: toId<TeamId>(`team-${index}`),
        share: isLarge ? LARGE_TEAM_SHARE : smallShare,
        vms: Array.from(
          { length: Math.min(count, scenario.vms) },
          (_unused, step) => (first + step) % scenario.vms,
        ),
      };
    });
  }

  #scheduleNext(team: TrafficTeam, index: number): void {
    const { time, random } = this.#options;
    const ratePerMs = this.#computeRate(team, index) / 1_000;
    const delayMs = -Math.log(1 - random.sampleUniform()) / ratePerMs;
    time.schedule(delayMs, () => {
      this.#options.send(this.#buildRequest(team, index));
      this.#scheduleNext(team, index);
    });
  }

  #computeRate(team: TrafficTeam, index: number): number {
    const { scenario, serverCount, time } = this.#options;
    const nowMs = time.readMonotonicMs();
    let rate = team.share * scenario.requestsPerServerSecond * serverCount;
    for (const fault of scenario.faults) {
      const isAffected = fault.kind === "overload" ||
        (fault.kind === "team-surge" && index === 0);
      if (isAffected && isActive(fault, nowMs)) {
        rate *= fault.factor;
      }
    }
    return rate;
  }

  #buildRequest(team: TrafficTeam, index: number): SimulatedRequest {
    const { random, scenario, time } = this.#options;
    const nowMs = time.readMonotonicMs();
    const route = pickRoute(random.sampleUniform());
    let factor = 1;
    let answerBytes = SMALL_RESPONSE_BYTES;
    let isWithinRate = true;
    for (const fault of scenario.faults) {
      if (!isActive(fault, nowMs)) {
        continue;
      }
      if (fault.kind === "slow-team" && index === 0) {
        factor *= fault.factor;
      } else if (fault.kind === "slow-route" && route.id === "search") {
        factor *= fault.factor;
      } else if (fault.kind === "large-answers") {
        const isLarge = random.sampleUniform() < fault.share;
        factor *= isLarge ? LARGE_RESPONSE_DURATION_FACTOR : 1;
        answerBytes = isLarge ? LARGE_RESPONSE_BYTES : answerBytes;
      } else if (fault.kind === "team-surge" && index === 0) {
        isWithinRate = false;
      } else if (fault.kind === "overload") {
        isWithinRate = false;
      }
    }
    this.#sent += 1;
    const vm = team.vms[random.pickIndex(team.vms.length)] ?? 0;
    return {
      fingerprint: `request-${this.#sent}`,
      team: team.id,
      route: route.id,
      isIdempotent: route.isIdempotent,
      deadlineMs: route.deadlineMs,
      vm,
      serviceMs: factor * route.medianMs *
        Math.exp(LATENCY_LOG_DEVIATION * sampleNormal(random)),
      answerBytes,
      isCrashing: false,
      isWithinRate,
    };
  }
}

function pickRoute(sample: number): RouteProfile {
  let sum = 0;
  for (const route of ROUTES) {
    sum += route.share;
    if (sample < sum) {
      return route;
    }
  }
  const [first] = ROUTES;
  if (first === undefined) {
    throw new RangeError("the route table is empty");
  }
  return first;
}

function sampleNormal(random: RandomSource): number {
  return Math.sqrt(-2 * Math.log(1 - random.sampleUniform())) *
    Math.cos(2 * Math.PI * random.sampleUniform());
}
