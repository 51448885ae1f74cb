/** Digest by which two VMs find out which of their facts differ. */

import murmurhash from "murmurhash";

/** Number of buckets of a digest; must be equal on every VM. */
export const BUCKET_COUNT = 64;

/** Seed of the hash that assigns keys to buckets; must be equal on every VM. */
const BUCKET_SEED = 7;
/** Seed of the hash over all facts; must be equal on every VM. */
const SUM_SEED = 11;

/**
 * XOR hashes, independent of order, of the keys and ranks of a set of facts.
 */
export interface FactDigest {
  /** Hash of all facts; unsigned 32-bit integer, 0 for no facts. */
  sum: number;
  /** Hash of the facts of each bucket, by bucket index. */
  readonly buckets: Uint32Array;
}

/**
 * Creates the digest of an empty set of facts.
 *
 * @returns a digest whose hashes are all 0
 */
export function createDigest(): FactDigest {
  return { sum: 0, buckets: new Uint32Array(BUCKET_COUNT) };
}

/**
 * Finds the bucket of a fact.
 *
 * @param key - key of the fact
 * @returns bucket index, from 0 to `BUCKET_COUNT - 1`
 */
export function findBucket(key: string): number {
  return murmurhash.v3(key, BUCKET_SEED) % BUCKET_COUNT;
}

/**
 * Adds a fact to a digest. Adding the same fact a second time removes it, since
 * hashes are combined by XOR.
 *
 * @param digest - the digest, modified in place
 * @param key - key of the fact
 * @param rank - rank of the fact
 */
export function addToDigest(
  digest: FactDigest,
  key: string,
  rank: number,
): void {
  const entry = `${key}#${rank}`;
  const bucket = findBucket(key);
  const known = digest.buckets[bucket] ?? 0;
  digest.buckets[bucket] = known ^ murmurhash.v3(entry);
  digest.sum = (digest.sum ^ murmurhash.v3(entry, SUM_SEED)) >>> 0;
}

/**
 * Compares two digests bucket by bucket.
 *
 * @param mine - digest of this VM
 * @param theirs - bucket hashes of the other VM
 * @returns indexes of the buckets whose hashes differ
 */
export function compareBuckets(
  mine: FactDigest,
  theirs: readonly number[],
): readonly number[] {
  return [...mine.buckets.keys()].filter((bucket) =>
    mine.buckets[bucket] !== theirs[bucket]
  );
}
