/** State machine by which one VM follows the ownership of one shard. */

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

/** An ownership record with its offset in the log stream. */
export interface LoggedOwnershipRecord {
  readonly offset: number;
  readonly record: OwnershipRecord;
}

/** Events of the state machine. */
export type ShardEvent =
  /** The stream was read, starting at the replica's next offset. */
  | {
    readonly type: "records-read";
    readonly records: readonly LoggedOwnershipRecord[];
    readonly nextOffset: number;
    /** Monotonic time of the read, in milliseconds. */
    readonly atMs: number;
    /**
     * Length in milliseconds of the promise that a new standby makes to the
     * holder without being asked.
     */
    readonly firstPromiseMs: number;
  }
  /** Records before an offset have expired; the fold restarts at it. */
  | { readonly type: "records-expired"; readonly oldestOffset: number }
  /** This VM is about to send an ownership record to the log. */
  | { readonly type: "append-sent"; readonly record: OwnershipRecord }
  /** The log has stored the record at an offset. */
  | { readonly type: "append-placed"; readonly offset: number }
  /** The record was certainly not appended. */
  | { readonly type: "append-failed" }
  /** The log's response was lost; the record may have been appended. */
  | { readonly type: "append-unknown" }
  /** This VM has made a promise to a peer. */
  | {
    readonly type: "promise-given";
    readonly peer: VmIncarnation;
    readonly untilMs: number;
  }
  /** A peer has made a promise to this VM. */
  | {
    readonly type: "promise-received";
    readonly peer: VmIncarnation;
    readonly untilMs: number;
  }
  /** A VM has disappeared from the platform's VM list. */
  | {
    readonly type: "peer-dropped";
    readonly peer: VmIncarnation;
    readonly atMs: number;
  }
  /** This VM stops acting and appends no record in this epoch. */
  | { readonly type: "resigned" }
  /** The holder has permanently stopped acting in favor of this VM. */
  | {
    readonly type: "resignation-received";
    readonly from: VmIncarnation;
    readonly epoch: number;
  };

/** Shard and VM that a state machine is created for. */
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

/** State machine of one shard at one VM. */
export const SHARD_MACHINE: ShardMachine = fromTransition(
  advanceShard,
  ({ input }: { input: ShardMachineInput }) =>
    createReplica(input.shard, input.self),
);

/**
 * Applies an event to the state of a shard.
 *
 * @param replica - state before the event
 * @param event - record read, message, append outcome or timer
 * @returns state after the event
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

// The outcome of an appended record is known once the fold has passed its
// offset.
function clearSettled(replica: ShardReplica): ShardReplica {
  const offset = replica.pending?.offset;
  const isSettled = offset !== undefined && offset < replica.nextOffset;
  return isSettled ? { ...replica, pending: undefined } : replica;
}

// In a new epoch, no record based on an older epoch can take effect, so nothing
// is pending any more. A new standby makes a first promise without being asked,
// which gives the holder time to request the next one.
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

// A VM that was dropped from the list no longer runs. If its promise to this VM
// has not expired, it has appended no record that this VM does not know of.
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
