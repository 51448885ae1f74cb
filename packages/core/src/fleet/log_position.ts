/** Position in a topic of a store whose offsets may go back. */

/**
 * Position of a record. When the store returns from an older copy, offsets go
 * back and are given out again, and the era rises by one.
 */
export interface LogPosition {
  /** Number of times that the store has returned from a copy. */
  readonly era: number;
  /** Offset in the topic within the era. */
  readonly offset: number;
}

/**
 * Compares positions by era first.
 *
 * @param a - position in a topic
 * @param b - position in the same topic
 * @returns below 0 if `a` comes first, above 0 if `b` does, 0 if equal
 */
export function compareLogPositions(a: LogPosition, b: LogPosition): number {
  return a.era - b.era || a.offset - b.offset;
}

/**
 * Chooses the later of two positions.
 *
 * @param a - position; undefined if none is known
 * @param b - position in the same topic; undefined if none is known
 * @returns the later one; undefined if neither is known
 */
export function pickLaterPosition(
  a: LogPosition | undefined,
  b: LogPosition | undefined,
): LogPosition | undefined {
  if (a === undefined || b === undefined) {
    return a ?? b;
  }
  return compareLogPositions(a, b) >= 0 ? a : b;
}
