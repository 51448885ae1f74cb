/** Spans between times that may not have come yet. */

/**
 * Computes the span between two times.
 *
 * @param fromMs - beginning; undefined if it has not come
 * @param toMs - end; undefined if it has not come
 * @returns the span in milliseconds; undefined unless both have come
 */
export function computeSpanMs(
  fromMs: number | undefined,
  toMs: number | undefined,
): number | undefined {
  return fromMs === undefined || toMs === undefined ? undefined : toMs - fromMs;
}
