/** Read-only view of which VM holds which shard. */

import type { ShardId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

/** Holder and standby of a shard, by the newest ownership known to this VM. */
export interface ShardOwnership {
  readonly shard: ShardId;
  readonly epoch: number;
  readonly holder: Vm;
  readonly standby: Vm | undefined;
}

/**
 * Ownership of all shards as far as this VM knows it.
 */
export abstract class OwnershipView {
  /**
   * Finds the newest known ownership of a shard. It may be out of date.
   *
   * @param shard - number of the shard
   * @returns the ownership; undefined if none is known
   */
  abstract findOwnership(shard: ShardId): ShardOwnership | undefined;

  /**
   * Checks whether this VM may act as holder of a shard now. Callers check
   * immediately before every effect, because a promise can expire at any time.
   *
   * @param shard - number of the shard
   * @returns true if this VM is the holder and every VM that could succeed it
   * is bound by an unexpired promise
   */
  abstract mayAct(shard: ShardId): boolean;
}
