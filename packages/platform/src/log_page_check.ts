/** Validates the offsets of records that a log service returned. */

import type { LogRecord } from "./log_service.ts";

/** The contiguous prefix of the records that a read returned. */
export interface ContiguousRecords {
  readonly records: readonly LogRecord[];
  /** First offset that the service skipped; undefined if it skipped none. */
  readonly missingOffset: number | undefined;
}

/**
 * Keeps the records up to the first gap in the offsets. Repeated offsets are
 * dropped; records after a gap are dropped too, so that the next read requests
 * the missing record again.
 *
 * @param fromOffset - first offset that was requested
 * @param records - records as the service returned them
 * @returns the contiguous records and the first missing offset
 */
export function keepContiguousRecords(
  fromOffset: number,
  records: readonly LogRecord[],
): ContiguousRecords {
  const kept: LogRecord[] = [];
  let expected = fromOffset;
  for (const record of records) {
    if (record.offset > expected) {
      return { records: kept, missingOffset: expected };
    }
    if (record.offset === expected) {
      kept.push(record);
      expected += 1;
    }
  }
  return { records: kept, missingOffset: undefined };
}
