/**
 * Measures the requests that are refused although their team is within its rate
 * limit, for each limiting policy, load, traffic pattern and fault.
 */

import { LIMIT_POLICY } from "../limits/limit_policies.ts";
import {
  type LimitFigures,
  type LimitScenario,
  type Replacement,
  runLimitScenario,
  type TrafficPattern,
} from "../limits/limit_scenario.ts";
import type { FigureTable } from "../measure_output.ts";

const VM_COUNT = 44;
/** Offered loads, as multiples of each team's rate. */
const LOADS = [0.5, 0.9, 3] as const;
const PATTERNS: readonly TrafficPattern[] = ["steady", "bursty"];
const REPLACEMENTS: readonly Replacement[] = [
  { kind: "none" },
  { kind: "killed", share: 0.01 },
  { kind: "killed", share: 0.25 },
  { kind: "planned", share: 0.25 },
];

/** A scenario and its results. Written to the JSON file as it is. */
export interface LimitRow {
  readonly scenario: LimitScenario;
  readonly figures: LimitFigures;
}

/**
 * Runs every combination of load, pattern, replacement, callers and policy.
 *
 * @param seed - seed of all random numbers
 * @returns one row per scenario
 */
export async function measureLimits(
  seed: number,
): Promise<readonly LimitRow[]> {
  const rows: LimitRow[] = [];
  for (const scenario of listScenarios(seed)) {
    rows.push({ scenario, figures: await runLimitScenario(scenario) });
  }
  return rows;
}

/**
 * Builds the printed table of wrongful refusals, with a column per policy.
 *
 * @param rows - results of all scenarios
 * @returns a table with one row per load, pattern, replacement and callers
 */
export function buildLimitsTable(rows: readonly LimitRow[]): FigureTable {
  const policies = Object.values(LIMIT_POLICY);
  const cases = new Map<string, LimitRow[]>();
  for (const row of rows) {
    const name = describeCase(row.scenario);
    cases.set(name, [...cases.get(name) ?? [], row]);
  }
  return {
    title: "Refused although within rate, in % (worst team), by policy",
    columns: [
      "load",
      "traffic",
      "VMs replaced",
      "callers",
      ...policies,
      "calls per request (grants)",
      "largest excess (grants)",
    ],
    rows: [...cases].map(([name, caseRows]) => {
      const figuresByPolicy = policies.map((policy) =>
        caseRows.find((row) => row.scenario.policy === policy)?.figures
      );
      const [grants] = figuresByPolicy;
      return [
        ...name.split("|"),
        ...figuresByPolicy.map(formatShares),
        grants?.callsPerRequest.toFixed(2) ?? "",
        grants?.largestExcess.toFixed(1) ?? "",
      ];
    }),
  };
}

function listScenarios(seed: number): readonly LimitScenario[] {
  return LOADS.flatMap((load) =>
    PATTERNS.flatMap((pattern) =>
      REPLACEMENTS.flatMap((replacement) =>
        [true, false].flatMap((areCallersLed) =>
          Object.values(LIMIT_POLICY).map((policy) => ({
            policy,
            vmCount: VM_COUNT,
            load,
            pattern,
            replacement,
            areCallersLed,
            seed,
          }))
        )
      )
    )
  );
}

function describeCase(scenario: LimitScenario): string {
  const { load, pattern, replacement, areCallersLed } = scenario;
  const replaced = replacement.kind === "none"
    ? "none"
    : `${replacement.share * 100} % ${replacement.kind}`;
  const callers = areCallersLed ? "led" : "scattered";
  return [`${load} × rate`, pattern, replaced, callers].join("|");
}

function formatShares(figures: LimitFigures | undefined): string {
  if (figures === undefined) {
    return "";
  }
  const { wrongfulShare, worstTeamShare } = figures;
  return `${formatPercent(wrongfulShare)} (${formatPercent(worstTeamShare)})`;
}

function formatPercent(share: number): string {
  return (share * 100).toFixed(2);
}
