/** Runs the steps of the tour and prints a table of the results. */

import Table from "cli-table3";

import type { DemoFleet } from "../demo_fleet.ts";
import {
  ConcurrentPublishStep,
  InvalidSheetStep,
  LeavingServerStep,
  SheetPropagationStep,
  WithdrawnKeyStep,
} from "./configuration_steps.ts";
import {
  CrashedHolderStep,
  GracefulDrainStep,
  GrayServerStep,
  LogOutageStep,
  RateLimitStep,
} from "./fault_steps.ts";
import {
  BrokenResponseStep,
  NoisyNeighborStep,
  OneWayPartitionStep,
  PartitionAfterOutageStep,
  RecoveredReadStep,
} from "./isolation_steps.ts";
import {
  OperatorViewStep,
  WithdrawalDuringOutageStep,
} from "./operator_steps.ts";
import {
  BookingStep,
  EntryAddressesStep,
  IdempotencyKeyReuseStep,
  InvalidKeyStep,
  KeySecrecyStep,
  ReadStep,
  ReloadedFormStep,
  SimultaneousBookingStep,
} from "./request_steps.ts";
import type { TourObservation, TourStep } from "./tour_step.ts";

const STEPS: readonly TourStep[] = [
  new ReadStep(),
  new EntryAddressesStep(),
  new BookingStep(),
  new SimultaneousBookingStep(),
  new ReloadedFormStep(),
  new IdempotencyKeyReuseStep(),
  new InvalidKeyStep(),
  new KeySecrecyStep(),
  new SheetPropagationStep(),
  new WithdrawnKeyStep(),
  new WithdrawalDuringOutageStep(),
  new OperatorViewStep(),
  new ConcurrentPublishStep(),
  new InvalidSheetStep(),
  new LeavingServerStep(),
  new GrayServerStep(),
  new BrokenResponseStep(),
  new RecoveredReadStep(),
  new GracefulDrainStep(),
  new RateLimitStep(),
  new NoisyNeighborStep(),
  new OneWayPartitionStep(),
  new LogOutageStep(),
  new PartitionAfterOutageStep(),
  new CrashedHolderStep(),
];

interface TourRow extends TourObservation {
  readonly deployment: string;
  readonly guarantee: string;
}

const COLUMN_WIDTHS = [12, 44, 66, 5];

/**
 * Runs the tour on all fleets concurrently.
 *
 * @param fleets - running fleets
 * @returns true if every guarantee held in every fleet
 */
export async function runTour(
  fleets: readonly DemoFleet[],
): Promise<boolean> {
  const table = new Table({
    head: ["deployment", "promised", "seen", "ok"],
    colWidths: COLUMN_WIDTHS,
    wordWrap: true,
    style: { head: [], border: [] },
  });
  const rows = await Promise.all(fleets.map(runSteps));
  rows.flat().forEach((row) => {
    table.push([
      row.deployment,
      row.guarantee,
      row.summary,
      formatVerdict(row),
    ]);
  });
  console.log(table.toString());
  return rows.flat().every((row) => row.isSatisfied);
}

async function runSteps(fleet: DemoFleet): Promise<readonly TourRow[]> {
  const rows: TourRow[] = [];
  for (const step of STEPS) {
    const observation = await runStep(fleet, step);
    const deployment = fleet.profile.name;
    const row = { ...observation, deployment, guarantee: step.guarantee };
    rows.push(row);
    const verdict = formatVerdict(row).padEnd(4);
    console.log(`${verdict}${deployment}: ${step.guarantee}`);
  }
  return rows;
}

function formatVerdict(row: TourRow): string {
  return row.isSatisfied ? "yes" : "NO";
}

async function runStep(
  fleet: DemoFleet,
  step: TourStep,
): Promise<TourObservation> {
  try {
    return await step.run(fleet);
  } catch (error) {
    return { summary: `the step failed: ${String(error)}`, isSatisfied: false };
  }
}
