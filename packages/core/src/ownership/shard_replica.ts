/**
 * One VM's state of one shard, and the rules that decide what it may do. The
 * state is immutable; the model checker runs the same functions.
 */

import type { ShardId } from "@limpetford/domain/ids";
import type { VmIncarnation } from "@limpetford/domain/vm";

import { isSame, NO_OWNERSHIP, type OwnershipState } from "./ownership_fold.ts";
import type { OwnershipRecord } from "./ownership_record.ts";
import { findPromiseEnd, type ShardPromise } from "./promise.ts";

/** An append of an ownership record whose outcome is not yet known. */
export interface PendingAppend {
  readonly record: OwnershipRecord;
  /** Offset of the record in the log; undefined while it is not known. */
  readonly offset: number | undefined;
  /**
   * True if a response of the log was lost, so that the record may still be
   * appended later.
   */
  readonly isUncertain: boolean;
}

/** State of one shard at one VM. */
export interface ShardReplica {
  readonly shard: ShardId;
  readonly self: VmIncarnation;
  readonly ownership: OwnershipState;
  /** Offset of the next log record to fold. */
  readonly nextOffset: number;
  /** Append under way; undefined if there is none. */
  readonly pending: PendingAppend | undefined;
  /** Promises that this VM has made. */
  readonly given: readonly ShardPromise[];
  /** Promises that this VM has received. */
  readonly received: readonly ShardPromise[];
  /**
   * The other one of holder and standby, if it is proven to act no more and to
   * have appended no record unknown to this VM; otherwise undefined.
   */
  readonly gonePeer: VmIncarnation | undefined;
  /** True after this VM has handed over to its standby in this epoch. */
  readonly hasResigned: boolean;
}

/** Role of a VM for a shard, with the transitions between roles. */
export type ShardPhase =
  | "idle"
  | "standby"
  | "taking-over"
  | "holder"
  | "handing-over"
  | "waiting-for-log";

/**
 * Creates the state of a shard before any of its log has been read.
 *
 * @param shard - number of the shard
 * @param self - this run of this VM's process
 * @returns state without an owner
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
 * Checks whether this VM is the holder, either by the log or as the standby of
 * a holder that is proven gone.
 *
 * @param replica - state of the shard
 * @returns true if this VM is the holder and has not handed over
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
 * Lists the VMs that could become the next holder as far as this VM knows: the
 * other one of holder and standby, and the standby named by a pending record.
 *
 * @param replica - state of the shard
 * @returns the VMs whose promises a holder needs, without duplicates
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
 * Checks whether this VM may act as holder now.
 *
 * @param replica - state of the shard
 * @param nowMs - monotonic time in milliseconds
 * @returns true if this VM is the holder and every possible successor is bound
 * by an unexpired promise
 */
export function mayActAsHolder(replica: ShardReplica, nowMs: number): boolean {
  if (!isHolder(replica)) {
    return false;
  }
  return listPossibleSuccessors(replica).every((peer) =>
    (findPromiseEnd(replica.received, peer) ?? -Infinity) > nowMs
  );
}

/** A peer's request for a promise. */
export interface PromiseRequest {
  readonly peer: VmIncarnation;
  /** Newest epoch known to the peer. */
  readonly epoch: number;
}

/**
 * Checks whether this VM may promise a peer to append no ownership record. It
 * may not while a record of its own may still take effect, nor if it knows a
 * newer epoch than the peer.
 *
 * @param replica - state of the shard
 * @param request - the peer's request
 * @returns true if this VM can keep the promise
 */
export function mayPromise(
  replica: ShardReplica,
  request: PromiseRequest,
): boolean {
  const { epoch, isEpochKnown } = replica.ownership;
  return replica.pending === undefined && isEpochKnown &&
    epoch <= request.epoch;
}

/**
 * Checks whether this VM may store copies of a holder's claims. It may as long
 * as it cannot act for the shard itself before it has read the holder's epoch.
 *
 * @param replica - state of the shard
 * @param epoch - newest epoch known to the holder
 * @returns true if the claims will be known should this VM become the holder
 */
export function mayKeepClaims(replica: ShardReplica, epoch: number): boolean {
  return replica.pending === undefined && !isHolder(replica) &&
    replica.ownership.epoch <= epoch;
}

/**
 * Checks whether this VM's promises allow it to append an ownership record.
 *
 * @param replica - state of the shard
 * @param nowMs - monotonic time in milliseconds
 * @param isDropped - tells whether a VM has disappeared from the platform's
 * list
 * @returns true if no append is pending, this VM has not handed over and every
 * unexpired promise was made to a VM that is gone
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
 * Describes the role of this VM for the shard.
 *
 * @param replica - state of the shard
 * @param nowMs - monotonic time in milliseconds
 * @returns `waiting-for-log` for a holder that lacks a promise, `taking-over`
 * for another VM with a pending record
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
