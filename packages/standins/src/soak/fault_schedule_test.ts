// However VMs, links and the log fail, no request may run twice, no shard may
// have two holders, and no request reported as not run may have run.

import * as fc from "fast-check";

import { runSchedule, SCHEDULE, type ScheduleStep } from "./fault_schedule.ts";

const RUNS = 40;
const SEED = 20_260;

describe("runSchedule", () => {
  // VM 3 is paused while VM 1 is killed and replaced by a new process.
  it("distinguishes a new process from the old one at the same address", async () => {
    const schedule: readonly ScheduleStep[] = [
      { kind: "request", vm: 0, team: "b", key: undefined },
      { kind: "pause", vm: 3 },
      { kind: "wait", ms: 12_000 },
      { kind: "kill", vm: 1, lagMs: 100 },
      { kind: "late-append", vm: 3 },
      { kind: "wait", ms: 3 },
      { kind: "wait", ms: 3 },
      { kind: "start", vm: 1 },
    ];
    const { violations } = await runSchedule(schedule);
    expect(violations).toEqual([]);
  });

  it("finds no violation in random schedules of faults", async () => {
    await fc.assert(
      fc.asyncProperty(SCHEDULE, async (schedule) => {
        const { violations } = await runSchedule(schedule);
        expect(violations).toEqual([]);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
