/** Share of a server's rate limit that one VM may grant. */

import type { ZoneId } from "@limpetford/domain/ids";

/** Another VM, as the VM that grants knows it. */
export interface ReachableVm {
  readonly zone: ZoneId;
  /** True if a message of it was received recently. */
  readonly isHeard: boolean;
}

/**
 * Computes the share of a limit that the VM which grants its tokens may grant.
 * It is whole while the VM hears all of its availability zone and any VM of each
 * other zone. VMs that are cut from each other choose different VMs to grant;
 * each then has the share of its side, so that the shares add up to one at most.
 *
 * @param zone - availability zone of the VM that grants
 * @param others - all other VMs of the fleet
 * @returns share, above 0 and at most 1
 */
export function computeLimitShare(
  zone: ZoneId,
  others: readonly ReachableVm[],
): number {
  const zones = new Set([zone, ...others.map((other) => other.zone)]);
  const heard = others.filter(({ isHeard }) => isHeard);
  const heardZones = new Set(heard.map((other) => other.zone));
  heardZones.delete(zone);
  const ownShare = (countInZone(zone, heard) + 1) /
    (countInZone(zone, others) + 1);
  return (heardZones.size + ownShare) / zones.size;
}

function countInZone(zone: ZoneId, vms: readonly ReachableVm[]): number {
  return vms.filter((vm) => vm.zone === zone).length;
}
