/** Functions that derive a new model state; shared by all transitions. */

import type { VmIncarnation } from "@limpetford/domain/vm";

import { foldClaimItem } from "../claims/claim_decision.ts";
import type { ClaimItem } from "../claims/claim_record.ts";
import { isPairMember, isSame } from "../ownership/ownership_fold.ts";
import { advanceShard, type ShardEvent } from "../ownership/shard_machine.ts";
import type { ShardReplica } from "../ownership/shard_replica.ts";
import type { ModelRules } from "./model_rules.ts";
import {
  buildModelVm,
  MODEL_PROMISE_MS,
  type ModelBudget,
  type ModelState,
  type ModelVm,
} from "./model_state.ts";

/**
 * Replaces some properties of one VM.
 *
 * @param state - current state of the model
 * @param index - index of the VM
 * @param change - properties to replace, with their new values
 * @returns the state after the change
 */
export function updateVm(
  state: ModelState,
  index: number,
  change: Partial<ModelVm>,
): ModelState {
  const vms = state.vms.map((vm, vmIndex) =>
    vmIndex === index ? { ...vm, ...change } : vm
  );
  return { ...state, vms };
}

/**
 * Sends an event to the shard's state machine at one VM, and notes if the
 * epoch decreases there.
 *
 * @param state - current state of the model
 * @param index - index of the VM
 * @param event - event for the state machine
 * @returns the state after the event
 */
export function sendEvent(
  state: ModelState,
  index: number,
  event: ShardEvent,
): ModelState {
  const vm = state.vms[index];
  if (vm === undefined) {
    return state;
  }
  const replica = advanceShard(vm.replica, event);
  const hasDecreased = replica.ownership.epoch < vm.replica.ownership.epoch;
  const changed = updateVm(state, index, { replica });
  return hasDecreased ? { ...changed, hasEpochDecreased: true } : changed;
}

/**
 * Lowers the number of transitions of one kind that may still happen by one.
 *
 * @param state - current state of the model
 * @param name - kind of transition
 * @returns the state with the lower budget
 */
export function takeBudget(
  state: ModelState,
  name: Exclude<keyof ModelBudget, "isLossy">,
): ModelState {
  const budget = { ...state.budget, [name]: state.budget[name] - 1 };
  return { ...state, budget };
}

/**
 * Applies a claim item at one VM, which has yet to write it to the log.
 *
 * @param state - current state of the model
 * @param index - index of the VM
 * @param item - start or end of a claim
 * @returns the state after the change
 */
export function applyClaimItem(
  state: ModelState,
  index: number,
  item: ClaimItem,
): ModelState {
  const vm = state.vms[index];
  if (vm === undefined) {
    return state;
  }
  return updateVm(state, index, {
    entry: foldClaimItem(vm.entry, item),
    unlogged: addUnlogged(vm.unlogged, item),
  });
}

// A claim that is settled as not run before it was written need not be written.
function addUnlogged(
  items: readonly ClaimItem[],
  added: ClaimItem,
): readonly ClaimItem[] {
  const rest = items.filter((item) => item.claimId !== added.claimId);
  const isWithdrawn = added.kind === "settled" && rest.length < items.length;
  return isWithdrawn ? rest : [...rest, added];
}

/**
 * Applies the rest of the log at one VM.
 *
 * @param state - current state of the model
 * @param index - index of the VM that reads
 * @param rules - protocol rules, real or deliberately broken
 * @returns the state after the VM has read the log to its end
 */
export function applyLog(
  state: ModelState,
  index: number,
  rules: ModelRules,
): ModelState {
  let changed = state;
  const from = state.vms[index]?.replica.nextOffset ?? 0;
  state.log.slice(from).forEach((record, position) => {
    const vm = changed.vms[index];
    if (vm === undefined) {
      return;
    }
    const { ownership } = vm.replica;
    const offset = from + position;
    const isOwnership = record.kind === "ownership";
    if (!isOwnership && isPairMember(ownership, record.proposer)) {
      changed = updateVm(changed, index, {
        entry: record.items.reduce(foldClaimItem, vm.entry),
        unlogged: vm.unlogged.filter((item) =>
          !record.items.some((logged) =>
            logged.kind === item.kind && logged.claimId === item.claimId
          )
        ),
      });
    }
    changed = sendEvent(changed, index, {
      type: "records-read",
      records: isOwnership
        ? [{ offset, record: rules.readRecord(ownership, record) }]
        : [],
      nextOffset: offset + 1,
      atMs: 0,
      firstPromiseMs: MODEL_PROMISE_MS,
    });
  });
  return changed;
}

/**
 * Finds the other member of a VM's pair of holder and standby.
 *
 * @param replica - state of the shard at the VM
 * @returns the other member; undefined if the VM is not in the pair or is in it
 *   alone
 */
export function findPairPeer(replica: ShardReplica): VmIncarnation | undefined {
  const { holder, standby } = replica.ownership;
  if (isSame(holder, replica.self)) {
    return standby;
  }
  return isSame(standby, replica.self) ? holder : undefined;
}

/**
 * Finds the index of a VM of the model.
 *
 * @param vm - incarnation of the VM
 * @returns its index; -1 if it is not a VM of the model
 */
export function findModelIndex(vm: VmIncarnation): number {
  return [0, 1, 2, 3, 4].findIndex((index) => isSame(buildModelVm(index), vm));
}
