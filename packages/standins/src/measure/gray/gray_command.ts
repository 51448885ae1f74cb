/**
 * `measure gray` command: measures detection, routing and fairness over
 * scenarios and seeds.
 */

import { mkdirSync, readdirSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

import Table from "cli-table3";
import { Command, Option } from "clipanion";

import { LeastOutstandingPolicy, RoundRobinPolicy } from "./baseline_policy.ts";
import type { FleetPolicy, PolicyEnvironment } from "./fleet_policy.ts";
import { LimpetfordPolicy } from "./limpetford_policy.ts";
import type { RunResult } from "./run_result.ts";
import { loadScenario, type Scenario } from "./scenario.ts";
import { runScenario } from "./scenario_run.ts";
import { buildSummary, type RunPair, type ScenarioSummary } from "./summary.ts";

const SCENARIO_DIRECTORY = fileURLToPath(
  new URL("../../../scenarios/", import.meta.url),
);
/** Longest run without faults, which serves as the reference. */
const MAX_HEALTHY_RUN_MS = 15_000;
const DEFAULT_SEEDS = "1-20";
const DEFAULT_OUTPUT = "out/gray.json";

type PolicyFactory = (environment: PolicyEnvironment) => FleetPolicy;

const LIMPETFORD: PolicyFactory = (environment) =>
  new LimpetfordPolicy(environment);
const BASELINES: readonly PolicyFactory[] = [
  (environment) => new RoundRobinPolicy(environment),
  (environment) => new LeastOutstandingPolicy(environment),
];

/** Content of the JSON file that the measurement writes. */
export interface GrayReport {
  readonly seeds: string;
  readonly summaries: readonly ScenarioSummary[];
  /** Runs of the first seed with their timelines, for the plots. */
  readonly samples: readonly {
    readonly scenario: string;
    readonly site: string;
    readonly floor: number;
    readonly run: RunResult;
  }[];
}

/**
 * Runs scenarios with each policy, writes the report as JSON and prints a
 * table.
 */
export class GrayCommand extends Command {
  static override paths = [["gray"]];
  static override usage = Command.Usage({
    description: "Measure detection, routing and fairness under gray failures.",
  });

  readonly scenarios = Option.Array("--scenario", {
    description: "Scenario file; may be given several times. Default: all.",
  });
  readonly seeds = Option.String("--seeds", DEFAULT_SEEDS, {
    description: "Range of seeds, as 1-20.",
  });
  readonly isWithoutBaselines = Option.Boolean("--no-baselines", false, {
    description: "Leave the baselines out.",
  });
  readonly output = Option.String("--output", DEFAULT_OUTPUT, {
    description: "Where the JSON goes.",
  });

  override execute(): Promise<number> {
    const seeds = parseSeeds(this.seeds);
    const policies = this.isWithoutBaselines
      ? [LIMPETFORD]
      : [LIMPETFORD, ...BASELINES];
    const scenarios = (this.scenarios ?? listScenarioFiles()).map(loadScenario);
    const summaries: ScenarioSummary[] = [];
    const samples: GrayReport["samples"][number][] = [];
    for (const scenario of scenarios) {
      for (const site of scenario.sites) {
        for (const createPolicy of policies) {
          const pairs = seeds.map((seed) =>
            runPair(scenario, { site, seed, createPolicy })
          );
          const summary = buildSummary(scenario, site, pairs);
          summaries.push(summary);
          const first = pairs[0];
          if (first !== undefined) {
            const { name, floor } = scenario;
            samples.push({ scenario: name, site, floor, run: first.faulty });
          }
        }
        this.#store({ seeds: this.seeds, summaries, samples });
      }
    }
    this.context.stdout.write(`${formatTable(summaries)}\n`);
    return Promise.resolve(0);
  }

  // Called after each scenario and size, so that an interrupted run keeps the
  // results so far.
  #store(report: GrayReport): void {
    mkdirSync(dirname(this.output), { recursive: true });
    writeFileSync(this.output, JSON.stringify(report));
  }
}

function listScenarioFiles(): readonly string[] {
  return readdirSync(SCENARIO_DIRECTORY)
    .filter((name) => name.endsWith(".yaml"))
    .sort()
    .map((name) => join(SCENARIO_DIRECTORY, name));
}

/** Runs without faults, cached because many scenarios share them. */
const HEALTHY_RUNS = new Map<string, RunResult>();

function runPair(
  scenario: Scenario,
  options: Omit<Parameters<typeof runScenario>[0], "scenario">,
): RunPair {
  const faulty = runScenario({ scenario, ...options });
  if (scenario.faults.length === 0) {
    return { faulty, healthy: faulty };
  }
  const durationMs = Math.min(MAX_HEALTHY_RUN_MS, scenario.durationMs);
  const key = [
    faulty.policy,
    options.site,
    options.seed,
    durationMs,
    scenario.vms,
    scenario.floor,
    scenario.requestsPerServerSecond,
    scenario.seed,
  ].join();
  const faultless: Scenario = { ...scenario, durationMs, faults: [] };
  const healthy = HEALTHY_RUNS.get(key) ??
    runScenario({ scenario: faultless, ...options });
  HEALTHY_RUNS.set(key, healthy);
  return { faulty, healthy };
}

function parseSeeds(text: string): readonly number[] {
  const [first, last] = text.split("-").map(Number);
  if (first === undefined || !Number.isInteger(first)) {
    throw new RangeError(`"${text}" is not a range of seeds such as 1-20`);
  }
  const end = last ?? first;
  return Array.from({ length: end - first + 1 }, (_, index) => first + index);
}

function formatTable(summaries: readonly ScenarioSummary[]): string {
  const table = new Table({
    style: { head: [], border: [], compact: true },
    head: [
      "scenario",
      "site",
      "policy",
      "found",
      "p50 ms",
      "p99 ms",
      "false/server h",
      "capacity",
      "worst ok",
      "p99/no fault",
      "refused",
      "extra",
      "overrun",
      "probe ms",
      "B/s",
      "crashed",
    ],
  });
  for (const one of summaries) {
    table.push([
      one.scenario,
      one.site,
      one.policy.split(",")[0] ?? "",
      `${one.grayServers - one.undetected}/${one.grayServers}`,
      one.detectionP50Ms?.toFixed(0) ?? "-",
      one.detectionP99Ms?.toFixed(0) ?? "-",
      one.falseEjectionsPerServerHour.toFixed(2),
      `${one.leastCapacity.toFixed(2)}/${one.floor.toFixed(2)}`,
      `${(100 * one.worstTeamSuccess).toFixed(2)}%`,
      `${one.worstTeamP99Ms.toFixed(0)}/${
        one.worstTeamP99NoFaultMs.toFixed(0)
      }`,
      `${(100 * one.wrongfulRefusalShare).toFixed(3)}%`,
      `${(100 * one.extraLoadShare).toFixed(1)}%`,
      `${(100 * one.slotOverrunShare).toFixed(1)}%`,
      one.probeCostMsPerServerHour.toFixed(0),
      one.controlBytesPerVmSecond.toFixed(0),
      String(one.mostCrashedServers),
    ]);
  }
  return table.toString();
}
