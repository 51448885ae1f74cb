/**
 * Transitions of the ownership model that a VM takes: it reads and appends to
 * the log, gives promises, resigns, and claims and dispatches requests.
 */

import type { VmIncarnation } from "@limpetford/domain/vm";
import { formatIncarnation } from "@limpetford/domain/vm";

import { isSame } from "../ownership/ownership_fold.ts";
import { planOwnership } from "../ownership/ownership_plan.ts";
import type { OwnershipRecord } from "../ownership/ownership_record.ts";
import { computeReceivedEnd } from "../ownership/promise.ts";
import {
  isHolder,
  listPossibleSuccessors,
  mayActAsHolder,
  mayKeepClaims,
  type ShardReplica,
} from "../ownership/shard_replica.ts";
import type { ModelStep } from "./explore.ts";
import {
  applyClaimItem,
  applyLog,
  findModelIndex,
  findPairPeer,
  sendEvent,
  takeBudget,
  updateVm,
} from "./model_change.ts";
import type { ModelRules } from "./model_rules.ts";
import {
  buildModelClaim,
  buildModelNotRun,
  buildModelVm,
  MODEL_PROMISE_MS,
  type ModelRecord,
  type ModelState,
  type ModelVm,
} from "./model_state.ts";

type Step = ModelStep<ModelState>;

/** The VM whose transitions are listed, and the rules it follows. */
interface Actor {
  readonly index: number;
  readonly name: string;
  readonly vm: ModelVm;
  readonly rules: ModelRules;
}

/**
 * Lists the transitions of one VM.
 *
 * @param state - current state of the model
 * @param rules - protocol rules, real or deliberately broken
 * @param index - index of the VM
 * @returns the enabled transitions; none if the VM is dead
 */
export function listVmSteps(
  state: ModelState,
  rules: ModelRules,
  index: number,
): readonly Step[] {
  const vm = state.vms[index];
  if (vm?.isAlive !== true) {
    return [];
  }
  const actor = { index, name: buildModelVm(index).vm, vm, rules };
  return [
    ...listReadSteps(state, actor),
    ...listPromiseSteps(state, actor),
    ...listDropSteps(state, actor),
    ...listRecordSteps(state, actor),
    ...listResignSteps(state, actor),
    ...listClaimSteps(state, actor),
    ...listBrokenVariantSteps(state, actor),
  ];
}

function listReadSteps(state: ModelState, actor: Actor): readonly Step[] {
  const { index, name, vm, rules } = actor;
  const isDue = vm.replica.nextOffset < state.log.length &&
    vm.append === undefined;
  return isDue
    ? [{ label: `${name} reads the log`, state: applyLog(state, index, rules) }]
    : [];
}

function listPromiseSteps(state: ModelState, actor: Actor): readonly Step[] {
  const { index, name, vm, rules } = actor;
  const peer = vm.replica.self;
  const { epoch } = vm.replica.ownership;
  const pairPeer = findPairPeer(vm.replica);
  if (pairPeer === undefined) {
    return [];
  }
  const asked = [pairPeer, ...listPossibleSuccessors(vm.replica)];
  return state.vms.flatMap((other, to) => {
    const isPossible = other.isAlive &&
      asked.some((item) => isSame(item, other.replica.self)) &&
      rules.mayPromise(other.replica, { peer, epoch });
    if (!isPossible) {
      return [];
    }
    const untilMs = MODEL_PROMISE_MS;
    const given = sendEvent(state, to, {
      type: "promise-given",
      peer,
      untilMs,
    });
    const replied = sendEvent(given, index, {
      type: "promise-received",
      peer: other.replica.self,
      untilMs: computeReceivedEnd(0, MODEL_PROMISE_MS),
    });
    const label = `${buildModelVm(to).vm} promises ${name}`;
    const received = { label, state: replied };
    if (!state.budget.isLossy) {
      return [received];
    }
    const lost = { label: `${label}; the reply is lost`, state: given };
    return [
      received,
      lost,
      ...listSlowReplies(given, { from: to, to: index, label }),
    ];
  });
}

function listSlowReplies(
  state: ModelState,
  reply: { readonly from: number; readonly to: number; readonly label: string },
): readonly Step[] {
  const { from, to, label } = reply;
  return state.message !== undefined ? [] : [{
    label: `${label}; the reply is delayed`,
    state: {
      ...state,
      message: { kind: "promise", from, to, sentAtMs: 0, epoch: 0 },
    },
  }];
}

function listDropSteps(state: ModelState, actor: Actor): readonly Step[] {
  const { index, name, vm, rules } = actor;
  const peer = findPairPeer(vm.replica);
  const isRemoved = peer !== undefined && isDropped(state, peer) &&
    !isSame(peer, vm.replica.gonePeer);
  if (!isRemoved) {
    return [];
  }
  const updated = rules.needsContinuousPromise
    ? sendEvent(state, index, { type: "peer-dropped", peer, atMs: 0 })
    : updateVm(state, index, { replica: { ...vm.replica, gonePeer: peer } });
  return [{
    label: `${name} sees that its peer is no longer in the VM list`,
    state: updated,
  }];
}

function isDropped(state: ModelState, vm: VmIncarnation): boolean {
  return state.vms[findModelIndex(vm)]?.isDropped === true;
}

function listRecordSteps(state: ModelState, actor: Actor): readonly Step[] {
  const { index, name, vm } = actor;
  const isFree = vm.append === undefined && state.budget.records > 0;
  if (!isFree) {
    return [];
  }
  const { pending } = vm.replica;
  const plans = pending === undefined
    ? listPlans(state, actor)
    : pending.offset === undefined
    ? [pending.record]
    : [];
  return plans.map((record) => ({
    label: `${name} appends ${record.change} with standby ${
      record.standby?.vm ?? "none"
    }`,
    state: startAppend(takeBudget(state, "records"), index, {
      record,
      rules: actor.rules,
    }),
  }));
}

// Every choice of a standby must be safe at any time, so all are explored: each
// other VM and none.
function listPlans(
  state: ModelState,
  actor: Actor,
): readonly OwnershipRecord[] {
  const { vm, rules } = actor;
  const replica: ShardReplica = rules.keepsPromises
    ? vm.replica
    : { ...vm.replica, given: [] };
  const choices = state.vms
    .map((_, index) => buildModelVm(index))
    .filter((choice) => !isSame(choice, vm.replica.self));
  return [...choices, undefined].flatMap((standbyChoice) =>
    planOwnership(replica, {
      nowMs: 0,
      wallMs: 0,
      isDropped: (peer) => isDropped(state, peer),
      isMember: () => false,
      isFirstChoice: true,
      standbyChoice,
      replaceAfterMs: 0,
      resendHorizonMs: 1,
      recordId: "",
    }) ?? []
  );
}

function startAppend(
  state: ModelState,
  index: number,
  sent: { readonly record: OwnershipRecord; readonly rules: ModelRules },
): ModelState {
  const { record, rules } = sent;
  const started = sendEvent(state, index, { type: "append-sent", record });
  const items = state.vms[index]?.unlogged ?? [];
  const hasClaims = rules.flushesClaims && items.length > 0;
  const claims: readonly ModelRecord[] = hasClaims
    ? [{ kind: "claims", proposer: record.proposer, items }]
    : [];
  const records = [...claims, record];
  return updateVm(started, index, { append: { records, offset: undefined } });
}

function listResignSteps(state: ModelState, actor: Actor): readonly Step[] {
  const { index, name, vm } = actor;
  const { replica } = vm;
  const { holder, standby, epoch } = replica.ownership;
  const isPossible = state.message === undefined &&
    state.budget.resignations > 0 && isSame(holder, replica.self) &&
    standby !== undefined && replica.pending === undefined &&
    !replica.hasResigned && !isSame(standby, replica.gonePeer);
  if (!isPossible) {
    return [];
  }
  const resigned = sendEvent(state, index, { type: "resigned" });
  return [{
    label: `${name} resigns and hands over to ${standby.vm}`,
    state: {
      ...takeBudget(resigned, "resignations"),
      message: {
        kind: "resignation",
        from: index,
        to: findModelIndex(standby),
        sentAtMs: 0,
        epoch,
      },
    },
  }];
}

function listClaimSteps(state: ModelState, actor: Actor): readonly Step[] {
  const { index, name, vm, rules } = actor;
  if (vm.claim === undefined) {
    return listSubmitSteps(state, actor);
  }
  const { claimId, needed } = vm.claim;
  const steps = needed.flatMap((peer) =>
    listReplicateSteps(state, actor, peer)
  );
  const idle = updateVm(state, index, { claim: undefined });
  steps.push({
    label: `${name} settles its claim as not run`,
    state: applyClaimItem(idle, index, buildModelNotRun(claimId)),
  });
  const isReplicated = needed.length === 0 || !rules.replicatesClaimFirst;
  if (isReplicated && rules.mayDispatch(vm.replica)) {
    steps.push({
      label: `${name} dispatches the request`,
      state: {
        ...idle,
        runs: state.runs + 1,
        hasConflictingDispatch: state.hasConflictingDispatch ||
          isHeldElsewhere(state, index),
      },
    });
  }
  return steps;
}

function isHeldElsewhere(state: ModelState, index: number): boolean {
  return state.vms.some((other, otherIndex) =>
    otherIndex !== index && other.isAlive && mayActAsHolder(other.replica, 0)
  );
}

function listSubmitSteps(state: ModelState, actor: Actor): readonly Step[] {
  const { index, name, vm, rules } = actor;
  if (state.budget.claims <= 0 || !mayActAsHolder(vm.replica, 0)) {
    return [];
  }
  const decision = rules.decideClaim({
    entry: vm.entry,
    fingerprint: "f",
    isRunningHere: () => false,
    mayMissClaims: rules.refusesMissedClaims &&
      vm.replica.ownership.unknownUntilMs > 0,
    windowMs: undefined,
    nowMs: 0,
  });
  if (decision.kind !== "claim") {
    return [];
  }
  const claimId = `${name}${state.budget.claims}`;
  const item = buildModelClaim(claimId);
  const needed = listPossibleSuccessors(vm.replica).map(formatIncarnation);
  const claim = { claimId, needed };
  const claimed = updateVm(takeBudget(state, "claims"), index, { claim });
  const added = applyClaimItem(claimed, index, item);
  const label = `${name} claims the key`;
  const proposer = vm.replica.self;
  const log = [
    ...state.log,
    { kind: "claims" as const, proposer, items: [item] },
  ];
  return needed.length > 0 ? [{ label, state: added }] : [
    { label: `${label} in the log`, state: { ...added, log } },
    { label: `${label} alone while the log is unavailable`, state: added },
  ];
}

function listReplicateSteps(
  state: ModelState,
  actor: Actor,
  peer: string,
): Step[] {
  const { index, name, vm } = actor;
  const to = state.vms.findIndex((_, vmIndex) =>
    formatIncarnation(buildModelVm(vmIndex)) === peer
  );
  const receiver = state.vms[to];
  const { claim } = vm;
  if (claim === undefined || receiver?.isAlive !== true) {
    return [];
  }
  if (!mayKeepClaims(receiver.replica, vm.replica.ownership.epoch)) {
    return [];
  }
  const stored = applyClaimItem(state, to, buildModelClaim(claim.claimId));
  const needed = claim.needed.filter((other) => other !== peer);
  const label = `${buildModelVm(to).vm} stores the claim of ${name}`;
  const acknowledged = {
    label,
    state: updateVm(stored, index, { claim: { ...claim, needed } }),
  };
  return state.budget.isLossy
    ? [acknowledged, { label: `${label}; the reply is lost`, state: stored }]
    : [acknowledged];
}

// Transitions that only broken variants allow.
function listBrokenVariantSteps(
  state: ModelState,
  actor: Actor,
): readonly Step[] {
  const { index, name, vm, rules } = actor;
  const { replica } = vm;
  const { holder, standby, epoch } = replica.ownership;
  const steps: Step[] = [];
  const isUnbound = replica.given.length === 0 && !isHolder(replica);
  if (!rules.needsLog && isUnbound && isSame(standby, replica.self) && holder) {
    steps.push({
      label: `${name} takes over without the log`,
      state: sendEvent(state, index, {
        type: "resignation-received",
        from: holder,
        epoch,
      }),
    });
  }
  const mayReplace = isSame(holder, replica.self) && replica.given.length === 0;
  if (rules.replacesWithoutLog && mayReplace && epoch === 1) {
    steps.push(
      ...listPlans(state, actor).map((record) => ({
        label: `${name} replaces its standby by ${
          record.standby?.vm ?? "none"
        } without a record`,
        state: sendEvent(state, index, {
          type: "records-read" as const,
          records: [{ offset: replica.nextOffset, record }],
          nextOffset: replica.nextOffset,
          atMs: 0,
          firstPromiseMs: MODEL_PROMISE_MS,
        }),
      })),
    );
  }
  return steps;
}
