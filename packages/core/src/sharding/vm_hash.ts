/** Hashes of VM names, cached because VMs are compared often. */

import type { Vm } from "@limpetford/domain/vm";
import murmurhash from "murmurhash";

const VM_HASHES = new WeakMap<Vm, number>();

/**
 * Finds the hash of a VM's name, computed at the first call for each record.
 *
 * @param vm - record of the VM; key of the cache
 * @returns an unsigned 32-bit integer
 */
export function findVmHash(vm: Vm): number {
  const known = VM_HASHES.get(vm);
  if (known !== undefined) {
    return known;
  }
  const hash = murmurhash.v3(vm.incarnation.vm);
  VM_HASHES.set(vm, hash);
  return hash;
}

/**
 * Hashes a number by the finalizer of MurmurHash3, in which every input bit
 * affects every output bit.
 *
 * @param value - a 32-bit integer
 * @returns an unsigned 32-bit integer
 */
export function hashNumber(value: number): number {
  let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
