/** Explores the specification of ownership and claims, and broken variants. */

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

const MAX_STATES = 3_000_000;
const VARIANT_VMS = 3;
const GRANT_TAKEOVERS = 2;

let isGood = true;

print("The real rules:");
for (const { name, vms, budget } of MODEL_BOUNDS) {
  const found = runExploration(
    buildOwnershipModel({ vms, budget }),
    MAX_STATES,
  );
  print(`  ${name}`);
  print(`    bounds: ${vms} VMs, ${JSON.stringify(budget)}`);
  print(`    ${describeExploration(found)}`);
  isGood &&= found.isComplete;
}
const grants = runExploration(buildGrantModel(GRANT_TAKEOVERS), MAX_STATES);
print("  grants of one bucket of 4 tokens, 3 earned in a second");
print(`    bounds: 1 holder, 1 other VM, ${GRANT_TAKEOVERS} takeovers`);
print(`    ${describeExploration(grants)}`);
isGood &&= grants.isComplete;
print("Broken variants:");
for (const { name, rules } of BROKEN_GRANT_VARIANTS) {
  const model = buildGrantModel(GRANT_TAKEOVERS, rules);
  const found = runExploration(model, MAX_STATES);
  print(`  ${name}`);
  print(`    ${describeExploration(found)}`);
  isGood &&= found.violation !== undefined;
}
for (const { name, rules, budget } of BROKEN_VARIANTS) {
  const model = buildOwnershipModel({ vms: VARIANT_VMS, rules, budget });
  const found = runExploration(model, MAX_STATES);
  print(`  ${name}`);
  print(`    ${describeExploration(found)}`);
  isGood &&= found.violation !== undefined;
}
print(isGood ? "All as expected." : "NOT as expected.");
process.exitCode = isGood ? 0 : 1;

function describeExploration(found: Exploration): string {
  const size =
    `${found.states} states, ${found.steps} steps, depth ${found.depth}`;
  if (found.violation === undefined) {
    return `${size}: ${found.isComplete ? "holds" : "NOT explored whole"}`;
  }
  const { kind, trace } = found.violation;
  const steps = trace.map((step, index) => `      ${index + 1}. ${step}`);
  return [`${size}: ${kind}, after`, ...steps].join("\n");
}

function print(line: string): void {
  stdout.write(`${line}\n`);
}
