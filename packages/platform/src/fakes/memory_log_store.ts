/** In-memory streams of records, used by the fake and the stand-in. */

import type { LogPage, LogRecord } from "../log_service.ts";

/** Settings of {@link MemoryLogStore}. */
export interface MemoryLogStoreOptions {
  /** Age at which records expire, in milliseconds; default never. */
  readonly retentionMs?: number;
}

/** Range of a read, and the time at which it happens. */
export interface StoreReadOptions {
  readonly fromOffset: number;
  readonly limit: number;
  readonly nowMs: number;
}

interface StoredRecord extends LogRecord {
  readonly appendedAtMs: number;
}

interface Stream {
  records: StoredRecord[];
  endOffset: number;
}

/**
 * Append-only streams whose records expire after the retention time.
 */
export class MemoryLogStore {
  readonly #streams = new Map<string, Stream>();
  readonly #retentionMs: number;
  #listeners: (() => void)[] = [];
  #appendCount = 0;

  /**
   * Creates an empty store.
   *
   * @param options - retention time
   */
  constructor(options: MemoryLogStoreOptions = {}) {
    this.#retentionMs = options.retentionMs ?? Infinity;
  }

  /**
   * Counts the appends since the store was created.
   *
   * @returns number of calls of {@link append}, each of any number of records
   */
  countAppends(): number {
    return this.#appendCount;
  }

  /**
   * Lists the streams that have been appended to or read.
   *
   * @returns names of the streams with their end offsets
   */
  listStreams(): readonly { readonly name: string; readonly end: number }[] {
    return [...this.#streams].map(([name, stream]) => ({
      name,
      end: stream.endOffset,
    }));
  }

  /**
   * Appends records contiguously and notifies the subscribers.
   *
   * @param name - name of the stream
   * @param payloads - contents of the records, which are copied
   * @param nowMs - time of the append, in milliseconds
   * @returns offset of the first record
   */
  append(
    name: string,
    payloads: readonly Uint8Array[],
    nowMs: number,
  ): number {
    const stream = this.#findStream(name);
    const first = stream.endOffset;
    payloads.forEach((payload, index) => {
      stream.records.push({
        offset: first + index,
        payload: Uint8Array.from(payload),
        appendedAtMs: nowMs,
      });
    });
    stream.endOffset += payloads.length;
    this.#appendCount += 1;
    const listeners = this.#listeners;
    this.#listeners = [];
    listeners.forEach((listener) => {
      listener();
    });
    return first;
  }

  /**
   * Removes the expired records of a stream, then reads it.
   *
   * @param name - name of the stream
   * @param options - first offset, record limit and current time
   * @returns the retained records from the offset on
   */
  read(name: string, options: StoreReadOptions): LogPage {
    const stream = this.#findStream(name);
    const oldestKeptMs = options.nowMs - this.#retentionMs;
    stream.records = stream.records.filter(
      (record) => record.appendedAtMs >= oldestKeptMs,
    );
    const oldestOffset = stream.records[0]?.offset ?? stream.endOffset;
    const start = Math.max(0, options.fromOffset - oldestOffset);
    const records = stream.records
      .slice(start, start + options.limit)
      .map(({ offset, payload }) => ({ offset, payload }));
    const last = records.at(-1)?.offset;
    return {
      records,
      nextOffset: last === undefined ? options.fromOffset : last + 1,
      oldestOffset,
      endOffset: stream.endOffset,
    };
  }

  /**
   * Removes all records of a stream before an offset, as if they had expired.
   *
   * @param name - name of the stream
   * @param offset - first offset that is retained
   */
  expireBefore(name: string, offset: number): void {
    const stream = this.#findStream(name);
    stream.records = stream.records.filter(
      (record) => record.offset >= offset,
    );
  }

  /**
   * Registers a callback for the next append to any stream.
   *
   * @param listener - called at most once
   * @returns a function that cancels the registration
   */
  subscribeOnce(listener: () => void): () => void {
    this.#listeners.push(listener);
    return () => {
      this.#listeners = this.#listeners.filter((other) => other !== listener);
    };
  }

  #findStream(name: string): Stream {
    const known = this.#streams.get(name);
    if (known !== undefined) {
      return known;
    }
    const stream: Stream = { records: [], endOffset: 0 };
    this.#streams.set(name, stream);
    return stream;
  }
}
