/** Rendezvous hash, by which all VMs compute the same order of VMs. */

const FNV_OFFSET = 0x811c_9dc5;
const FNV_PRIME = 0x0100_0193;

/**
 * Computes the weight of a candidate for a key: FNV-1a, followed by the
 * finalizer of MurmurHash3. The candidate of the greatest weight is chosen.
 *
 * @param purpose - key that the candidates compete for, such as a zone
 * @param name - name of the candidate
 * @returns an unsigned integer of 32 bits
 */
export function hashRendezvous(purpose: string, name: string): number {
  let hash = FNV_OFFSET;
  const text = `${purpose}|${name}`;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85eb_ca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2_ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
