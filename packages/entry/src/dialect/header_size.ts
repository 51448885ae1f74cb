/** Size of header lines as they are sent. */

/** Bytes of the colon, the space and the line break of each header line. */
const HEADER_OVERHEAD_BYTES = 4;

/**
 * Counts the bytes of header lines.
 *
 * @param rawHeaders - names and values in turn, as Node lists them
 * @returns number of bytes
 */
export function countHeaderBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce(
    (sum, text) => sum + text.length + HEADER_OVERHEAD_BYTES / 2,
    0,
  );
}
