/** Contract of the platform's append-only log service. */

import type { Result } from "@limpetford/domain/result";

/** A record with its position in its stream. */
export interface LogRecord {
  /** Position in the stream; increases by one per record. */
  readonly offset: number;
  readonly payload: Uint8Array;
}

/** Result of one read of a stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Offset at which the next read continues. */
  readonly nextOffset: number;
  /** Lowest offset that the service still retains. */
  readonly oldestOffset: number;
  /** Offset that the next append gets, as far as the service knows. */
  readonly endOffset: number;
}

/** Why a call to the log service failed. */
export type LogError =
  /** The append may or may not have taken effect; only a read can tell. */
  | { readonly kind: "append-outcome-unknown"; readonly cause: string }
  /** The call had no effect: the service is unreachable or rejected it. */
  | { readonly kind: "log-away"; readonly cause: string }
  /** The service is throttling this caller. */
  | { readonly kind: "log-busy"; readonly retryAfterMs: number }
  /** Records before `oldestOffset` are past the retention time. */
  | { readonly kind: "records-expired"; readonly oldestOffset: number };

/** Range and wait time of a read. */
export interface ReadOptions {
  readonly fromOffset: number;
  /** Maximum number of records to return; default 1,000. */
  readonly limit?: number;
  /** Long-poll time for a first record, in milliseconds; default 0. */
  readonly waitMs?: number;
}

/**
 * Append-only log service: named streams of records with increasing offsets.
 */
export abstract class LogService {
  /**
   * Appends records to one stream, contiguously and in order.
   *
   * @param stream - name of the stream
   * @param payloads - contents of the records; at least one
   * @returns the offset of the first record, or why the append failed
   */
  abstract append(
    stream: string,
    payloads: readonly Uint8Array[],
  ): Promise<Result<number, LogError>>;

  /**
   * Reads records of one stream.
   *
   * @param stream - name of the stream
   * @param options - first offset, record limit and wait time
   * @returns the records from the offset on, or why the read failed
   */
  abstract read(
    stream: string,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>>;
}
