/** Hashes texts for sets that need not keep the texts themselves. */

import murmurhash from "murmurhash";

/**
 * Hashes a text by MurmurHash3.
 *
 * @param text - any text
 * @returns a signed 32-bit integer, which the engine stores without an object
 */
export function hashText(text: string): number {
  return murmurhash.v3(text) | 0;
}
