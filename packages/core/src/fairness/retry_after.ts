/** Times after which refused callers are told to come back. */

import type { RandomSource } from "../time/random_source.ts";

const LEAST_RETRY_AFTER_MS = 100;

/**
 * Computes a time that spreads the callers refused at one moment over as long
 * again as they have to wait.
 *
 * @param delayMs - when there should be room, in milliseconds from now
 * @param random - source of random numbers
 * @returns milliseconds from now
 */
export function computeRetryAfterMs(
  delayMs: number,
  random: RandomSource,
): number {
  const leastMs = Math.max(LEAST_RETRY_AFTER_MS, delayMs);
  return Math.ceil(leastMs * (1 + random.sampleUniform()));
}
