/** Replaces the build of a fleet of processes, VM by VM, under load and faults. */

import { SeededRandomSource } from "@limpetford/core/time/random_source";

import { FleetProcesses } from "../fleet/fleet_processes.ts";
import type { VmProcessHandle } from "../fleet/vm_process_handle.ts";
import type { ConfigurationOverrides } from "../platform/published_records.ts";
import { FaultInjector } from "../process_soak/fault_injector.ts";
import {
  isOfLimitedTeam,
  type ObservedRequest,
  SoakCallers,
} from "../process_soak/soak_callers.ts";
import {
  findLateRuns,
  findLimitExcess,
  findViolations,
} from "../process_soak/soak_checks.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import type { UpgradeBuild } from "./build_folder.ts";
import { generateSeries, sortRandomly } from "./fault_series.ts";
import { findTeamExcess, findUnusedServers } from "./fleet_checks.ts";
import { MixedPhase } from "./mixed_phase.ts";
import {
  type Disturbance,
  findLostRequests,
  findMalformedLines,
  findOwnEnds,
  type VmLife,
} from "./upgrade_checks.ts";
import { findBuildName, listLives } from "./version_timeline.ts";

const ZONES = [3, 3] as const;
const SERVER_COUNT = 8;
const PROCESSING_MS = 20;
const CRASH_DELAY_MS = 40;
const CRASH_DOWN_MS = 1_200;
/** Limit of the team that sends too much. */
const TEAM_LIMIT = { ratePerSecond: 10, burst: 10 };
/** Rate that the first server names, less than it would get. */
const NAMED_LIMIT = 1;
const WARM_UP_MS = 2_000;
const SETTLE_MS = 3_000;
const MAX_RECOVERY_MS = 15_000;
/** Longer than any run; the load is stopped. */
const LOAD_MS = 600_000;
/** VMs that are replaced before the series of faults, and during it. */
const BEFORE_FAULTS = 2;
const UNTIL_FAULTS_END = 3;
/** Time around a fault in which requests may suffer from it. */
const DISTURBANCE_MARGIN_MS = 500;
/** Added to the seed for the callers' own random numbers. */
const CALLERS_SEED = 1_000_000;
/** Target of the request that crashes servers. */
const CRASHING_TARGET = "/read/crash";

/** Builds and seed of a run. */
export interface UpgradeOptions {
  /** Build that the fleet starts with. */
  readonly from: UpgradeBuild;
  /** Build that it is replaced by. */
  readonly to: UpgradeBuild;
  /** True to replace it by the first one again. */
  readonly isBack: boolean;
  /** Equal seeds give the same order and the same faults. */
  readonly seed: number;
}

/** What happened when, for pages. */
export interface UpgradeEvent {
  /** Wall-clock time, in milliseconds. */
  readonly atMs: number;
  readonly what: string;
}

/** What was seen in a run. */
export interface UpgradeResult {
  readonly seed: number;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly sent: readonly ObservedRequest[];
  readonly lives: readonly VmLife[];
  readonly disturbances: readonly Disturbance[];
  readonly events: readonly UpgradeEvent[];
  /** A message for each broken rule; empty if all were kept. */
  readonly violations: readonly string[];
}

/** One run: a fleet, its callers, faults, and the replacement of its build. */
export class UpgradeRun {
  readonly #options: UpgradeOptions;
  readonly #fleet: FleetProcesses;
  readonly #random: SeededRandomSource;
  readonly #callers: SoakCallers;
  readonly #faultInjector: FaultInjector;
  readonly #disturbances: Disturbance[] = [];
  readonly #events: UpgradeEvent[] = [];
  readonly #violations: string[] = [];
  /** Number of configurations that have replaced the first one. */
  #round = 0;
  #crashingSinceMs: number | undefined;

  /**
   * Creates a run without starting anything.
   *
   * @param options - builds and seed
   */
  constructor(options: UpgradeOptions) {
    this.#options = options;
    this.#fleet = new FleetProcesses({
      logLevel: "info",
      ...options.from.program,
    });
    this.#random = new SeededRandomSource(options.seed);
    this.#faultInjector = new FaultInjector(this.#fleet);
    this.#callers = new SoakCallers({
      fleet: this.#fleet,
      // How much callers draw depends on time; faults must not depend on it.
      random: new SeededRandomSource(options.seed + CALLERS_SEED),
      crashingTarget: CRASHING_TARGET,
    });
  }

  /**
   * Runs the fleet, and stops it afterwards.
   *
   * @returns what was seen
   */
  async run(): Promise<UpgradeResult> {
    const { from, to, isBack, seed } = this.#options;
    const startedAtMs = Date.now();
    let loadedAtMs = startedAtMs;
    try {
      await this.#fleet.start({ servers: SERVER_COUNT, zones: ZONES });
      for (const server of this.#fleet.servers) {
        server.processingMs = PROCESSING_MS;
        server.crashBehavior = {
          isCrashing: ({ target }) => target === CRASHING_TARGET,
          delayMs: CRASH_DELAY_MS,
          downMs: CRASH_DOWN_MS,
        };
      }
      const [limited] = this.#fleet.servers;
      if (limited !== undefined) {
        limited.chooseNamedLimit = (): string => String(NAMED_LIMIT);
      }
      this.#fleet.publishNextConfiguration(this.#buildConfiguration());
      const load: Promise<void>[] = [
        this.#callers.sendRequests(LOAD_MS),
        this.#callers.sendLimitedRequests(LOAD_MS),
      ];
      await waitMs(WARM_UP_MS);
      loadedAtMs = Date.now();
      await this.#updateFleet(to, load);
      if (isBack) {
        await this.#updateFleet(from, load);
      }
      this.#callers.stop();
      await Promise.all(load);
    } finally {
      this.#callers.stop();
      await this.#fleet.stop();
    }
    const lives = listLives(this.#fleet.vms, [from, to]);
    const { sent } = this.#callers;
    const runs = this.#callers.listRuns();
    const disturbances = this.#disturbances;
    return {
      seed,
      startedAtMs,
      endedAtMs: Date.now(),
      sent,
      lives,
      disturbances,
      events: this.#events,
      violations: [
        ...this.#violations,
        ...this.#faultInjector.violations,
        ...findViolations({ sent, runs }),
        ...findTeamExcess({
          ...TEAM_LIMIT,
          ranAtMs: runs.filter(({ target }) => isOfLimitedTeam(target))
            .map(({ atMs }) => atMs),
        }),
        ...findLimitExcess({
          limit: NAMED_LIMIT,
          receivedAtMs: this.#fleet.servers[0]?.received.map(
            ({ receivedAtMs }) => receivedAtMs,
          ) ?? [],
          faultsEndedAtMs: loadedAtMs,
        }),
        ...findLateRuns({
          ranAtMs: this.#callers.listCrashingRuns(),
          faultsEndedAtMs: this.#crashingSinceMs ?? Infinity,
        }),
        ...findLostRequests({ sent, runs, disturbances }),
        ...findOwnEnds(lives),
        ...findMalformedLines(lives),
      ],
    };
  }

  #buildConfiguration(): ConfigurationOverrides {
    return {
      limit: TEAM_LIMIT,
      moreKeys: [`key-of-round-${this.#round}`],
    };
  }

  // Adds the deadly request to the load when both builds run.
  async #updateFleet(
    build: UpgradeBuild,
    load: Promise<void>[],
  ): Promise<void> {
    this.#recordEvent(`to ${build.name}`);
    const order = sortRandomly(this.#random, this.#fleet.vms.length);
    const replace = async (from: number, to: number): Promise<void> => {
      for (const index of order.slice(from, to)) {
        await this.#updateVm(this.#fleet.vms[index], build);
      }
    };
    await replace(0, BEFORE_FAULTS);
    await Promise.all([
      this.#runFaults(order),
      replace(BEFORE_FAULTS, UNTIL_FAULTS_END),
    ]);
    await this.#checkRecovery("the faults");
    if (this.#crashingSinceMs === undefined) {
      this.#crashingSinceMs = Date.now();
      load.push(this.#callers.sendCrashingRequests(LOAD_MS));
    }
    await this.#runMixedPhase();
    await replace(UNTIL_FAULTS_END, order.length);
    await this.#checkRecovery("the replacement");
    await this.#checkUse();
  }

  async #runMixedPhase(): Promise<void> {
    this.#recordEvent("a key is withdrawn, two servers leave");
    const withdrawnKey = `key-of-round-${this.#round}`;
    this.#round += 1;
    const { from, to } = this.#options;
    const violations = await new MixedPhase({
      fleet: this.#fleet,
      callers: this.#callers,
      crashingTarget: CRASHING_TARGET,
      processingMs: PROCESSING_MS,
      findBuildName: ({ program }) => findBuildName([from, to], program),
      configuration: this.#buildConfiguration(),
      withdrawnKey,
      newKey: `key-of-round-${this.#round}`,
    }).run();
    this.#violations.push(...violations);
    this.#recordEvent("both servers are back");
  }

  async #checkUse(): Promise<void> {
    const fromMs = Date.now();
    await waitMs(SETTLE_MS);
    const [, ...good] = this.#fleet.servers;
    this.#violations.push(...findUnusedServers({
      servers: good.map(({ id }) => id),
      runs: this.#callers.listRuns(),
      fromMs,
      toMs: Date.now(),
    }));
  }

  async #updateVm(
    vm: VmProcessHandle | undefined,
    build: UpgradeBuild,
  ): Promise<void> {
    if (vm === undefined) {
      return;
    }
    this.#recordEvent(`${vm.id} is replaced`);
    // Whoever starts it next starts the other build.
    vm.program = build.program;
    vm.sendSignal("SIGTERM");
    await vm.waitForExit();
    await this.#fleet.startIfStopped(vm);
    await this.#waitUntilReady(vm);
  }

  async #waitUntilReady(vm: VmProcessHandle): Promise<void> {
    const endAtMs = Date.now() + MAX_RECOVERY_MS;
    while (!await this.#fleet.isReady(vm)) {
      if (Date.now() > endAtMs) {
        this.#violations.push(
          `${vm.id} was not ready ${MAX_RECOVERY_MS} ms after its start`,
        );
        return;
      }
      await waitMs(100);
    }
  }

  async #runFaults(order: readonly number[]): Promise<void> {
    const startMs = Date.now();
    await Promise.all(
      generateSeries(this.#random, order).map(async (scheduled) => {
        const { atMs, forMs, fault } = scheduled;
        const vm = "vm" in fault ? this.#fleet.vms[fault.vm]?.id : undefined;
        const what = fault.kind === "store"
          ? `store ${fault.fault}`
          : `${fault.kind} ${vm ?? ""}`;
        this.#events.push({ atMs: startMs + atMs, what });
        const running = this.#faultInjector.run(scheduled);
        if (vm !== undefined) {
          this.#disturbances.push({
            vm,
            what,
            fromMs: startMs + atMs - DISTURBANCE_MARGIN_MS,
            toMs: startMs + atMs + forMs + DISTURBANCE_MARGIN_MS,
          });
        }
        await running;
      }),
    );
  }

  async #checkRecovery(what: string): Promise<void> {
    const endAtMs = Date.now() + MAX_RECOVERY_MS;
    for (const vm of this.#fleet.vms) {
      await this.#waitUntilReady(vm);
    }
    if (!await this.#callers.waitForRecovery(endAtMs)) {
      this.#violations.push(
        `the fleet did not recover within ${MAX_RECOVERY_MS} ms of ${what}`,
      );
    }
  }

  #recordEvent(what: string): void {
    this.#events.push({ atMs: Date.now(), what });
  }
}
