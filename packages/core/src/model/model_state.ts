/** State of the ownership model: one shard, one idempotency key, a few VMs. */

import {
  type ShardId,
  type TeamId,
  toId,
  type VmId,
} from "@limpetford/domain/ids";
import type { VmIncarnation } from "@limpetford/domain/vm";

import type { ClaimEntry } from "../claims/claim_decision.ts";
import type { ClaimItem, ClaimRecord } from "../claims/claim_record.ts";
import type { OwnershipRecord } from "../ownership/ownership_record.ts";
import type { ShardPromise } from "../ownership/promise.ts";
import { advanceShard } from "../ownership/shard_machine.ts";
import {
  createReplica,
  type ShardReplica,
} from "../ownership/shard_replica.ts";

/** Length of a promise, and of a step of time, in milliseconds. */
export const MODEL_PROMISE_MS = 100;
/** The only shard of the model. */
export const MODEL_SHARD = toId<ShardId>(0);
const TEAM = toId<TeamId>("t");

/** A record of the model's log. */
export type ModelRecord = OwnershipRecord | ClaimRecord;

/** An append whose reply has not arrived. */
export interface ModelAppend {
  readonly records: readonly ModelRecord[];
  /** Offset of the last record; undefined until the log has stored them. */
  readonly offset: number | undefined;
}

/** A claim that is being replicated to the VMs that must store it. */
export interface ModelClaim {
  readonly claimId: string;
  /** Formatted incarnations of the VMs that have not yet confirmed it. */
  readonly needed: readonly string[];
}

/** State of one VM. */
export interface ModelVm {
  readonly replica: ShardReplica;
  readonly isAlive: boolean;
  /** True if the platform's VM list no longer contains it. */
  readonly isDropped: boolean;
  /** What the VM knows of the idempotency key. */
  readonly entry: ClaimEntry | undefined;
  /** Claim items that the VM knows of and has not seen in the log. */
  readonly unlogged: readonly ClaimItem[];
  /** The VM's own claim, until its request is dispatched or refused. */
  readonly claim: ModelClaim | undefined;
  readonly append: ModelAppend | undefined;
}

/** A message in transit: a promise, or a resignation. */
export interface ModelMessage {
  readonly kind: "promise" | "resignation";
  /** Index of the sender. */
  readonly from: number;
  /** Index of the receiver. */
  readonly to: number;
  /**
   * When the promise was requested, in milliseconds relative to now; 0 or less.
   */
  readonly sentAtMs: number;
  /** Epoch that the sender resigns; 0 for a promise. */
  readonly epoch: number;
}

/** How often transitions of each kind may still happen; others are unlimited. */
export interface ModelBudget {
  readonly kills: number;
  /** Appends of ownership records. */
  readonly records: number;
  readonly claims: number;
  readonly resignations: number;
  /** False if no reply of a VM or of the log is lost or delayed. */
  readonly isLossy: boolean;
}

/** State of the whole model; times are in milliseconds relative to now. */
export interface ModelState {
  readonly vms: readonly ModelVm[];
  readonly log: readonly ModelRecord[];
  readonly message: ModelMessage | undefined;
  /** An append that its sender has given up on, but that may still succeed. */
  readonly lateAppend: readonly ModelRecord[] | undefined;
  readonly budget: ModelBudget;
  /** How often the request ran at a backend server. */
  readonly runs: number;
  /** True if a VM dispatched while another one was allowed to act as holder. */
  readonly hasConflictingDispatch: boolean;
  /** True if the epoch has decreased at any VM. */
  readonly hasEpochDecreased: boolean;
}

/**
 * Builds the identity of a VM of the model.
 *
 * @param index - index of the VM, 0 to 4
 * @returns its incarnation; VMs are named A to E
 */
export function buildModelVm(index: number): VmIncarnation {
  return { vm: toId<VmId>("ABCDE".charAt(index)), startedAtMs: 1 };
}

/**
 * Creates the initial state: the first VM is the shard's holder, the second one
 * its standby, both have promises of each other, and all have read the log.
 *
 * @param size - number of VMs, 2 to 5
 * @param budget - how often transitions of each kind may happen
 * @returns the initial state
 */
export function createModelState(
  size: number,
  budget: ModelBudget,
): ModelState {
  const first: OwnershipRecord = {
    kind: "ownership",
    change: "claim",
    id: "",
    proposer: buildModelVm(0),
    basedOn: 0,
    epoch: 1,
    holder: buildModelVm(0),
    standby: buildModelVm(1),
    unknownUntilMs: 0,
  };
  const vms = Array.from({ length: size }, (_, index): ModelVm => ({
    replica: buildFirstReplica(index, first),
    isAlive: true,
    isDropped: false,
    entry: undefined,
    unlogged: [],
    claim: undefined,
    append: undefined,
  }));
  return {
    vms,
    log: [first],
    message: undefined,
    lateAppend: undefined,
    budget,
    runs: 0,
    hasConflictingDispatch: false,
    hasEpochDecreased: false,
  };
}

/**
 * Builds the item that claims the model's only idempotency key.
 *
 * @param claimId - identifier of the claim
 * @returns the start of the claim
 */
export function buildModelClaim(claimId: string): ClaimItem {
  return {
    kind: "claimed",
    claimId,
    team: TEAM,
    idempotencyKey: "k",
    fingerprint: "f",
    claimedAtMs: 0,
    supersedes: undefined,
  };
}

/**
 * Builds the item that ends a claim whose request did not run.
 *
 * @param claimId - identifier of the claim
 * @returns the end of the claim, with outcome `not-run`
 */
export function buildModelNotRun(claimId: string): ClaimItem {
  return {
    kind: "settled",
    claimId,
    team: TEAM,
    idempotencyKey: "k",
    outcome: { kind: "not-run" },
  };
}

/**
 * Encodes a state, so that equivalent states have equal texts. The knowledge
 * of a dead VM is omitted unless the VM has an append pending.
 *
 * @param state - state of the model
 * @returns the text by which states are compared
 */
export function encodeModelState(state: ModelState): string {
  const vms = state.vms.map(findVmCode).join("|");
  const { message, budget } = state;
  const sent = message === undefined
    ? ""
    : `${message.kind}${message.from}${message.to}${message.sentAtMs},${message.epoch}`;
  const { kills, records, claims, resignations } = budget;
  const left = [kills, records, claims, resignations].join("");
  const log = state.log.map(encodeRecord).join(";");
  const late = state.lateAppend?.map(encodeRecord).join("+") ?? "";
  const flags = `${state.hasConflictingDispatch ? "i" : ""}${
    state.hasEpochDecreased ? "f" : ""
  }`;
  return [vms, log, sent, late, left, state.runs, flags].join("#");
}

function buildFirstReplica(
  index: number,
  record: OwnershipRecord,
): ShardReplica {
  const read = advanceShard(createReplica(MODEL_SHARD, buildModelVm(index)), {
    type: "records-read",
    records: [{ offset: 0, record }],
    nextOffset: 1,
    atMs: 0,
    firstPromiseMs: MODEL_PROMISE_MS,
  });
  if (index > 1) {
    return read;
  }
  const promise = {
    peer: buildModelVm(1 - index),
    untilMs: MODEL_PROMISE_MS,
  };
  return { ...read, given: [promise], received: [promise] };
}

// Most transitions change one VM only, so the texts of the others are cached.
const vmCodes = new WeakMap<ModelVm, string>();

function findVmCode(vm: ModelVm): string {
  const known = vmCodes.get(vm);
  if (known !== undefined) {
    return known;
  }
  const code = encodeVm(vm);
  vmCodes.set(vm, code);
  return code;
}

const recordCodes = new WeakMap<ModelRecord, string>();

function encodeRecord(record: ModelRecord): string {
  const known = recordCodes.get(record);
  if (known !== undefined) {
    return known;
  }
  const code = formatRecord(record);
  recordCodes.set(record, code);
  return code;
}

function encodeVm(vm: ModelVm): string {
  if (!vm.isAlive && vm.append === undefined) {
    return vm.isDropped ? "dropped" : "dead";
  }
  const { replica, entry, claim, append } = vm;
  const { ownership, pending } = replica;
  return [
    vm.isAlive ? "" : vm.isDropped ? "dropped" : "dead",
    ownership.epoch,
    encodeName(ownership.holder),
    encodeName(ownership.standby),
    replica.nextOffset,
    pending === undefined
      ? ""
      : `${encodeRecord(pending.record)}@${pending.offset ?? ""}${
        pending.isUncertain ? "?" : ""
      }`,
    encodePromises(replica.given),
    encodePromises(replica.received),
    encodeName(replica.gonePeer),
    replica.hasResigned ? "r" : "",
    entry === undefined ? "" : entry.openClaimIds.join("+"),
    vm.unlogged.map(encodeItem).join("+"),
    claim === undefined ? "" : `${claim.claimId}:${claim.needed.join("+")}`,
    append === undefined
      ? ""
      : `${append.records.map(encodeRecord).join("+")}@${append.offset ?? ""}`,
  ].join(",");
}

function encodeName(vm: VmIncarnation | undefined): string {
  return vm === undefined ? "-" : vm.vm;
}

function encodePromises(promises: readonly ShardPromise[]): string {
  return promises
    .map((promise) => `${promise.peer.vm}${promise.untilMs}`)
    .sort()
    .join("+");
}

function encodeItem(item: ClaimItem): string {
  return `${item.kind.charAt(0)}${item.claimId}`;
}

function formatRecord(record: ModelRecord): string {
  return record.kind === "claims"
    ? `c${record.proposer.vm}${record.items.map(encodeItem).join("+")}`
    : `${record.change.charAt(0)}${record.basedOn}${encodeName(record.holder)}${
      encodeName(record.standby)
    }${record.unknownUntilMs > 0 ? "u" : ""}`;
}
