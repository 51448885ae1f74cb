/** Builds the announcement records of backend servers for tests. */

import type { KeyedRecord } from "../store/log_records.ts";

/** Server, log position and state of an announcement. */
export interface AnnouncementOptions {
  readonly id: string;
  readonly offset: number;
  /** Undefined builds a record that removes the server. */
  readonly state: "ready" | "draining" | undefined;
}

/**
 * Builds an announcement. Its sequence number is its offset, and all records
 * have the same start time, so higher offsets supersede lower ones.
 *
 * @param options - server, offset and state
 * @returns the record under the server's key
 */
export function buildAnnouncementRecord(
  { id, offset, state }: AnnouncementOptions,
): KeyedRecord {
  if (state === undefined) {
    return { key: id, offset, value: undefined };
  }
  const text = JSON.stringify({
    service: "s",
    address: "10.0.0.1:80",
    zone: "z",
    version: "v1",
    slots: 3,
    state,
    warmup_remaining_s: 0,
    sequence_number: offset,
    born: 1,
  });
  return { key: id, offset, value: Buffer.from(text) };
}
