/** Builds synthetic fleets of any size for measurements. */

import {
  type RegionId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

import { TARGET_SIZE } from "./target_size.ts";

/**
 * Builds VMs spread evenly over the zones of the target size.
 *
 * @param count - number of VMs
 * @returns one record per VM
 */
export function buildFleet(count: number): readonly Vm[] {
  return Array.from({ length: count }, (_, index) => buildVm(index));
}

function buildVm(index: number): Vm {
  const zone = index % TARGET_SIZE.zones;
  const host = `10.1.${index >> 8}.${index & 255}`;
  return {
    incarnation: { vm: toId<VmId>(`vm-${index}`), startedAtMs: 1_700_000 },
    zone: toId<ZoneId>(`zone-${zone}`),
    region: toId<RegionId>(`region-${zone % TARGET_SIZE.regions}`),
    callerAddress: { host, port: 8_080 },
    peerAddress: { host, port: 8_090 },
    weight: 1,
  };
}
