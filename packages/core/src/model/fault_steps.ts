/**
 * Transitions of the model's environment: time, VM failures, message delivery
 * and the log.
 */

import { computeReceivedEnd } from "../ownership/promise.ts";
import type { ModelStep } from "./explore.ts";
import { applyLog, sendEvent, takeBudget, updateVm } from "./model_change.ts";
import type { ModelRules } from "./model_rules.ts";
import {
  buildModelVm,
  MODEL_PROMISE_MS,
  type ModelMessage,
  type ModelState,
  type ModelVm,
} from "./model_state.ts";

type Step = ModelStep<ModelState>;

/**
 * Lists the transitions that no VM starts by itself.
 *
 * @param state - current state of the model
 * @param rules - protocol rules, real or deliberately broken
 * @returns the enabled transitions, with the states they lead to
 */
export function listFaultSteps(
  state: ModelState,
  rules: ModelRules,
): readonly Step[] {
  const steps: Step[] = [{ label: "time passes", state: advanceTime(state) }];
  state.vms.forEach((vm, index) => {
    steps.push(...listKillSteps(state, vm, index));
    steps.push(...listAppendSteps(state, rules, index));
  });
  steps.push(...listLateAppendSteps(state));
  if (state.message !== undefined) {
    steps.push(...listMessageSteps(state, rules, state.message));
  }
  return steps;
}

// A step of time is as long as a promise, so every promise expires.
function advanceTime(state: ModelState): ModelState {
  const vms = state.vms.map(expirePromises);
  const { message } = state;
  return {
    ...state,
    vms,
    message: message && { ...message, sentAtMs: -MODEL_PROMISE_MS },
  };
}

function expirePromises(vm: ModelVm): ModelVm {
  const { replica } = vm;
  const hasNoPromises = replica.given.length === 0 &&
    replica.received.length === 0;
  return hasNoPromises
    ? vm
    : { ...vm, replica: { ...replica, given: [], received: [] } };
}

function listKillSteps(
  state: ModelState,
  vm: ModelVm,
  index: number,
): readonly Step[] {
  const name = buildModelVm(index).vm;
  if (!vm.isAlive) {
    return vm.isDropped ? [] : [{
      label: `the VM list removes ${name}`,
      state: updateVm(state, index, { isDropped: true }),
    }];
  }
  if (state.budget.kills <= 0) {
    return [];
  }
  const killed = updateVm(state, index, { isAlive: false, claim: undefined });
  return [{ label: `${name} is killed`, state: takeBudget(killed, "kills") }];
}

function listLateAppendSteps(state: ModelState): readonly Step[] {
  const steps: Step[] = [];
  if (state.lateAppend !== undefined) {
    const log = [...state.log, ...state.lateAppend];
    steps.push({
      label: "a delayed append takes effect in the log",
      state: { ...state, log, lateAppend: undefined },
    });
  }
  return steps;
}

function listAppendSteps(
  state: ModelState,
  rules: ModelRules,
  index: number,
): readonly Step[] {
  const vm = state.vms[index];
  const append = vm?.append;
  if (vm === undefined || append === undefined) {
    return [];
  }
  const name = buildModelVm(index).vm;
  const steps: Step[] = [];
  if (append.offset === undefined) {
    const log = [...state.log, ...append.records];
    const stored = { records: append.records, offset: log.length - 1 };
    steps.push({
      label: `the log stores the append of ${name}`,
      state: updateVm({ ...state, log }, index, {
        append: vm.isAlive ? stored : undefined,
      }),
    });
  }
  const cleared = updateVm(state, index, { append: undefined });
  if (append.offset !== undefined && vm.isAlive) {
    const { offset } = append;
    const unlogged = vm.unlogged.filter((item) =>
      !append.records.some((record) =>
        record.kind === "claims" && record.items.includes(item)
      )
    );
    const updated = updateVm(cleared, index, { unlogged });
    steps.push({
      label: `${name} learns the offset of its append and reads the record`,
      state: applyLog(
        sendEvent(updated, index, { type: "append-placed", offset }),
        index,
        rules,
      ),
    });
  }
  // At most one delayed append is modelled at a time.
  const mayLoseReply = append.offset !== undefined ||
    state.lateAppend === undefined;
  if (vm.isAlive && mayLoseReply && state.budget.isLossy) {
    steps.push({
      label: `${name} gets no reply to its append`,
      state: dropAppendReply(cleared, rules, {
        index,
        vm,
      }),
    });
  }
  return steps;
}

function dropAppendReply(
  state: ModelState,
  rules: ModelRules,
  sender: { readonly index: number; readonly vm: ModelVm },
): ModelState {
  const { index, vm } = sender;
  const isUnstored = vm.append?.offset === undefined;
  const lateAppend = isUnstored ? vm.append?.records : state.lateAppend;
  const withoutReply = { ...state, lateAppend };
  const record = vm.replica.pending?.record;
  if (rules.resolvesByReading || record === undefined) {
    return sendEvent(withoutReply, index, { type: "append-unknown" });
  }
  return sendEvent(withoutReply, index, {
    type: "records-read",
    records: [{ offset: vm.replica.nextOffset, record }],
    nextOffset: vm.replica.nextOffset,
    atMs: 0,
    firstPromiseMs: MODEL_PROMISE_MS,
  });
}

function listMessageSteps(
  state: ModelState,
  rules: ModelRules,
  message: ModelMessage,
): readonly Step[] {
  const names = `${buildModelVm(message.from).vm} to ${
    buildModelVm(message.to).vm
  }`;
  const without = { ...state, message: undefined };
  const steps: Step[] = [{
    label: `the ${message.kind} from ${names} is lost`,
    state: without,
  }];
  if (state.vms[message.to]?.isAlive === true) {
    steps.push({
      label: `the ${message.kind} from ${names} arrives`,
      state: deliverMessage(without, rules, message),
    });
  }
  return steps;
}

function deliverMessage(
  state: ModelState,
  rules: ModelRules,
  message: ModelMessage,
): ModelState {
  const { from, to, epoch, sentAtMs } = message;
  const peer = buildModelVm(from);
  const receiver = state.vms[to];
  if (receiver === undefined) {
    return state;
  }
  switch (message.kind) {
    case "promise": {
      const countedFromMs = rules.countsFromRequest ? sentAtMs : 0;
      const untilMs = computeReceivedEnd(countedFromMs, MODEL_PROMISE_MS);
      return untilMs <= 0
        ? state
        : sendEvent(state, to, { type: "promise-received", peer, untilMs });
    }
    case "resignation":
      return sendEvent(state, to, {
        type: "resignation-received",
        from: peer,
        epoch,
      });
  }
}
