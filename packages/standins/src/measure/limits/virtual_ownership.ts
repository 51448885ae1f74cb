/** Simulated shard ownership for the rate limit measurement. */

import {
  OwnershipView,
  type ShardOwnership,
} from "@limpetford/core/ownership/ownership_view";
import type { ShardId } from "@limpetford/domain/ids";
import { isSameIncarnation, type Vm } from "@limpetford/domain/vm";

/** Holder and standby of each shard, as every VM sees them. */
export type OwnershipTable = Map<ShardId, ShardOwnership>;

/**
 * View of the table by one VM. A VM may act for a shard as soon as the table
 * names it as the holder.
 */
export class VirtualOwnership extends OwnershipView {
  readonly #self: Vm;
  readonly #table: OwnershipTable;

  /**
   * Creates the view.
   *
   * @param self - the VM that reads the table
   * @param table - shared by all VMs
   */
  constructor(self: Vm, table: OwnershipTable) {
    super();
    this.#self = self;
    this.#table = table;
  }

  override findOwnership(shard: ShardId): ShardOwnership | undefined {
    return this.#table.get(shard);
  }

  override mayAct(shard: ShardId): boolean {
    const holder = this.#table.get(shard)?.holder;
    return holder !== undefined &&
      isSameIncarnation(holder.incarnation, this.#self.incarnation);
  }
}
