/**
 * Runs random fault schedules until one violates an invariant:
 * `npm run soak -- --seed N --runs M`. `--path` repeats a reported failure.
 */

import { parseArgs } from "node:util";

import * as fc from "fast-check";

import { runSchedule, SCHEDULE } from "./fault_schedule.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    runs: { type: "string", default: "500" },
    path: { type: "string" },
  },
});
const seed = Number(values.seed);
const numRuns = Number(values.runs);
const totals = { responses: 0, runs: 0 };

const details = await fc.check(
  fc.asyncProperty(SCHEDULE, async (schedule) => {
    const result = await runSchedule(schedule);
    totals.responses += result.responses;
    totals.runs += result.runs;
    if (result.violations.length > 0) {
      throw new Error(JSON.stringify(result.violations));
    }
  }),
  { seed, numRuns, ...values.path === undefined ? {} : { path: values.path } },
);

if (details.failed) {
  print(
    `Failed after ${details.numRuns} schedules, ${details.numShrinks} shrinks:`,
  );
  print(String(details.errorInstance));
  print(JSON.stringify(details.counterexample, null, 1));
  print(
    `Reproduce with: npm run soak -- --seed ${seed} --runs 1 --path ${
      details.counterexamplePath ?? ""
    }`,
  );
  process.exitCode = 1;
} else {
  print(
    `${details.numRuns} schedules with seed ${seed}: ${totals.responses} responses, ${totals.runs} runs, no violation.`,
  );
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
