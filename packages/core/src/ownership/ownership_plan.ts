/** Plans which ownership record a VM writes next for a shard. */

import type { VmIncarnation } from "@limpetford/domain/vm";

import { isPairMember, isSame } from "./ownership_fold.ts";
import type { OwnershipRecord } from "./ownership_record.ts";
import { findPromiseEnd } from "./promise.ts";
import { isHolder, mayAppend, type ShardReplica } from "./shard_replica.ts";

/** What a VM knows of the other VMs when it plans. */
export interface PlanContext {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Wall-clock time, in milliseconds. */
  readonly wallMs: number;
  /** Tells whether the platform's list has dropped a VM. */
  readonly isDropped: (vm: VmIncarnation) => boolean;
  /** Tells whether a VM may be given work. */
  readonly isMember: (vm: VmIncarnation) => boolean;
  /** True if this VM is the first choice for the shard. */
  readonly isFirstChoice: boolean;
  /** Standby that this VM would choose. */
  readonly standbyChoice: VmIncarnation | undefined;
  /** Unbroken time without a promise after which a standby is replaced. */
  readonly replaceAfterMs: number;
  /** Time for which keys are refused if claims may have been lost. */
  readonly resendHorizonMs: number;
  /** Unique identifier for a new record. */
  readonly recordId: string;
}

/**
 * Plans the next ownership record of this VM, from all that it has read.
 * Nothing is planned while a promise of this VM forbids it.
 *
 * @param replica - state of the shard, read up to the end of its stream
 * @param context - what is known of the other VMs
 * @returns the record to append, or undefined
 */
export function planOwnership(
  replica: ShardReplica,
  context: PlanContext,
): OwnershipRecord | undefined {
  if (!mayAppend(replica, context.nowMs, context.isDropped)) {
    return undefined;
  }
  const { ownership, self } = replica;
  if (isSame(ownership.holder, self)) {
    return planReplacement(replica, context);
  }
  if (isSame(ownership.standby, self)) {
    return buildRecord(replica, context, "takeover");
  }
  return planClaim(replica, context);
}

/**
 * Checks whether a holder should choose another standby.
 *
 * @param replica - state of the shard
 * @param context - what is known of the other VMs
 * @returns true if the standby is missing, leaving, gone or silent
 */
export function shouldReplaceStandby(
  replica: ShardReplica,
  context: PlanContext,
): boolean {
  const { standby } = replica.ownership;
  if (!isHolder(replica)) {
    return false;
  }
  if (standby === undefined) {
    return context.standbyChoice !== undefined;
  }
  if (isSame(standby, replica.gonePeer) || !context.isMember(standby)) {
    return true;
  }
  const end = findPromiseEnd(replica.received, standby);
  return end !== undefined && end + context.replaceAfterMs <= context.nowMs;
}

function planReplacement(
  replica: ShardReplica,
  context: PlanContext,
): OwnershipRecord | undefined {
  const { standby } = replica.ownership;
  const isSameChoice = standby === undefined
    ? context.standbyChoice === undefined
    : isSame(standby, context.standbyChoice);
  if (isSameChoice || !shouldReplaceStandby(replica, context)) {
    return undefined;
  }
  return buildRecord(replica, context, "replace-standby");
}

function planClaim(
  replica: ShardReplica,
  context: PlanContext,
): OwnershipRecord | undefined {
  const { holder, standby } = replica.ownership;
  const isOrphan = [holder, standby].every((vm) =>
    vm === undefined || context.isDropped(vm)
  );
  if (
    !isOrphan || !context.isFirstChoice ||
    isPairMember(replica.ownership, replica.self)
  ) {
    return undefined;
  }
  const record = buildRecord(replica, context, "claim");
  const isFirstEver = replica.ownership.isEpochKnown && holder === undefined;
  return isFirstEver ? record : {
    ...record,
    unknownUntilMs: context.wallMs + context.resendHorizonMs,
  };
}

function buildRecord(
  replica: ShardReplica,
  context: PlanContext,
  change: OwnershipRecord["change"],
): OwnershipRecord {
  const { epoch, isEpochKnown: isAnchored } = replica.ownership;
  return {
    kind: "ownership",
    change,
    id: context.recordId,
    proposer: replica.self,
    basedOn: epoch,
    epoch: isAnchored ? epoch + 1 : replica.nextOffset + 1,
    holder: replica.self,
    standby: context.standbyChoice,
    unknownUntilMs: 0,
  };
}
