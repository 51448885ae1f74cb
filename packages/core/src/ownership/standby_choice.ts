/** Chooses the standby VM for the shards of a holder. */

import type { Vm } from "@limpetford/domain/vm";

import { findVmHash, hashNumber } from "../sharding/vm_hash.ts";

const UINT32_RANGE = 0x1_0000_0000;

/**
 * Chooses the best standby: VMs in the holder's region come first, then VMs in
 * other zones than the holder's, then a hash order. The hash depends on the
 * holder but not on the shard, so that all shards of a holder share few
 * standbys and their promises fit into few messages.
 *
 * @param holder - the holder, which is never chosen
 * @param candidates - the VMs to choose from
 * @param isSuitable - tells whether a VM may be chosen now
 * @returns the best suitable VM; undefined if there is none
 */
export function chooseStandby(
  holder: Vm,
  candidates: readonly Vm[],
  isSuitable: (vm: Vm) => boolean,
): Vm | undefined {
  let best: Vm | undefined;
  let bestRank = Infinity;
  for (const vm of candidates) {
    const isOther = vm.incarnation.vm !== holder.incarnation.vm;
    const rank = computeRank(holder, vm);
    if (isOther && rank < bestRank && isSuitable(vm)) {
      best = vm;
      bestRank = rank;
    }
  }
  return best;
}

// The lowest rank is the best; the hash adds less than 1, so that it decides
// only between VMs of equal region and zone preference.
function computeRank(holder: Vm, vm: Vm): number {
  const regionRank = vm.region === holder.region ? 0 : 2;
  const zoneRank = vm.zone === holder.zone ? 1 : 0;
  const hash = hashNumber(hashNumber(findVmHash(holder)) ^ findVmHash(vm));
  return regionRank + zoneRank + hash / UINT32_RANGE;
}
