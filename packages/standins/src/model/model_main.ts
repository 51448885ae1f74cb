/**
 * Checks the models of shard ownership, claims and token grants: the real rules
 * must have no violation, and each broken variant must have one. Exits with 1
 * otherwise.
 */

import { stdout } from "node:process";

import {
  type Exploration,
  runExploration,
} from "@limpetford/core/model/explore";
import {
  BROKEN_GRANT_VARIANTS,
  buildGrantModel,
} from "@limpetford/core/model/grant_model";
import { MODEL_BOUNDS } from "@limpetford/core/model/model_bounds";
import { BROKEN_VARIANTS } from "@limpetford/core/model/model_rules";
import { buildOwnershipModel } from "@limpetford/core/model/ownership_model";

// An exploration that finds more states than this counts as failed.
const MAX_STATES = 3_000_000;
const VARIANT_VMS = 3;
const GRANT_TAKEOVERS = 2;

let isAsExpected = true;

print("Real rules:");
for (const { name, vms, budget } of MODEL_BOUNDS) {
  const found = runExploration(
    buildOwnershipModel({ vms, budget }),
    MAX_STATES,
  );
  print(`  ${name}`);
  print(`    bounds: ${vms} VMs, ${JSON.stringify(budget)}`);
  print(`    ${describeExploration(found)}`);
  isAsExpected &&= found.isComplete;
}
const grants = runExploration(buildGrantModel(GRANT_TAKEOVERS), MAX_STATES);
print("  grants of one bucket with a burst of 4 tokens, 3 tokens per second");
print(`    bounds: 1 holder, 1 other VM, ${GRANT_TAKEOVERS} takeovers`);
print(`    ${describeExploration(grants)}`);
isAsExpected &&= grants.isComplete;
print("Broken variants:");
for (const { name, rules } of BROKEN_GRANT_VARIANTS) {
  const model = buildGrantModel(GRANT_TAKEOVERS, rules);
  const found = runExploration(model, MAX_STATES);
  print(`  ${name}`);
  print(`    ${describeExploration(found)}`);
  isAsExpected &&= found.violation !== undefined;
}
for (const { name, rules, budget } of BROKEN_VARIANTS) {
  const model = buildOwnershipModel({ vms: VARIANT_VMS, rules, budget });
  const found = runExploration(model, MAX_STATES);
  print(`  ${name}`);
  print(`    ${describeExploration(found)}`);
  isAsExpected &&= found.violation !== undefined;
}
print(
  isAsExpected
    ? "All results as expected."
    : "Some results are NOT as expected.",
);
process.exitCode = isAsExpected ? 0 : 1;

function describeExploration(found: Exploration): string {
  const size =
    `${found.states} states, ${found.steps} steps, depth ${found.depth}`;
  if (found.violation === undefined) {
    return `${size}: ${
      found.isComplete
        ? "holds"
        : "state limit reached, NOT explored completely"
    }`;
  }
  const { kind, trace } = found.violation;
  const steps = trace.map((step, index) => `      ${index + 1}. ${step}`);
  return [`${size}: violation (${kind}) after`, ...steps].join("\n");
}

function print(line: string): void {
  stdout.write(`${line}\n`);
}
