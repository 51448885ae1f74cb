/** HTTP client of the platform's store of keyed topics. */

import type { LogPosition } from "@limpetford/core/fleet/log_position";
import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import { Agent } from "undici";
import * as z from "zod";

import {
  decodeRecordBatch,
  encodeKeyedRecord,
  type KeyedRecord,
} from "./log_records.ts";
import type { StoreError } from "./store_error.ts";
import { type Topic, WIRE_HEADER } from "./wire_names.ts";

const CALL_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 500;
const IDLE_TIMEOUT_MS = 20_000;
const KEYED_PARTITION = "0";
const STATUS_OK = 200;
const STATUS_GONE = 410;
/** Maximum pages of a snapshot; bounds the read of a fast-growing topic. */
const MAX_PAGES = 200;
/** Statuses that guarantee that the request had no effect. */
const NO_EFFECT_STATUSES: ReadonlySet<number> = new Set([403, 412, 429, 503]);
/** Codes of errors that occur before a connection is established. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const ERA_PATTERN = /^\d{1,15}$/;

const newestSchema = z.object({
  items: z.array(z.object({
    key: z.string(),
    value: z.string(),
    offset: z.number().int(),
  })),
  has_more: z.boolean(),
  end_offset: z.number().int(),
});
const expiredSchema = z.object({ first_offset: z.number().int() });

/** The newest record of each key of a topic. */
export interface TopicSnapshot {
  readonly records: readonly KeyedRecord[];
  /** Position from which to read the log after applying the snapshot. */
  readonly end: LogPosition;
}

/** Consecutive records of a topic, and where they were read. */
export interface LogPart {
  readonly records: readonly KeyedRecord[];
  /** Position after the last of these records. */
  readonly next: LogPosition;
  /** Position after the last record of the topic. */
  readonly end: LogPosition;
}

/** First position and wait time of a read. */
export interface LogReadOptions {
  readonly from: LogPosition;
  /** Long-poll time for a first record, in milliseconds; 0 returns at once. */
  readonly waitMs: number;
}

interface StoreCall {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly query: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  readonly timeoutMs: number;
}

interface StoreResponse {
  readonly status: number;
  readonly bytes: Buffer;
  readonly era: number;
}

/**
 * Reads and writes topics of the store. Every call has a timeout. A call that
 * gets no response drops the connection pool, since later responses on its
 * connection would be lost as well.
 */
export class StoreClient {
  readonly #origin: string;
  #agent = createAgent();
  #callCount = 0;
  #era = 0;

  /**
   * Creates a client; it connects on its first call.
   *
   * @param address - address of the store
   */
  constructor(address: SocketAddress) {
    this.#origin = `http://${formatAddress(address)}`;
  }

  /**
   * Number of calls since the client was created.
   *
   * @returns count, including failed calls
   */
  get callCount(): number {
    return this.#callCount;
  }

  /**
   * Highest era of the store in any answer so far.
   *
   * @returns number of returns from an older copy; 0 before the first answer
   */
  get era(): number {
    return this.#era;
  }

  /**
   * Fetches the newest record of each key of a topic, page by page.
   *
   * @param topic - name of the topic
   * @returns the records; later pages may be newer than earlier ones
   */
  async fetchSnapshot(
    topic: Topic,
  ): Promise<Result<TopicSnapshot, StoreError>> {
    const records: KeyedRecord[] = [];
    let after: string | undefined;
    let endOffset: number | undefined;
    let era: number | undefined;
    for (let page = 0; page < MAX_PAGES; page++) {
      const response = await this.#send({
        method: "GET",
        path: "/log-newest",
        query: {
          topic,
          part: KEYED_PARTITION,
          ...after === undefined ? {} : { after },
        },
        timeoutMs: CALL_TIMEOUT_MS,
      });
      if (!response.ok) {
        return response;
      }
      era ??= response.value.era;
      if (response.value.era !== era) {
        return makeError({ kind: "era-changed", era: response.value.era });
      }
      const parsed = newestSchema.safeParse(parseJson(response.value.bytes));
      if (!parsed.success) {
        return makeError({ kind: "malformed", cause: parsed.error.message });
      }
      const { items, has_more: hasMore, end_offset: end } = parsed.data;
      // The lowest end offset makes the caller read from the log again what was
      // written between the pages.
      endOffset = Math.min(endOffset ?? end, end);
      for (const { key, value, offset } of items) {
        records.push({ key, offset, value: Buffer.from(value, "base64") });
      }
      after = items.at(-1)?.key;
      if (!hasMore || after === undefined) {
        return makeOk({ records, end: { era, offset: endOffset } });
      }
    }
    return makeError({
      kind: "malformed",
      cause: "snapshot exceeds the page limit",
    });
  }

  /**
   * Reads consecutive records of a topic.
   *
   * @param topic - name of the topic
   * @param options - first offset and wait time
   * @returns the records; none if no record arrived within the wait time
   */
  async readLog(
    topic: Topic,
    options: LogReadOptions,
  ): Promise<Result<LogPart, StoreError>> {
    const { era, offset } = options.from;
    const response = await this.#send({
      method: "GET",
      path: "/log-read",
      query: {
        topic,
        part: KEYED_PARTITION,
        from: String(offset),
        wait_ms: String(options.waitMs),
      },
      timeoutMs: CALL_TIMEOUT_MS + options.waitMs,
    });
    if (!response.ok) {
      return response;
    }
    if (response.value.era !== era) {
      return makeError({ kind: "era-changed", era: response.value.era });
    }
    const batch = decodeRecordBatch(response.value.bytes, offset);
    return batch === undefined
      ? makeError({ kind: "malformed", cause: "response is truncated" })
      : makeOk({
        records: batch.records,
        next: { era, offset: batch.nextOffset },
        end: { era, offset: batch.endOffset },
      });
  }

  /**
   * Appends a record, which becomes the newest of its key.
   *
   * @param topic - topic that the fleet may write to
   * @param key - key of the record; at most 255 bytes in UTF-8
   * @param value - value of the record
   * @returns undefined on success, or why the record may not be written
   */
  async appendRecord(
    topic: Topic,
    key: string,
    value: Buffer,
  ): Promise<Result<undefined, StoreError>> {
    return await this.appendRecords(topic, [{ key, value }]);
  }

  /**
   * Appends records in one call, all or none of them.
   *
   * @param topic - topic that the fleet may write to
   * @param records - keys and values; one without a value removes its key
   * @returns undefined on success, or why the records may not be written
   */
  async appendRecords(
    topic: Topic,
    records: readonly Pick<KeyedRecord, "key" | "value">[],
  ): Promise<Result<undefined, StoreError>> {
    const response = await this.#send({
      method: "POST",
      path: "/log-append",
      query: { topic, part: KEYED_PARTITION },
      body: Buffer.concat(
        records.map(({ key, value }) => encodeKeyedRecord(key, value)),
      ),
      timeoutMs: CALL_TIMEOUT_MS,
    });
    return response.ok ? makeOk(undefined) : response;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(call: StoreCall): Promise<Result<StoreResponse, StoreError>> {
    this.#callCount += 1;
    const agent = this.#agent;
    try {
      const query = new URLSearchParams(call.query).toString();
      const response = await agent.request({
        origin: this.#origin,
        method: call.method,
        path: `${call.path}?${query}`,
        body: call.body ?? null,
        signal: AbortSignal.timeout(call.timeoutMs),
      });
      const bytes = Buffer.from(await response.body.arrayBuffer());
      const era = parseEra(response.headers[WIRE_HEADER.storeEra]);
      return this.#checkEra(era, { status: response.statusCode, bytes });
    } catch (error) {
      this.#renewAgent(agent);
      return makeError(convertCallError(error));
    }
  }

  // An answer that was delayed since before the last return is of no use.
  #checkEra(
    era: number | undefined,
    response: Omit<StoreResponse, "era">,
  ): Result<StoreResponse, StoreError> {
    if (era === undefined) {
      return makeError({ kind: "malformed", cause: "era is not a number" });
    }
    this.#era = Math.max(this.#era, era);
    const checked = checkStatus({ ...response, era });
    return checked.ok && era < this.#era
      ? makeError({ kind: "era-changed", era: this.#era })
      : checked;
  }

  #renewAgent(failed: Agent): void {
    if (this.#agent === failed) {
      this.#agent = createAgent();
      // Calls still running on the old agent report their own errors.
      failed.destroy().catch(() => undefined);
    }
  }
}

function createAgent(): Agent {
  return new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function checkStatus(
  response: StoreResponse,
): Result<StoreResponse, StoreError> {
  const { status } = response;
  if (status === STATUS_OK) {
    return makeOk(response);
  }
  if (status === STATUS_GONE) {
    const parsed = expiredSchema.safeParse(parseJson(response.bytes));
    const firstOffset = parsed.success ? parsed.data.first_offset : 0;
    return makeError({ kind: "expired", firstOffset });
  }
  const cause = `status ${status}`;
  return makeError(
    NO_EFFECT_STATUSES.has(status)
      ? { kind: "not-done", cause }
      : { kind: "no-answer", cause },
  );
}

// A store that has never returned from a copy need not state an era.
function parseEra(value: string | string[] | undefined): number | undefined {
  if (value === undefined) {
    return 0;
  }
  return typeof value === "string" && ERA_PATTERN.test(value)
    ? Number(value)
    : undefined;
}

function convertCallError(error: unknown): StoreError {
  const cause = error instanceof Error ? error.message : String(error);
  const code = typeof error === "object" && error !== null && "code" in error
    ? String(error.code)
    : "";
  return {
    kind: NOT_SENT_CODES.has(code) ? "not-done" : "no-answer",
    cause: `${code} ${cause}`.trim(),
  };
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString("utf8")) as unknown;
  } catch {
    // The schema check reports undefined as malformed.
    return undefined;
  }
}
