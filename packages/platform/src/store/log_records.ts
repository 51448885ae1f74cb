/** Binary encoding of keyed records in the store's log. */

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const KEY_LENGTH_BYTES = 1;

/** A record of a topic that is compacted by key. */
export interface KeyedRecord {
  readonly offset: number;
  readonly key: string;
  /** Undefined in a tombstone, which removes the key. */
  readonly value: Buffer | undefined;
}

/** Consecutive records of a partition, returned by one read. */
export interface RecordBatch {
  /** Offset after the last record of the partition. */
  readonly endOffset: number;
  /** Offset after the last record of this batch. */
  readonly nextOffset: number;
  readonly records: readonly KeyedRecord[];
}

/**
 * Encodes one keyed record for an append.
 *
 * @param key - at most 255 bytes in UTF-8
 * @param value - undefined for a tombstone, which removes the key
 * @returns length prefix, key length, key and value
 */
export function encodeKeyedRecord(
  key: string,
  value: Buffer | undefined,
): Buffer {
  const keyBytes = Buffer.from(key);
  const content = Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    value ?? Buffer.alloc(0),
  ]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

/**
 * Decodes the response to a read.
 *
 * @param bytes - complete body of the response
 * @param from - offset of the first record, as requested
 * @returns the records, or undefined if the body is truncated
 */
export function decodeRecordBatch(
  bytes: Buffer,
  from: number,
): RecordBatch | undefined {
  if (bytes.length < 2 * OFFSET_BYTES) {
    return undefined;
  }
  const endOffset = Number(bytes.readBigUInt64BE(0));
  const records: KeyedRecord[] = [];
  let position = 2 * OFFSET_BYTES;
  let offset = from;
  while (position < bytes.length) {
    if (position + LENGTH_BYTES > bytes.length) {
      return undefined;
    }
    const end = position + LENGTH_BYTES + bytes.readUInt32BE(position);
    if (end > bytes.length) {
      return undefined;
    }
    const record = decodeContent(
      bytes.subarray(position + LENGTH_BYTES, end),
      offset,
    );
    if (record !== undefined) {
      records.push(record);
    }
    position = end;
    offset += 1;
  }
  return { endOffset, nextOffset: offset, records };
}

function decodeContent(
  content: Buffer,
  offset: number,
): KeyedRecord | undefined {
  const keyLength = content[0];
  if (keyLength === undefined) {
    return undefined;
  }
  const valueStart = KEY_LENGTH_BYTES + keyLength;
  if (valueStart > content.length) {
    return undefined;
  }
  return {
    offset,
    key: content.toString("utf8", KEY_LENGTH_BYTES, valueStart),
    value: valueStart === content.length
      ? undefined
      : content.subarray(valueStart),
  };
}
