/** The state machine of one shard at one VM. */

import type { ShardId } from "@limpetford/domain/ids";
import { isSameIncarnation, type VmIncarnation } from "@limpetford/domain/vm";
import { fromTransition, type TransitionActorLogic } from "xstate";

import {
  foldOwnership,
  isPairMember,
  isSame,
  NO_OWNERSHIP,
} from "./ownership_fold.ts";
import type { OwnershipRecord } from "./ownership_record.ts";
import { addPromise, findPromiseEnd } from "./promise.ts";
import { createReplica, type ShardReplica } from "./shard_replica.ts";

/** An ownership record at its place in the log. */
export interface PlacedOwnershipRecord {
  readonly offset: number;
  readonly record: OwnershipRecord;
}

/** What can happen to a shard at a VM. */
export type ShardEvent =
  /** The stream was read from the shard's next offset on. */
  | {
    readonly type: "records-read";
    readonly records: readonly PlacedOwnershipRecord[];
    readonly nextOffset: number;
    readonly atMs: number;
    /** Length of the promise that a new standby makes of itself. */
    readonly firstPromiseMs: number;
  }
  /** Records before an offset have expired; the fold starts again there. */
  | { readonly type: "records-expired"; readonly oldestOffset: number }
  /** An ownership record is about to be sent. */
  | { readonly type: "append-sent"; readonly record: OwnershipRecord }
  /** The log has placed the record. */
  | { readonly type: "append-placed"; readonly offset: number }
  /** The record certainly had no effect. */
  | { readonly type: "append-failed" }
  /** The answer was lost. */
  | { readonly type: "append-unknown" }
  | {
    readonly type: "promise-given";
    readonly peer: VmIncarnation;
    readonly untilMs: number;
  }
  | {
    readonly type: "promise-received";
    readonly peer: VmIncarnation;
    readonly untilMs: number;
  }
  /** The platform's list shows that a VM is gone. */
  | {
    readonly type: "peer-dropped";
    readonly peer: VmIncarnation;
    readonly atMs: number;
  }
  /** This VM stops acting and will write no record in this epoch. */
  | { readonly type: "resigned" }
  /** The holder has stopped for good in favour of this VM. */
  | {
    readonly type: "resignation-received";
    readonly from: VmIncarnation;
    readonly epoch: number;
  };

/** Names the shard and the VM of a machine. */
export interface ShardMachineInput {
  readonly shard: ShardId;
  readonly self: VmIncarnation;
}

/** Actor logic of {@link SHARD_MACHINE}. */
export type ShardMachine = TransitionActorLogic<
  ShardReplica,
  ShardEvent,
  ShardMachineInput
>;

/** The machine of one shard at one VM. */
export const SHARD_MACHINE: ShardMachine = fromTransition(
  advanceShard,
  ({ input }: { input: ShardMachineInput }) =>
    createReplica(input.shard, input.self),
);

/**
 * Applies an event to the state of a shard.
 *
 * @param replica - state before the event
 * @param event - what happened
 * @returns the state after it
 */
export function advanceShard(
  replica: ShardReplica,
  event: ShardEvent,
): ShardReplica {
  switch (event.type) {
    case "records-read":
      return applyRecords(replica, event);
    case "records-expired":
      return {
        ...replica,
        nextOffset: event.oldestOffset,
        ownership: { ...NO_OWNERSHIP, isEpochKnown: false },
        gonePeer: undefined,
      };
    case "append-sent":
      return {
        ...replica,
        pending: {
          record: event.record,
          offset: undefined,
          isUncertain: replica.pending?.isUncertain ?? false,
        },
      };
    case "append-placed":
      return replica.pending === undefined ? replica : {
        ...replica,
        pending: { ...replica.pending, offset: event.offset },
      };
    case "append-failed":
      return replica.pending?.isUncertain === true
        ? replica
        : { ...replica, pending: undefined };
    case "append-unknown":
      return replica.pending === undefined ? replica : {
        ...replica,
        pending: { ...replica.pending, isUncertain: true },
      };
    case "promise-given":
      return { ...replica, given: addPromise(replica.given, event) };
    case "promise-received":
      return { ...replica, received: addPromise(replica.received, event) };
    case "peer-dropped":
      return applyDrop(replica, event.peer, event.atMs);
    case "resigned":
      return { ...replica, hasResigned: true };
    case "resignation-received":
      return applyResignation(replica, event.from, event.epoch);
  }
}

function applyRecords(
  replica: ShardReplica,
  event: Extract<ShardEvent, { type: "records-read" }>,
): ShardReplica {
  let ownership = replica.ownership;
  for (const { offset, record } of event.records) {
    if (offset >= replica.nextOffset) {
      ownership = foldOwnership(ownership, record);
    }
  }
  const nextOffset = Math.max(replica.nextOffset, event.nextOffset);
  const read = { ...replica, nextOffset, ownership };
  if (ownership.epoch === replica.ownership.epoch) {
    return clearSettled(read);
  }
  return beginEpoch(read, event);
}

// A placed record is settled once the fold has passed its offset.
function clearSettled(replica: ShardReplica): ShardReplica {
  const offset = replica.pending?.offset;
  const isSettled = offset !== undefined && offset < replica.nextOffset;
  return isSettled ? { ...replica, pending: undefined } : replica;
}

// In a new epoch no record based on an older one can take effect, so nothing
// is pending any more. A new standby gives the holder time to ask for a
// promise.
function beginEpoch(
  replica: ShardReplica,
  event: { readonly atMs: number; readonly firstPromiseMs: number },
): ShardReplica {
  const { holder, standby } = replica.ownership;
  const entered: ShardReplica = {
    ...replica,
    pending: undefined,
    gonePeer: undefined,
    hasResigned: false,
  };
  if (holder === undefined || !isSame(standby, replica.self)) {
    return entered;
  }
  const untilMs = event.atMs + event.firstPromiseMs;
  const given = addPromise(replica.given, { peer: holder, untilMs });
  return { ...entered, given };
}

// A dropped peer is gone. If its promise still binds it, it has written no
// record that this VM does not know of.
function applyDrop(
  replica: ShardReplica,
  peer: VmIncarnation,
  atMs: number,
): ShardReplica {
  const { ownership } = replica;
  const isPair = isPairMember(ownership, peer) &&
    isPairMember(ownership, replica.self) &&
    !isSameIncarnation(peer, replica.self);
  const end = findPromiseEnd(replica.received, peer) ?? -Infinity;
  if (!isPair || end <= atMs) {
    return replica;
  }
  return { ...replica, gonePeer: peer };
}

function applyResignation(
  replica: ShardReplica,
  from: VmIncarnation,
  epoch: number,
): ShardReplica {
  const { ownership } = replica;
  const isForSelf = ownership.epoch === epoch &&
    isSame(ownership.holder, from) && isSame(ownership.standby, replica.self);
  return isForSelf ? { ...replica, gonePeer: from } : replica;
}
