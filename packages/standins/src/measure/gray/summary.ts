/** Aggregates the runs of a scenario over all seeds. */

import { computeQuantile } from "./run_observer.ts";
import type { RunResult } from "./run_result.ts";
import type { Scenario } from "./scenario.ts";

/** Metrics of one scenario, size and policy over all seeds. */
export interface ScenarioSummary {
  readonly scenario: string;
  readonly site: string;
  readonly policy: string;
  readonly seeds: number;
  readonly floor: number;
  readonly detectionTargetMs: number | undefined;
  /** Gray servers not ejected by all VMs before the end of the run. */
  readonly undetected: number;
  readonly grayServers: number;
  readonly detectionP50Ms: number | undefined;
  readonly detectionP99Ms: number | undefined;
  readonly falseEjectionsPerServerHour: number;
  readonly falseEjections: number;
  readonly leastCapacity: number;
  /**
   * A team's share of served requests relative to a run without faults; the
   * smallest over teams and seeds.
   */
  readonly worstTeamSuccess: number;
  /** The worst team's 99th percentile latency; median over seeds. */
  readonly worstTeamP99Ms: number;
  /** The same without faults. */
  readonly worstTeamP99NoFaultMs: number;
  readonly wrongfulRefusalShare: number;
  readonly extraLoadShare: number;
  readonly slotOverrunShare: number;
  readonly probeCostMsPerServerHour: number;
  readonly controlBytesPerVmSecond: number;
  readonly mostCrashedServers: number;
}

/** Two runs with the same seed, with and without the scenario's faults. */
export interface RunPair {
  readonly faulty: RunResult;
  readonly healthy: RunResult;
}

/** Team that causes team-surge and slow-team faults. */
const MISBEHAVING_TEAM = "team-0";

/**
 * Aggregates the runs of one scenario, size and policy.
 *
 * @param scenario - scenario of the runs
 * @param site - name of the size, a key of SITES
 * @param pairs - one pair of runs per seed
 * @returns totals, shares and quantiles over the seeds
 */
export function buildSummary(
  scenario: Scenario,
  site: string,
  pairs: readonly RunPair[],
): ScenarioSummary {
  const runs = pairs.map((pair) => pair.faulty);
  const detections = runs.flatMap((run) => run.detectionMs);
  const detected = detections.filter((value) => value !== undefined);
  const serverHours = sumOf(runs, (run) => run.serverHours);
  const isTeamFault = scenario.faults.some((fault) =>
    fault.kind === "team-surge" || fault.kind === "slow-team"
  );
  const worst = pairs.map((pair) => compareTeams(pair, isTeamFault));
  return {
    scenario: scenario.name,
    site,
    policy: runs[0]?.policy ?? "",
    seeds: runs.length,
    floor: scenario.floor,
    detectionTargetMs: scenario.detectionTargetMs,
    undetected: detections.length - detected.length,
    grayServers: detections.length,
    detectionP50Ms: detected.length === 0
      ? undefined
      : computeQuantile(detected, 0.5),
    detectionP99Ms: detected.length === 0
      ? undefined
      : computeQuantile(detected, 0.99),
    falseEjections: sumOf(runs, (run) => run.falseEjections),
    falseEjectionsPerServerHour: sumOf(runs, (run) => run.falseEjections) /
      serverHours,
    leastCapacity: Math.min(...runs.map((run) => run.leastCapacity)),
    worstTeamSuccess: Math.min(...worst.map((team) => team.success)),
    worstTeamP99Ms: computeQuantile(worst.map((team) => team.p99Ms), 0.5),
    worstTeamP99NoFaultMs: computeQuantile(
      worst.map((team) => team.noFaultP99Ms),
      0.5,
    ),
    wrongfulRefusalShare: sumOf(runs, (run) => run.wrongfulRefusals) /
      Math.max(1, sumOf(runs, (run) => run.withinRate)),
    extraLoadShare: sumOf(runs, (run) => run.extraAttempts) /
      Math.max(1, sumOf(runs, (run) => run.firstAttempts)),
    slotOverrunShare: sumOf(runs, (run) => run.slotOverruns) /
      Math.max(1, sumOf(runs, (run) => run.firstAttempts)),
    probeCostMsPerServerHour: sumOf(runs, (run) => run.probeCostMs) /
      serverHours,
    controlBytesPerVmSecond: sumOf(
      runs,
      (run) => run.controlBytesPerVmSecond,
    ) / runs.length,
    mostCrashedServers: Math.max(...runs.map((run) => run.crashedServers)),
  };
}

// Finds the worst values over the teams, without the team at fault.
function compareTeams(
  pair: RunPair,
  isTeamFault: boolean,
): {
  readonly success: number;
  readonly p99Ms: number;
  readonly noFaultP99Ms: number;
} {
  let success = 1;
  let p99Ms = 0;
  let noFaultP99Ms = 0;
  for (const team of pair.faulty.teams) {
    const healthy = pair.healthy.teams.find((other) =>
      other.team === team.team
    );
    if (
      healthy === undefined || (isTeamFault && team.team === MISBEHAVING_TEAM)
    ) {
      continue;
    }
    const share = team.served / Math.max(1, team.sent);
    const healthyShare = healthy.served / Math.max(1, healthy.sent);
    success = Math.min(success, share / Math.max(healthyShare, 0.01));
    p99Ms = Math.max(p99Ms, team.p99Ms);
    noFaultP99Ms = Math.max(noFaultP99Ms, healthy.p99Ms);
  }
  return { success, p99Ms, noFaultP99Ms };
}

function sumOf(
  runs: readonly RunResult[],
  read: (run: RunResult) => number,
): number {
  return runs.reduce((sum, run) => sum + read(run), 0);
}
