/** The client of the platform's store. */

import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import { Agent } from "undici";
import * as z from "zod";

import {
  decodeLogPart,
  encodeKeyedRecord,
  type KeyedRecord,
  type LogPart,
} from "./log_records.ts";
import type { StoreError } from "./store_error.ts";
import type { Topic } from "./wire_names.ts";

const CALL_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 500;
const IDLE_TIMEOUT_MS = 20_000;
const KEYED_PARTITION = "0";
const STATUS_OK = 200;
const STATUS_GONE = 410;
/** Pages of one snapshot; ends a read of a topic that grows faster. */
const MAX_PAGES = 200;
/** Statuses that promise that nothing was done. */
const NOT_DONE_STATUSES: ReadonlySet<number> = new Set([403, 412, 429, 503]);
/** Codes of errors before a connection was made. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

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
  /** Reading goes on from here. */
  readonly endOffset: number;
}

/** Which records to read, and how long to wait for one. */
export interface LogReadOptions {
  readonly from: number;
  /** 0 answers at once. */
  readonly waitMs: number;
}

interface StoreCall {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly query: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  readonly timeoutMs: number;
}

interface StoreAnswer {
  readonly status: number;
  readonly bytes: Buffer;
}

/**
 * Calls the store. Every call has a timeout; one that gets no answer gives up
 * its connection, since the next answer on it would be lost as well.
 */
export class StoreClient {
  readonly #origin: string;
  #agent = createAgent();
  #callCount = 0;

  /**
   * Prepares a client; it connects on its first call.
   *
   * @param address - where the store listens
   */
  constructor(address: SocketAddress) {
    this.#origin = `http://${formatAddress(address)}`;
  }

  /**
   * Calls made so far.
   *
   * @returns the current value
   */
  get callCount(): number {
    return this.#callCount;
  }

  /**
   * Fetches the newest record of each key of a topic.
   *
   * @param topic - the topic
   * @returns the records; those of one page may be newer than those before
   */
  async fetchSnapshot(
    topic: Topic,
  ): Promise<Result<TopicSnapshot, StoreError>> {
    const records: KeyedRecord[] = [];
    let after: string | undefined;
    let endOffset: number | undefined;
    for (let page = 0; page < MAX_PAGES; page++) {
      const answer = await this.#send({
        method: "GET",
        path: "/log-newest",
        query: {
          topic,
          part: KEYED_PARTITION,
          ...after === undefined ? {} : { after },
        },
        timeoutMs: CALL_TIMEOUT_MS,
      });
      if (!answer.ok) {
        return answer;
      }
      const parsed = newestSchema.safeParse(parseJson(answer.value.bytes));
      if (!parsed.success) {
        return makeError({ kind: "malformed", cause: parsed.error.message });
      }
      const { items, has_more: hasMore, end_offset: end } = parsed.data;
      // Records written while the pages were read are read again from the log.
      endOffset = Math.min(endOffset ?? end, end);
      for (const { key, value, offset } of items) {
        records.push({ key, offset, value: Buffer.from(value, "base64") });
      }
      after = items.at(-1)?.key;
      if (!hasMore || after === undefined) {
        return makeOk({ records, endOffset });
      }
    }
    return makeError({ kind: "malformed", cause: "a snapshot without end" });
  }

  /**
   * Reads records of a topic.
   *
   * @param topic - the topic
   * @param options - where to begin and how long to wait
   * @returns the records; none if there was none within the wait
   */
  async readLog(
    topic: Topic,
    options: LogReadOptions,
  ): Promise<Result<LogPart, StoreError>> {
    const answer = await this.#send({
      method: "GET",
      path: "/log-read",
      query: {
        topic,
        part: KEYED_PARTITION,
        from: String(options.from),
        wait_ms: String(options.waitMs),
      },
      timeoutMs: CALL_TIMEOUT_MS + options.waitMs,
    });
    if (!answer.ok) {
      return answer;
    }
    const part = decodeLogPart(answer.value.bytes, options.from);
    return part === undefined
      ? makeError({ kind: "malformed", cause: "records are cut short" })
      : makeOk(part);
  }

  /**
   * Writes the newest record of a key.
   *
   * @param topic - a topic of this project
   * @param key - the key
   * @param value - the record
   * @returns nothing, or why it may not be there
   */
  async appendRecord(
    topic: Topic,
    key: string,
    value: Buffer,
  ): Promise<Result<undefined, StoreError>> {
    const answer = await this.#send({
      method: "POST",
      path: "/log-append",
      query: { topic, part: KEYED_PARTITION },
      body: encodeKeyedRecord(key, value),
      timeoutMs: CALL_TIMEOUT_MS,
    });
    return answer.ok ? makeOk(undefined) : answer;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(call: StoreCall): Promise<Result<StoreAnswer, StoreError>> {
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
      return checkStatus({ status: response.statusCode, bytes });
    } catch (error) {
      this.#renewAgent(agent);
      return makeError(turnCallError(error));
    }
  }

  #renewAgent(failed: Agent): void {
    if (this.#agent === failed) {
      this.#agent = createAgent();
      // The calls that are cut off with it report errors of their own.
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

function checkStatus(answer: StoreAnswer): Result<StoreAnswer, StoreError> {
  const { status } = answer;
  if (status === STATUS_OK) {
    return makeOk(answer);
  }
  if (status === STATUS_GONE) {
    const parsed = expiredSchema.safeParse(parseJson(answer.bytes));
    const firstOffset = parsed.success ? parsed.data.first_offset : 0;
    return makeError({ kind: "expired", firstOffset });
  }
  const cause = `status ${status}`;
  return makeError(
    NOT_DONE_STATUSES.has(status)
      ? { kind: "not-done", cause }
      : { kind: "no-answer", cause },
  );
}

function turnCallError(error: unknown): StoreError {
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
    // The schema reports it as malformed.
    return undefined;
  }
}
