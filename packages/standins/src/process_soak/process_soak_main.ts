/**
 * Command line of the process soak, one run per seed:
 * `npm run soak:processes -- --seed 1 --runs 50 --seconds 10`.
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";

import { buildBundle } from "../fleet/bundle.ts";
import { ProcessSoak } from "./process_soak.ts";

const LOG_DIRECTORY = "out/soak";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    runs: { type: "string", default: "50" },
    seconds: { type: "string", default: "10" },
  },
});
const firstSeed = Number(values.seed);
const runCount = Number(values.runs);
const lengthMs = Number(values.seconds) * 1_000;

buildBundle();
let failed = 0;
for (let seed = firstSeed; seed < firstSeed + runCount; seed++) {
  const result = await new ProcessSoak({ seed, lengthMs }).run();
  const { sent, served, violations, faults, logs } = result;
  print(
    `seed ${seed}: ${served} of ${sent} served, ${violations.length} violations`,
  );
  if (violations.length > 0) {
    failed += 1;
    print(violations.join("\n"));
    print(faults.map((fault) => JSON.stringify(fault)).join("\n"));
    mkdirSync(LOG_DIRECTORY, { recursive: true });
    for (const [vm, log] of logs.entries()) {
      writeFileSync(`${LOG_DIRECTORY}/seed-${seed}-vm-${vm}.log`, log);
    }
  }
}
print(`${runCount} runs from seed ${firstSeed}, ${failed} with violations.`);
process.exitCode = failed === 0 ? 0 : 1;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
