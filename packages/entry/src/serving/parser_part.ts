/** Bounds how much of what a connection brings is parsed at once. */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Limits of what is parsed at once. */
export interface PartLimits {
  /** Maximum number of bytes. */
  readonly bytes: number;
  /** Maximum number of lines; the parser makes objects of each. */
  readonly lines: number;
  /**
   * True to end a part behind an empty line: what follows the head of a message is
   * parsed later.
   */
  readonly endsAtEmptyLine: boolean;
}

/** How much is parsed at once. */
export interface PartSize {
  /** Number of bytes, 1 or more. */
  readonly length: number;
  /** Line ends among them. */
  readonly lines: number;
}

/**
 * Measures the part that is parsed next.
 *
 * @param bytes - what a connection has brought, 1 byte or more
 * @param limits - limits of the part
 * @returns size of the part
 */
export function measurePart(bytes: Buffer, limits: PartLimits): PartSize {
  const maxLength = Math.min(bytes.length, limits.bytes);
  let length = 0;
  let lines = 0;
  while (lines < limits.lines && length < maxLength) {
    const lineEnd = bytes.indexOf(LINE_FEED, length);
    if (lineEnd < 0 || lineEnd >= maxLength) {
      return { length: maxLength, lines };
    }
    const isEmpty = lineEnd === length ||
      (lineEnd === length + 1 && bytes[length] === CARRIAGE_RETURN);
    lines += 1;
    length = lineEnd + 1;
    if (isEmpty && limits.endsAtEmptyLine) {
      break;
    }
  }
  return { length, lines };
}
