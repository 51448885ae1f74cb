/** Chooses the few VMs, its partners, that a VM exchanges heartbeats with. */

import { formatIncarnation, type Vm } from "@limpetford/domain/vm";
import murmurhash from "murmurhash";

/** Number of hash rings; a VM has one successor on each. */
export const RING_COUNT = 3;

/**
 * Chooses a VM's partners: its successors on several hash rings, each of which
 * orders the VMs by a different hash. Every VM thus has as many predecessors as
 * successors, and gossip reaches all VMs over few hops.
 *
 * @param self - the choosing VM
 * @param members - the VMs to choose from; `self` may be among them
 * @param ringCount - number of rings
 * @returns at most `ringCount` partners, without duplicates
 */
export function choosePartners(
  self: Vm,
  members: readonly Vm[],
  ringCount: number = RING_COUNT,
): readonly Vm[] {
  const partners = new Map<string, Vm>();
  for (let ring = 0; ring < ringCount; ring += 1) {
    const successor = findSuccessor(self, members, ring);
    if (successor !== undefined) {
      partners.set(formatIncarnation(successor.incarnation), successor);
    }
  }
  return [...partners.values()];
}

function findSuccessor(
  self: Vm,
  members: readonly Vm[],
  ring: number,
): Vm | undefined {
  const own = computePosition(self, ring);
  let successor: Vm | undefined;
  let shortest = Infinity;
  for (const vm of members) {
    const distance = (computePosition(vm, ring) - own) >>> 0;
    if (vm.incarnation.vm !== self.incarnation.vm && distance < shortest) {
      successor = vm;
      shortest = distance;
    }
  }
  return successor;
}

function computePosition(vm: Vm, ring: number): number {
  return murmurhash.v3(vm.incarnation.vm, ring);
}
