/** Retry delays for refused callers. */

import type { RandomSource } from "../time/random_source.ts";

/** Shortest delay before jitter is added. */
const MIN_RETRY_AFTER_MS = 100;

/**
 * Computes a retry delay with jitter, so that callers refused at the same time
 * do not retry at the same time. The jitter is up to the delay itself.
 *
 * @param delayMs - expected time until there is capacity, in milliseconds
 * @param random - source of the jitter
 * @returns one to two times the delay, in milliseconds
 */
export function computeRetryAfterMs(
  delayMs: number,
  random: RandomSource,
): number {
  const minMs = Math.max(MIN_RETRY_AFTER_MS, delayMs);
  return Math.ceil(minMs * (1 + random.sampleUniform()));
}
