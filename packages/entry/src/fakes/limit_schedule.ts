/** Random faults of a fleet that divides a team's limit, in virtual time. */

import { FakeClock } from "@limpetford/core/time/fake_clock";
import { SeededRandomSource } from "@limpetford/core/time/random_source";

import type { ExchangeSide } from "./exchange_side.ts";
import { LimiterNetwork, type VersionedLimit } from "./limiter_network.ts";

const STEP_MS = 50;
const WINDOW_MS = 5_000;
const ZONES = 3;
const TOLERANCE = 20;
const OVERSHOOT = 1.1;
/** VMs start together, and hear of each other, before callers come. */
const LEAD_MS = 2_000;
const RUN_MS = 20_000;
const EVENT_GAP_MS = 2_500;
const MAX_DOWN_MS = 2_500;
const HEAL_SHARE = 0.25;
/** Share of the VMs that a fault of some meets. */
const SOME_SHARE = 0.3;
/** A VM that has restarted keeps its callers waiting for so long. */
const START_MS = 1_600;
const FLEET_SIZES = [6, 9, 15];
const RATES = [20, 100, 300];
const BURSTS = [5, 20, 100];
/** Requests in each step at each VM of a team that sends far too much. */
const HOT_ASKS = 2;

/** What callers of the team asked for and got. */
export interface ScheduleOutcome {
  /** Most requests granted in a window, less what the rule allows there. */
  readonly excess: number;
  readonly asked: number;
  /** Requests refused although a single bucket would have granted them. */
  readonly refusedWithinLimit: number;
  readonly events: readonly string[];
}

/** What callers ask for, and which faults there are. */
export interface LimitScheduleOptions {
  /**
   * Requests per second as a multiple of the rate; undefined for a team that sends
   * far too much at all VMs.
   */
  readonly demand?: number;
  /** Names of the faults that happen; default all. */
  readonly faults?: readonly string[];
  /** Number of VMs; drawn by default. */
  readonly vms?: number;
}

/** Name of an event, and what it does. */
type FaultEvent = readonly [string, () => void];

interface Restart {
  readonly index: number;
  readonly atMs: number;
}

interface Sample {
  readonly atMs: number;
  readonly granted: number;
  /** Greatest limit that any VM has in force. */
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** One random schedule of kills, cuts and changes of the limit. */
export class LimitSchedule {
  readonly #clock = new FakeClock();
  readonly #random: SeededRandomSource;
  readonly #network: LimiterNetwork;
  readonly #vms: number;
  readonly #limits: VersionedLimit[];
  readonly #options: LimitScheduleOptions;
  readonly #startedAtMs = new Map<ExchangeSide, number>();
  readonly #samples: Sample[] = [];
  readonly #events: string[] = [];
  #restarts: Restart[] = [];
  #lateReadAtMs = Infinity;
  #nextEventAtMs = 0;
  #due = 0;
  #tokens = 0;
  #asked = 0;
  #refusedWithinLimit = 0;

  /**
   * Creates a fleet.
   *
   * @param seed - decides its size, the limits and the faults
   * @param options - demand and kinds of faults
   */
  constructor(seed: number, options: LimitScheduleOptions = {}) {
    this.#random = new SeededRandomSource(seed);
    this.#options = options;
    this.#vms = options.vms ?? this.#pick(FLEET_SIZES);
    this.#limits = [this.#pickLimit(1)];
    this.#network = new LimiterNetwork(this.#clock, {
      zones: ZONES,
      vms: this.#vms,
      tolerance: TOLERANCE,
    });
  }

  /**
   * Plays the schedule.
   *
   * @returns what was granted and refused
   */
  async run(): Promise<ScheduleOutcome> {
    for (let index = 0; index < this.#vms; index++) {
      this.#network.start(index, this.#newestLimit, true);
    }
    for (let atMs = 0; atMs < LEAD_MS; atMs += STEP_MS) {
      this.#network.advance();
      this.#clock.advance(STEP_MS);
    }
    this.#tokens = this.#newestLimit.burst;
    this.#nextEventAtMs = LEAD_MS + EVENT_GAP_MS;
    while (this.#nowMs < LEAD_MS + RUN_MS) {
      this.#applyEvents();
      this.#network.advance();
      await this.#sendAll();
      this.#clock.advance(STEP_MS);
    }
    return {
      excess: this.#computeExcess(),
      asked: this.#asked,
      refusedWithinLimit: this.#refusedWithinLimit,
      events: this.#events,
    };
  }

  get #nowMs(): number {
    return this.#clock.readMonotonicMs();
  }

  get #newestLimit(): VersionedLimit {
    return this.#limits.at(-1) ?? this.#pickLimit(1);
  }

  #applyEvents(): void {
    const nowMs = this.#nowMs;
    for (const { index } of this.#restarts.filter((due) => due.atMs <= nowMs)) {
      // A store that answers late gives the limit before the newest.
      const limit = this.#random.sampleUniform() < 0.5
        ? this.#limits.at(-2) ?? this.#newestLimit
        : this.#newestLimit;
      this.#network.start(index, limit, false);
    }
    this.#restarts = this.#restarts.filter((due) => due.atMs > nowMs);
    for (const side of this.#network.listSides()) {
      if (!this.#startedAtMs.has(side)) {
        this.#startedAtMs.set(side, nowMs - (nowMs <= LEAD_MS ? START_MS : 0));
      }
    }
    if (nowMs >= this.#lateReadAtMs) {
      this.#lateReadAtMs = Infinity;
      this.#readNewestLimit();
    }
    if (nowMs >= this.#nextEventAtMs) {
      this.#nextEventAtMs = nowMs +
        EVENT_GAP_MS * (0.2 + 1.6 * this.#random.sampleUniform());
      this.#applyRandomEvent();
    }
  }

  #applyRandomEvent(): void {
    const sides = this.#network.listSides();
    if (sides.length === 0) {
      return;
    }
    const isHealed = this.#random.sampleUniform() < HEAL_SHARE;
    if (isHealed) {
      this.#network.clearCuts();
    }
    const { faults } = this.#options;
    const events: readonly FaultEvent[] = [
      ...this.#listKills(sides),
      ...this.#listCuts(sides),
      ["change limit", (): void => {
        this.#putLimit();
      }],
    ];
    const [name, apply] = this.#pick(
      events.filter((event) => faults?.includes(event[0]) ?? true),
    );
    this.#events.push(`${this.#nowMs}: ${isHealed ? "heal, " : ""}${name}`);
    apply();
  }

  #listKills(sides: readonly ExchangeSide[]): readonly FaultEvent[] {
    const zone = this.#pick(sides).self.zone;
    const inZone = sides.filter(({ self }) => self.zone === zone);
    return [
      ["kill all", (): void => {
        this.#stopVms(sides);
      }],
      ["kill zone", (): void => {
        this.#stopVms(inZone);
      }],
      ["kill leaders", (): void => {
        this.#stopVms(sides.filter(isLeader));
      }],
      ["kill some", (): void => {
        this.#stopVms(this.#pickSome(sides));
      }],
    ];
  }

  #listCuts(sides: readonly ExchangeSide[]): readonly FaultEvent[] {
    const zone = this.#pick(sides).self.zone;
    const half = sides.length / 2;
    return [
      ["isolate some", (): void => {
        this.#splitOff(this.#pickSome(sides));
      }],
      ["isolate leaders", (): void => {
        this.#splitOff(sides.filter(isLeader));
      }],
      [
        "split halves",
        (): void => {
          this.#network.split((_side, index) => index < half ? 0 : 1);
        },
      ],
      [
        "cut zone",
        (): void => {
          this.#network.split(({ self }) => self.zone === zone ? 0 : 1);
        },
      ],
      ["one way", (): void => {
        this.#splitOneWay(sides.filter(isLeader));
      }],
    ];
  }

  #pickSome(sides: readonly ExchangeSide[]): readonly ExchangeSide[] {
    return sides.filter(() => this.#random.sampleUniform() < SOME_SHARE);
  }

  #stopVms(sides: readonly ExchangeSide[]): void {
    const atMs = this.#nowMs + 1_000 +
      (MAX_DOWN_MS - 1_000) * this.#random.sampleUniform();
    for (const side of sides) {
      this.#network.stop(side);
      const index = Number(side.self.incarnation.vm.replace("vm-", ""));
      this.#restarts.push({ index, atMs });
    }
  }

  #splitOff(sides: readonly ExchangeSide[]): void {
    this.#network.split((side, index) => sides.includes(side) ? index + 1 : 0);
  }

  #splitOneWay(leaders: readonly ExchangeSide[]): void {
    for (const from of leaders) {
      for (const to of leaders) {
        if (from !== to && this.#random.sampleUniform() < 0.4) {
          this.#network.setCut(from, to);
        }
      }
    }
  }

  #putLimit(): void {
    this.#limits.push(this.#pickLimit(this.#newestLimit.version + 1));
    if (this.#random.sampleUniform() < 0.5) {
      this.#lateReadAtMs = this.#nowMs + 3_000 * this.#random.sampleUniform();
    } else {
      this.#readNewestLimit();
    }
  }

  // The VM that reads it passes it on.
  #readNewestLimit(): void {
    const sides = this.#network.listSides();
    if (sides.length > 0) {
      this.#network.applyLimit(this.#pick(sides), this.#newestLimit);
    }
  }

  async #sendAll(): Promise<void> {
    const ready = this.#network.listSides().filter((side) =>
      this.#nowMs - (this.#startedAtMs.get(side) ?? this.#nowMs) >= START_MS
    );
    const { ratePerSecond, burst } = this.#newestLimit;
    this.#tokens = Math.min(
      burst,
      this.#tokens + ratePerSecond * STEP_MS / 1_000,
    );
    const { demand } = this.#options;
    const asked = demand === undefined
      ? ready.flatMap((side) => Array.from({ length: HOT_ASKS }, () => side))
      : this.#pickAsked(ready, demand * ratePerSecond);
    let granted = 0;
    for (const side of asked) {
      granted += await this.#sendOne(side) ? 1 : 0;
    }
    this.#recordSample(granted);
  }

  #pickAsked(
    ready: readonly ExchangeSide[],
    perSecond: number,
  ): readonly ExchangeSide[] {
    const leaders = ready.filter(isLeader);
    this.#due += perSecond * STEP_MS / 1_000;
    const count = Math.floor(this.#due);
    this.#due -= count;
    return leaders.length === 0
      ? []
      : Array.from({ length: count }, () => this.#pick(leaders));
  }

  async #sendOne(side: ExchangeSide): Promise<boolean> {
    this.#asked += 1;
    const isWithin = this.#tokens >= 1;
    this.#tokens -= isWithin ? 1 : 0;
    const isGranted = await this.#network.send(side);
    this.#refusedWithinLimit += isWithin && !isGranted ? 1 : 0;
    return isGranted;
  }

  #recordSample(granted: number): void {
    const limits = this.#network.listSides().flatMap(({ state }) =>
      state.active?.configuration.teams ?? []
    );
    this.#samples.push({
      atMs: this.#nowMs,
      granted,
      ratePerSecond: Math.max(0, ...limits.map((team) => team.ratePerSecond)),
      burst: Math.max(0, ...limits.map((team) => team.burst)),
    });
  }

  // A lower limit binds one window after all VMs have it.
  #computeExcess(): number {
    return Math.max(
      ...this.#samples.map((first) => {
        const inWindow = this.#samples.filter(({ atMs }) =>
          atMs >= first.atMs && atMs < first.atMs + WINDOW_MS
        );
        const bound = this.#samples.filter(({ atMs }) =>
          atMs >= first.atMs - WINDOW_MS && atMs < first.atMs + WINDOW_MS
        );
        const rate = Math.max(...bound.map((each) => each.ratePerSecond));
        const burst = Math.max(...bound.map((each) => each.burst));
        const granted = inWindow.reduce((sum, each) => sum + each.granted, 0);
        const allowed = (rate * WINDOW_MS / 1_000 + burst) * OVERSHOOT +
          TOLERANCE;
        return granted - allowed;
      }),
    );
  }

  #pickLimit(version: number): VersionedLimit {
    return {
      version,
      ratePerSecond: this.#pick(RATES),
      burst: this.#pick(BURSTS),
    };
  }

  #pick<Value>(values: readonly Value[]): Value {
    const value = values[this.#random.pickIndex(values.length)];
    if (value === undefined) {
      throw new Error("nothing to pick from");
    }
    return value;
  }
}

function isLeader({ peers }: ExchangeSide): boolean {
  return peers.ownLeaderSinceMs !== undefined;
}
