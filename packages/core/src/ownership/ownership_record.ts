/** Records in a shard's log stream that change the shard's ownership. */

import type { ShardId } from "@limpetford/domain/ids";
import type { VmIncarnation } from "@limpetford/domain/vm";

/** Kinds of ownership change. */
export const OWNERSHIP_CHANGE = {
  /** A VM claims a shard whose holder and standby have both disappeared. */
  claim: "claim",
  /** The standby becomes the holder. */
  takeover: "takeover",
  /** The holder chooses another standby, or none. */
  replaceStandby: "replace-standby",
  /**
   * The holder repeats the epoch in force before the record that began it
   * expires from the log.
   */
  checkpoint: "checkpoint",
} as const;
/** Kind of an ownership change. */
export type OwnershipChange =
  typeof OWNERSHIP_CHANGE[keyof typeof OWNERSHIP_CHANGE];

/**
 * Proposes a new epoch. It takes effect only if the epoch that it is based on
 * is still in force, so that the first of several concurrent proposals wins.
 */
export interface OwnershipRecord {
  readonly kind: "ownership";
  readonly change: OwnershipChange;
  /** Unique identifier by which the proposer recognizes its own record. */
  readonly id: string;
  readonly proposer: VmIncarnation;
  /** Epoch in force as known to the proposer; 0 for none. */
  readonly basedOn: number;
  /** The new epoch, greater than `basedOn`; equal to it in a checkpoint. */
  readonly epoch: number;
  readonly holder: VmIncarnation;
  readonly standby: VmIncarnation | undefined;
  /**
   * Wall-clock time in milliseconds until which unknown idempotency keys are
   * refused, because claims may have been lost with the holder and the standby.
   * 0 if no key is refused.
   */
  readonly unknownUntilMs: number;
}

/**
 * Builds the name of the log stream of a shard.
 *
 * @param shard - number of the shard
 * @returns name of the stream, such as `shard-7`
 */
export function formatShardStream(shard: ShardId): string {
  return `shard-${shard}`;
}
