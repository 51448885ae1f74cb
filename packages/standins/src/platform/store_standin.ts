/** In-memory stand-in of the platform's store of keyed log topics. */

import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";

const STATUS_OK = 200;
const STATUS_FORBIDDEN = 403;
const STATUS_NOT_FOUND = 404;
const STATUS_GONE = 410;
const STATUS_UNAVAILABLE = 503;
/** Size of the length prefix of a record on the wire. */
const LENGTH_PREFIX_BYTES = 4;
/** Largest number of records in one page of a snapshot. */
const ITEMS_PER_PAGE = 500;
/** Topics that VMs may only read; operators and backend servers write them. */
const READ_ONLY_TOPICS: ReadonlySet<string> = new Set([
  "keyed.op",
  "keyed.servers",
]);

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
}

interface StoredTopic {
  /** Offset of `records[0]`; earlier records have expired. */
  firstOffset: number;
  readonly records: StoredRecord[];
  /** Latest record of each key; survives the expiry of the history. */
  readonly latestByKey: Map<string, { value: Buffer; offset: number }>;
  /** Callbacks of pending long polls. */
  readonly waiters: Set<() => void>;
}

/** State of the store at some time, to return to. */
export type StoreCopy = ReadonlyMap<string, StoredTopic>;

/** Faults of the store. */
export const STORE_FAULT = {
  none: "none",
  /** Answers 503 without executing the request. */
  busy: "busy",
  /** Closes the connection without executing the request. */
  reset: "reset",
  /** Neither executes the request nor answers. */
  silent: "silent",
  /** Executes an append and never answers it; reads work. */
  answerLost: "answer-lost",
} as const;
/** One of the faults in `STORE_FAULT`. */
export type StoreFault = typeof STORE_FAULT[keyof typeof STORE_FAULT];

/**
 * Serves the subset of the platform's protocol that this project uses; the
 * protocol is described in docs/platform_protocol.md.
 */
export class StoreStandin {
  fault: StoreFault = STORE_FAULT.none;
  requestCount = 0;
  /** Number of returns from a copy so far, sent with each answer. */
  era = 0;
  /** Sent in place of the era, if set. */
  eraHeader: string | undefined;
  /** Chooses bytes to write in place of an answer; undefined to answer. */
  chooseRawAnswer: (() => Buffer | undefined) | undefined;
  /** Called after each request, with the number of requests so far. */
  answerListener: ((count: number) => void) | undefined;
  readonly #topics = new Map<string, StoredTopic>();
  readonly #sockets = new Set<Socket>();
  readonly #server = http.createServer((request, response) => {
    void this.#handleRequest(request, response);
  });
  #address: SocketAddress | undefined;

  /**
   * Address that the store listens on.
   *
   * @returns host and port
   * @throws Error before `start`
   */
  get address(): SocketAddress {
    if (this.#address === undefined) {
      throw new Error("the store stand-in has not been started");
    }
    return this.#address;
  }

  /**
   * Starts to listen on a free port of 127.0.0.1.
   *
   * @returns the bound address
   */
  async start(): Promise<SocketAddress> {
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    this.#address = { host: "127.0.0.1", port };
    return this.#address;
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    await closed;
  }

  /**
   * Appends a record to a topic, bypassing the write permissions of VMs.
   *
   * @param topic - topic, created if it does not exist
   * @param key - key of the record
   * @param value - a buffer is stored unchanged, other values as JSON, and
   *   undefined as a tombstone that deletes the key
   */
  put(topic: string, key: string, value: unknown): void {
    const bytes = value === undefined
      ? Buffer.alloc(0)
      : Buffer.isBuffer(value)
      ? value
      : Buffer.from(JSON.stringify(value));
    const stored = this.#getTopic(topic);
    const offset = stored.firstOffset + stored.records.length;
    stored.records.push({ key, value: bytes });
    if (bytes.length === 0) {
      stored.latestByKey.delete(key);
    } else {
      stored.latestByKey.set(key, { value: bytes, offset });
    }
    for (const wake of stored.waiters) {
      wake();
    }
  }

  /**
   * Expires all records of a topic's log; the latest value of each key stays in
   * snapshots.
   *
   * @param topic - topic to expire
   */
  dropHistory(topic: string): void {
    const stored = this.#getTopic(topic);
    stored.firstOffset += stored.records.length;
    stored.records.length = 0;
  }

  /** Expires the records of all topics' logs, as `dropHistory` does. */
  dropAllHistory(): void {
    for (const topic of this.#topics.keys()) {
      this.dropHistory(topic);
    }
  }

  /**
   * Lists the keys that have a value in a topic.
   *
   * @param topic - topic to list
   * @returns the keys, without deleted ones
   */
  listKeys(topic: string): readonly string[] {
    return [...this.#getTopic(topic).latestByKey.keys()];
  }

  /**
   * Copies all topics.
   *
   * @returns the copy, for `restore`
   */
  buildCopy(): StoreCopy {
    return new Map([...this.#topics].map(([name, topic]) => [
      name,
      {
        firstOffset: topic.firstOffset,
        records: [...topic.records],
        latestByKey: new Map(topic.latestByKey),
        waiters: new Set(),
      },
    ]));
  }

  /**
   * Returns from a copy: what was written since is lost, offsets are given out
   * again, and pending long polls end.
   *
   * @param copy - copy made by `buildCopy`
   */
  restore(copy: StoreCopy): void {
    this.era += 1;
    for (const [name, topic] of this.#topics) {
      const copied = copy.get(name);
      topic.firstOffset = copied?.firstOffset ?? 0;
      topic.records.splice(0, Infinity, ...copied?.records ?? []);
      topic.latestByKey.clear();
      for (const [key, latest] of copied?.latestByKey ?? []) {
        topic.latestByKey.set(key, latest);
      }
      for (const wake of topic.waiters) {
        wake();
      }
    }
  }

  #getTopic(name: string): StoredTopic {
    const existing = this.#topics.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const created: StoredTopic = {
      firstOffset: 0,
      records: [],
      latestByKey: new Map(),
      waiters: new Set(),
    };
    this.#topics.set(name, created);
    return created;
  }

  async #handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.requestCount += 1;
    response.setHeader("store-era", this.eraHeader ?? String(this.era));
    const count = this.requestCount;
    response.on("finish", () => this.answerListener?.(count));
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    switch (this.fault) {
      case "busy":
        sendJson(response, STATUS_UNAVAILABLE, { why: "busy" });
        return;
      case "reset":
        request.socket.destroy();
        return;
      case "silent":
        return;
      case "answer-lost":
      case "none":
        break;
    }
    const raw = this.chooseRawAnswer?.();
    if (raw !== undefined) {
      request.socket.end(raw);
      return;
    }
    const url = new URL(request.url ?? "/", "http://store.invalid");
    await this.#serve(`${request.method ?? ""} ${url.pathname}`, {
      query: url.searchParams,
      body: Buffer.concat(chunks),
      response,
    });
  }

  async #serve(endpoint: string, storeRequest: StoreRequest): Promise<void> {
    const topic = storeRequest.query.get("topic") ?? "";
    switch (endpoint) {
      case "GET /log-newest":
        this.#sendSnapshot(this.#getTopic(topic), storeRequest);
        return;
      case "GET /log-read":
        await this.#sendRecords(this.#getTopic(topic), storeRequest);
        return;
      case "POST /log-append":
        this.#append(topic, storeRequest);
        return;
      default:
        sendJson(storeRequest.response, STATUS_NOT_FOUND, {});
    }
  }

  #append(topic: string, { body, response }: StoreRequest): void {
    if (READ_ONLY_TOPICS.has(topic)) {
      sendJson(response, STATUS_FORBIDDEN, {});
      return;
    }
    const { firstOffset, records } = this.#getTopic(topic);
    const offset = firstOffset + records.length;
    let position = 0;
    while (position < body.length) {
      const length = body.readUInt32BE(position);
      const content = body.subarray(
        position + LENGTH_PREFIX_BYTES,
        position + LENGTH_PREFIX_BYTES + length,
      );
      const keyLength = content[0] ?? 0;
      const key = content.toString("utf8", 1, 1 + keyLength);
      this.put(topic, key, content.subarray(1 + keyLength));
      position += LENGTH_PREFIX_BYTES + length;
    }
    if (this.fault !== STORE_FAULT.answerLost) {
      const end = firstOffset + records.length;
      sendJson(response, STATUS_OK, { offset, end_offset: end });
    }
  }

  #sendSnapshot(stored: StoredTopic, { query, response }: StoreRequest): void {
    const after = query.get("after");
    const rows = [...stored.latestByKey].sort(([a], [b]) => a < b ? -1 : 1)
      .filter(([key]) => after === null || key > after);
    sendJson(response, STATUS_OK, {
      items: rows.slice(0, ITEMS_PER_PAGE).map(([key, { value, offset }]) => ({
        key,
        value: value.toString("base64"),
        offset,
      })),
      has_more: rows.length > ITEMS_PER_PAGE,
      end_offset: stored.firstOffset + stored.records.length,
    });
  }

  async #sendRecords(
    stored: StoredTopic,
    storeRequest: StoreRequest,
  ): Promise<void> {
    const { query, response } = storeRequest;
    const from = Number(query.get("from"));
    const lastOffset = stored.firstOffset + stored.records.length;
    if (from < stored.firstOffset || from > lastOffset) {
      sendJson(response, STATUS_GONE, { first_offset: stored.firstOffset });
      return;
    }
    const waitMs = Number(query.get("wait_ms") ?? 0);
    if (from >= stored.firstOffset + stored.records.length && waitMs > 0) {
      await waitForRecord(stored, waitMs);
      response.setHeader("store-era", String(this.era));
    }
    const header = Buffer.alloc(16);
    const end = stored.firstOffset + stored.records.length;
    header.writeBigUInt64BE(BigInt(end), 0);
    header.writeBigUInt64BE(BigInt(stored.firstOffset), 8);
    const records = stored.records.slice(from - stored.firstOffset);
    const bytes = Buffer.concat([header, ...records.map(encodeRecord)]);
    response.writeHead(STATUS_OK, { "content-length": bytes.length });
    response.end(bytes);
  }
}

interface StoreRequest {
  readonly query: URLSearchParams;
  readonly body: Buffer;
  readonly response: http.ServerResponse;
}

function encodeRecord({ key, value }: StoredRecord): Buffer {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(LENGTH_PREFIX_BYTES + 1);
  header.writeUInt32BE(1 + keyBytes.length + value.length);
  header[LENGTH_PREFIX_BYTES] = keyBytes.length;
  return Buffer.concat([header, keyBytes, value]);
}

async function waitForRecord(
  stored: StoredTopic,
  waitMs: number,
): Promise<void> {
  await new Promise<void>((resolve) => {
    const wake = (): void => {
      clearTimeout(timer);
      stored.waiters.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    stored.waiters.add(wake);
  });
}

function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
