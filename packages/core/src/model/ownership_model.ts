/**
 * Model of shard ownership and idempotency claims: combines the transitions of
 * the VMs and of their environment with the invariants.
 */

import { isPairMember } from "../ownership/ownership_fold.ts";
import { mayActAsHolder } from "../ownership/shard_replica.ts";
import type { Model } from "./explore.ts";
import { listFaultSteps } from "./fault_steps.ts";
import { applyLog } from "./model_change.ts";
import { type ModelRules, REAL_RULES } from "./model_rules.ts";
import {
  createModelState,
  encodeModelState,
  type ModelBudget,
  type ModelState,
} from "./model_state.ts";
import { listVmSteps } from "./vm_steps.ts";

/** Bounds of an exploration. */
export interface OwnershipModelOptions {
  /** Number of VMs. */
  readonly vms: number;
  readonly budget: ModelBudget;
  /** Default: the rules of the production code. */
  readonly rules?: ModelRules;
}

/**
 * Builds the model of one shard with one idempotency key. It includes paused
 * VMs, which take no step while others do, and network partitions, in which
 * messages never arrive.
 *
 * @param options - number of VMs, budget and protocol rules
 * @returns the model, with all of its VMs alive and up to date
 */
export function buildOwnershipModel(
  options: OwnershipModelOptions,
): Model<ModelState> {
  const rules = options.rules ?? REAL_RULES;
  return {
    initial: createModelState(options.vms, options.budget),
    listSteps: (state) =>
      [
        ...listFaultSteps(state, rules),
        ...state.vms.flatMap((_, index) => listVmSteps(state, rules, index)),
      ].map((step) => ({
        label: step.label,
        state: updateNonMembers(step.state, rules),
      })),
    encode: encodeModelState,
    findViolation: findViolation,
  };
}

// A VM that is neither holder nor standby reads the log at once. When it reads
// makes no difference: with an outdated view it can only write invalid records
// or give harmless promises.
function updateNonMembers(state: ModelState, rules: ModelRules): ModelState {
  let changed = state;
  state.vms.forEach((vm, index) => {
    const { replica, append, isAlive } = vm;
    const isBehind = replica.nextOffset < state.log.length;
    if (
      isBehind && isAlive && append === undefined &&
      replica.pending === undefined &&
      !isPairMember(replica.ownership, replica.self)
    ) {
      changed = applyLog(changed, index, rules);
    }
  });
  return changed;
}

function findViolation(state: ModelState): string | undefined {
  if (state.runs > 1) {
    return "the request ran twice";
  }
  if (state.hasEpochDecreased) {
    return "an epoch decreased";
  }
  if (state.hasConflictingDispatch) {
    return "a VM dispatched while another one was the holder";
  }
  const acting = state.vms.filter((vm) =>
    vm.isAlive && mayActAsHolder(vm.replica, 0)
  );
  return acting.length > 1 ? "two VMs act as holder" : undefined;
}
