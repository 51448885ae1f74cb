/** Hashes that stand for names of servers and routes in reports. */

import murmurhash from "murmurhash";

/**
 * Hashes a name, as full names would make reports too large.
 *
 * @param name - name of a server or route
 * @returns 32-bit MurmurHash3 of the name
 */
export function hashName(name: string): number {
  return murmurhash.v3(name);
}
