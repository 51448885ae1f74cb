/** Maps each shard to the VM that should hold it, by rendezvous hashing. */

import { selectByRendezvous } from "@limpetford/core/sharding/shard_hash";
import type { ShardId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import {
  formatIncarnation,
  isSameIncarnation,
  type Vm,
  type VmIncarnation,
} from "@limpetford/domain/vm";

/**
 * Caches the preferred holder of every shard. The mapping is recomputed only
 * when the members of the fleet change.
 */
export class PreferredHolders {
  readonly #shardCount: number;
  #memberKey = "";
  #preferred: readonly (Vm | undefined)[] = [];

  /**
   * Creates the mapping of an empty fleet, in which no shard has a preferred
   * holder.
   *
   * @param shardCount - number of shards of the fleet
   */
  constructor(shardCount: number) {
    this.#shardCount = shardCount;
  }

  /**
   * Recomputes the mapping if the members have changed.
   *
   * @param members - the VMs that may hold shards
   * @returns true if the members differ from those of the last call
   */
  update(members: readonly Vm[]): boolean {
    const memberKey = members.map((vm) => formatIncarnation(vm.incarnation))
      .join(",");
    if (memberKey === this.#memberKey) {
      return false;
    }
    this.#memberKey = memberKey;
    this.#preferred = Array.from(
      { length: this.#shardCount },
      (_, index) => selectByRendezvous(toId<ShardId>(index), members, 1)[0],
    );
    return true;
  }

  /**
   * Finds the VM that should hold a shard.
   *
   * @param shard - shard to look up
   * @returns the VM, or undefined if the fleet has no members
   */
  findPreferred(shard: ShardId): Vm | undefined {
    return this.#preferred[shard];
  }

  /**
   * Checks whether a VM is the preferred holder of a shard.
   *
   * @param shard - shard to look up
   * @param vm - incarnation of the VM, that is, one run of its process
   * @returns true if this incarnation is the preferred holder
   */
  isPreferred(shard: ShardId, vm: VmIncarnation): boolean {
    const preferred = this.findPreferred(shard);
    return preferred !== undefined &&
      isSameIncarnation(preferred.incarnation, vm);
  }
}
