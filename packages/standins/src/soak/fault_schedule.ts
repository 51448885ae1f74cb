/**
 * Random schedules of faults and requests, and the function that runs one
 * against a virtual fleet.
 */

import * as fc from "fast-check";

import { type InvariantViolation, VirtualFleet } from "./virtual_fleet.ts";

const FLEET_SIZE = 4;
const SHARD_COUNT = 2;
const TEAMS = ["a", "b"];
const KEYS_PER_TEAM = 2;
const MAX_STEPS = 40;
const SETTLE_MS = 4_000;
const RECOVERY_MS = 8_000;
const LATE_APPEND_DELAY_MS = 3_500;

/** One step of a schedule. */
export type ScheduleStep =
  /** Lets virtual time pass. */
  | { readonly kind: "wait"; readonly ms: number }
  /** Sends a request through a VM. */
  | {
    readonly kind: "request";
    readonly vm: number;
    readonly team: string;
    /** Index of the team's key; undefined for a key used only once. */
    readonly key: number | undefined;
  }
  /** Kills a VM; the platform's VM list removes it `lagMs` later. */
  | { readonly kind: "kill"; readonly vm: number; readonly lagMs: number }
  /** Starts, drains, pauses or resumes (`go-on`) a VM. */
  | {
    readonly kind: "start" | "drain" | "pause" | "go-on";
    readonly vm: number;
  }
  /** Cuts or restores (`mend`) one direction of a link. */
  | {
    readonly kind: "cut" | "mend";
    readonly from: number;
    readonly to: number;
  }
  /** Makes the log unavailable or available again to all VMs. */
  | { readonly kind: "log-away" | "log-back" }
  /** Changes the log's faults for one VM. */
  | {
    readonly kind:
      | "vm-log-away"
      | "vm-log-back"
      | "lose-answer"
      | "late-append";
    readonly vm: number;
  };

const vm = fc.integer({ min: 0, max: FLEET_SIZE - 1 });

const STEP: fc.Arbitrary<ScheduleStep> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.constantFrom(3, 20, 100, 500, 1_500, 3_000, 12_000),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("request" as const),
      vm,
      team: fc.constantFrom(...TEAMS),
      key: fc.option(fc.integer({ min: 0, max: KEYS_PER_TEAM - 1 }), {
        nil: undefined,
      }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("kill" as const),
      vm,
      lagMs: fc.constantFrom(100, 2_000, 15_000),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constantFrom("start", "drain", "pause", "go-on"),
      vm,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom("cut", "mend"),
      from: vm,
      to: vm,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constantFrom("log-away", "log-back") }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "vm-log-away",
        "vm-log-back",
        "lose-answer",
        "late-append",
      ),
      vm,
    }),
  },
);

/** Schedules of up to {@link MAX_STEPS} steps. */
export const SCHEDULE: fc.Arbitrary<readonly ScheduleStep[]> = fc.array(STEP, {
  minLength: 5,
  maxLength: MAX_STEPS,
  size: "max",
});

/** Result of one schedule. */
export interface ScheduleResult {
  readonly violations: readonly InvariantViolation[];
  /** Number of responses to callers. */
  readonly responses: number;
  /** Number of runs at backend servers, of all requests together. */
  readonly runs: number;
}

/**
 * Runs a schedule against a new fleet, then clears network faults and log
 * outages, resumes all VMs and lets the fleet recover.
 *
 * @param schedule - steps in the order in which they are applied
 * @returns violated invariants, and counts of responses and runs
 */
export async function runSchedule(
  schedule: readonly ScheduleStep[],
): Promise<ScheduleResult> {
  const fleet = new VirtualFleet({ shardCount: SHARD_COUNT });
  for (let index = 0; index < FLEET_SIZE; index += 1) {
    await fleet.startVm(index);
  }
  await fleet.advance(SETTLE_MS);
  for (const [index, step] of schedule.entries()) {
    await applyStep(fleet, step, index);
  }
  fleet.links.clear();
  setLogUnavailable(fleet, false);
  fleet.vms.forEach((item) => {
    item.scheduler.resume();
  });
  await fleet.advance(RECOVERY_MS);
  return {
    violations: [...fleet.violations, ...fleet.listFalseRefusals()],
    responses: fleet.responses.length,
    runs: fleet.countAllRuns(),
  };
}

async function applyStep(
  fleet: VirtualFleet,
  step: ScheduleStep,
  index: number,
): Promise<void> {
  switch (step.kind) {
    case "wait":
      await fleet.advance(step.ms);
      return;
    case "request": {
      const key = step.key === undefined
        ? `once-${index}`
        : `${step.team}-${step.key}`;
      fleet.sendRequest(step.vm, step.team, key);
      return;
    }
    case "cut":
    case "mend":
      fleet.links.setCut(
        `vm-${step.from}`,
        `vm-${step.to}`,
        step.kind === "cut",
      );
      return;
    case "log-away":
    case "log-back":
      setLogUnavailable(fleet, step.kind === "log-away");
      return;
    case "start":
      if (fleet.findVm(step.vm) === undefined) {
        await fleet.startVm(step.vm);
      }
      return;
    default:
      applyVmStep(fleet, step);
  }
}

function applyVmStep(
  fleet: VirtualFleet,
  step: Extract<ScheduleStep, { vm: number }>,
): void {
  const target = fleet.findVm(step.vm);
  if (target === undefined) {
    return;
  }
  const { faults } = target.log;
  switch (step.kind) {
    case "kill":
      fleet.abortVm(target, step.lagMs);
      return;
    case "drain":
      fleet.drainVm(target);
      return;
    case "pause":
      target.scheduler.stop();
      return;
    case "go-on":
      target.scheduler.resume();
      return;
    case "vm-log-away":
    case "vm-log-back":
      faults.isUnavailable = step.kind === "vm-log-away";
      faults.delayBeforeEffectMs = 0;
      return;
    case "lose-answer":
      faults.appendResponsesToLose += 1;
      return;
    case "late-append":
      faults.delayBeforeEffectMs = LATE_APPEND_DELAY_MS;
      return;
    case "request":
    case "start":
  }
}

function setLogUnavailable(fleet: VirtualFleet, isUnavailable: boolean): void {
  fleet.vms.forEach((item) => {
    item.log.faults.isUnavailable = isUnavailable;
  });
}
