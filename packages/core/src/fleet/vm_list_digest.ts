/** Digest by which VMs compare their lists of VMs. */

import type { Vm } from "@limpetford/domain/vm";

import { hashRendezvous } from "./rendezvous_hash.ts";

/** Distinguishes the digest from other uses of the hash. */
const PURPOSE = "vm-list";

/**
 * Computes the digest of a list of VMs.
 *
 * @param vms - the VMs, in any order
 * @returns an unsigned integer of 32 bits; lists of other VMs almost certainly
 * have another, while a restart of a VM changes nothing
 */
export function computeVmListDigest(vms: readonly Vm[]): number {
  return vms.reduce(
    (digest, { incarnation }) =>
      (digest + hashRendezvous(PURPOSE, incarnation.vm)) >>> 0,
    0,
  );
}
