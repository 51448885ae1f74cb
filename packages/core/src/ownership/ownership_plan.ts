/** Plans which ownership record a VM appends next for a shard, if any. */

import type { VmIncarnation } from "@limpetford/domain/vm";

import { isPairMember, isSame } from "./ownership_fold.ts";
import type { OwnershipRecord } from "./ownership_record.ts";
import { findPromiseEnd } from "./promise.ts";
import { isHolder, mayAppend, type ShardReplica } from "./shard_replica.ts";

/** Time, settings and knowledge of other VMs that a plan depends on. */
export interface PlanContext {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Wall-clock time, in milliseconds. */
  readonly wallMs: number;
  /** Tells whether a VM has disappeared from the platform's VM list. */
  readonly isDropped: (vm: VmIncarnation) => boolean;
  /** Tells whether a VM may be given work: neither leaving nor dropped. */
  readonly isMember: (vm: VmIncarnation) => boolean;
  /** True if this VM is first in the shard's rendezvous order. */
  readonly isFirstChoice: boolean;
  /** Standby that this VM would choose; undefined if no VM is suitable. */
  readonly standbyChoice: VmIncarnation | undefined;
  /**
   * Time in milliseconds since the standby's last promise ended, after which
   * the standby is replaced.
   */
  readonly replaceAfterMs: number;
  /**
   * Time in milliseconds for which unknown idempotency keys are refused if
   * claims may have been lost; callers may still retry within it.
   */
  readonly resendHorizonMs: number;
  /** Unique identifier of the record to append. */
  readonly recordId: string;
}

/**
 * Plans the next ownership record of this VM. Nothing is planned while a
 * promise of this VM forbids it to append one.
 *
 * @param replica - state of the shard, read up to the end of its stream
 * @param context - time, settings and knowledge of the other VMs
 * @returns the record to append; undefined if the ownership need not change
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
 * Checks whether this VM holds the shard and should choose another standby.
 *
 * @param replica - state of the shard
 * @param context - time, settings and knowledge of the other VMs
 * @returns true if the standby is leaving, gone or has made no promise for too
 * long, or if there is none and a suitable VM exists
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
  const { epoch, isEpochKnown } = replica.ownership;
  return {
    kind: "ownership",
    change,
    id: context.recordId,
    proposer: replica.self,
    basedOn: epoch,
    epoch: isEpochKnown ? epoch + 1 : replica.nextOffset + 1,
    holder: replica.self,
    standby: context.standbyChoice,
    unknownUntilMs: 0,
  };
}
