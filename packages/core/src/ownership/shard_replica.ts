/**
 * What one VM knows of one shard, and the rules that follow from it. The state
 * is immutable; the model check explores the same functions.
 */

import type { ShardId } from "@limpetford/domain/ids";
import type { VmIncarnation } from "@limpetford/domain/vm";

import { isSame, NO_OWNERSHIP, type OwnershipState } from "./ownership_fold.ts";
import type { OwnershipRecord } from "./ownership_record.ts";
import { findPromiseEnd, type ShardPromise } from "./promise.ts";

/** An ownership record whose effect is not yet known. */
export interface PendingAppend {
  readonly record: OwnershipRecord;
  /** Where the log has placed it; undefined while that is not known. */
  readonly offset: number | undefined;
  /** True if an answer was lost, so that a copy may still arrive. */
  readonly isUncertain: boolean;
}

/** State of one shard at one VM. */
export interface ShardReplica {
  readonly shard: ShardId;
  readonly self: VmIncarnation;
  readonly ownership: OwnershipState;
  /** Offset of the next record to fold. */
  readonly nextOffset: number;
  readonly pending: PendingAppend | undefined;
  /** Promises that this VM has made. */
  readonly given: readonly ShardPromise[];
  /** Promises that this VM has received. */
  readonly received: readonly ShardPromise[];
  /**
   * The other member of the pair, if it is proven that it is gone and wrote no
   * record of which this VM does not know.
   */
  readonly gonePeer: VmIncarnation | undefined;
  /** True after this VM has handed the epoch in force over to its standby. */
  readonly hasResigned: boolean;
}

/** What a VM does for a shard. */
export type ShardPhase =
  | "idle"
  | "standby"
  | "taking-over"
  | "holder"
  | "handing-over"
  | "waiting-for-log";

/**
 * Creates the state of a shard of which nothing has been read.
 *
 * @param shard - the shard
 * @param self - this run of this VM's process
 * @returns the state
 */
export function createReplica(
  shard: ShardId,
  self: VmIncarnation,
): ShardReplica {
  return {
    shard,
    self,
    ownership: NO_OWNERSHIP,
    nextOffset: 0,
    pending: undefined,
    given: [],
    received: [],
    gonePeer: undefined,
    hasResigned: false,
  };
}

/**
 * Checks whether this VM is the holder, by the log or because the holder is
 * proven gone and this VM is its standby.
 *
 * @param replica - state of the shard
 * @returns true if no other VM can be the holder
 */
export function isHolder(replica: ShardReplica): boolean {
  const { holder, standby } = replica.ownership;
  if (replica.hasResigned) {
    return false;
  }
  if (isSame(holder, replica.self)) {
    return true;
  }
  return isSame(standby, replica.self) && isSame(holder, replica.gonePeer);
}

/**
 * Lists the VMs that could become the holder next, given what this VM knows:
 * the other member of the pair, and the one of a record under way.
 *
 * @param replica - state of the shard
 * @returns the VMs whose promise a holder needs
 */
export function listPossibleSuccessors(
  replica: ShardReplica,
): readonly VmIncarnation[] {
  const { holder, standby } = replica.ownership;
  const peer = isSame(holder, replica.self) ? standby : holder;
  const successors: VmIncarnation[] = [];
  if (peer !== undefined && !isSame(peer, replica.gonePeer)) {
    successors.push(peer);
  }
  const next = replica.pending?.record.standby;
  if (next !== undefined && !successors.some((vm) => isSame(vm, next))) {
    successors.push(next);
  }
  return successors;
}

/**
 * Checks whether this VM may act as holder at this moment.
 *
 * @param replica - state of the shard
 * @param nowMs - monotonic time
 * @returns true if every possible successor is bound by a promise
 */
export function mayActAsHolder(replica: ShardReplica, nowMs: number): boolean {
  if (!isHolder(replica)) {
    return false;
  }
  return listPossibleSuccessors(replica).every((peer) =>
    (findPromiseEnd(replica.received, peer) ?? -Infinity) > nowMs
  );
}

/** A peer's wish for a promise. */
export interface PromiseRequest {
  readonly peer: VmIncarnation;
  /** Epoch that the peer knows to be in force. */
  readonly epoch: number;
}

/**
 * Checks whether this VM may promise a peer to write no ownership record. It
 * may not while a record of its own may still take effect, or when it knows of
 * an epoch that the peer does not.
 *
 * @param replica - state of the shard
 * @param wish - what the peer asks for
 * @returns true if the promise would be true
 */
export function mayPromise(
  replica: ShardReplica,
  wish: PromiseRequest,
): boolean {
  const { epoch, isEpochKnown: isAnchored } = replica.ownership;
  return replica.pending === undefined && isAnchored && epoch <= wish.epoch;
}

/**
 * Checks whether this VM may keep claims for a holder: it cannot act for the
 * shard itself before it has read the holder's epoch.
 *
 * @param replica - state of the shard
 * @param epoch - epoch that the holder knows to be in force
 * @returns true if the claims will count when this VM becomes the holder
 */
export function mayKeepClaims(replica: ShardReplica, epoch: number): boolean {
  return replica.pending === undefined && !isHolder(replica) &&
    replica.ownership.epoch <= epoch;
}

/**
 * Checks whether this VM's promises allow it to write an ownership record.
 *
 * @param replica - state of the shard
 * @param nowMs - monotonic time
 * @param isDropped - tells which VMs the platform's list has dropped
 * @returns true if no promise to a living VM binds it and none is under way
 */
export function mayAppend(
  replica: ShardReplica,
  nowMs: number,
  isDropped: (peer: VmIncarnation) => boolean,
): boolean {
  if (replica.pending !== undefined || replica.hasResigned) {
    return false;
  }
  return replica.given.every((promise) =>
    promise.untilMs <= nowMs || isSame(promise.peer, replica.gonePeer) ||
    isDropped(promise.peer)
  );
}

/**
 * Describes what this VM does for the shard.
 *
 * @param replica - state of the shard
 * @param nowMs - monotonic time
 * @returns the phase
 */
export function describePhase(
  replica: ShardReplica,
  nowMs: number,
): ShardPhase {
  if (replica.hasResigned) {
    return "handing-over";
  }
  if (isHolder(replica)) {
    return mayActAsHolder(replica, nowMs) ? "holder" : "waiting-for-log";
  }
  if (replica.pending !== undefined) {
    return "taking-over";
  }
  return isSame(replica.ownership.standby, replica.self) ? "standby" : "idle";
}
