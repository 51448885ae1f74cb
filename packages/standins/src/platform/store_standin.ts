/** The platform's store, small and in memory. */

import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";

const STATUS_OK = 200;
const STATUS_FORBIDDEN = 403;
const STATUS_NOT_FOUND = 404;
const STATUS_GONE = 410;
const STATUS_UNAVAILABLE = 503;
const LENGTH_BYTES = 4;
const PAGE_ITEMS = 500;
/** Topics that only operators and backend servers write to. */
const FOREIGN_TOPICS: ReadonlySet<string> = new Set([
  "keyed.op",
  "keyed.servers",
]);

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
}

interface StoredTopic {
  firstOffset: number;
  readonly records: StoredRecord[];
  readonly newest: Map<string, { value: Buffer; offset: number }>;
  readonly waiting: Set<() => void>;
}

/** How the stand-in misbehaves. */
export const STORE_FAULT = {
  none: "none",
  /** Answers 503. */
  busy: "busy",
  /** Breaks the connection. */
  reset: "reset",
  /** Never answers. */
  silent: "silent",
  /** Does what is asked and never answers. */
  answerLost: "answer-lost",
} as const;
/** How the stand-in misbehaves. */
export type StoreFault = typeof STORE_FAULT[keyof typeof STORE_FAULT];

/**
 * Speaks the platform's protocol as docs/platform_protocol.md tells it, as far
 * as this project uses it.
 */
export class StoreStandin {
  fault: StoreFault = STORE_FAULT.none;
  callCount = 0;
  readonly #topics = new Map<string, StoredTopic>();
  readonly #sockets = new Set<Socket>();
  readonly #server = http.createServer((request, response) => {
    void this.#handleCall(request, response);
  });
  #address: SocketAddress | undefined;

  /**
   * Where the store listens.
   *
   * @returns the current value
   */
  get address(): SocketAddress {
    if (this.#address === undefined) {
      throw new Error("the stand-in has not been started");
    }
    return this.#address;
  }

  /**
   * Starts to listen.
   *
   * @returns the address
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

  /** Stops listening and cuts all connections. */
  async stop(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    await closed;
  }

  /**
   * Writes a record as an operator or a backend server would.
   *
   * @param topic - the topic
   * @param key - the key
   * @param value - written as JSON; bytes as they are; undefined drops the key
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
      stored.newest.delete(key);
    } else {
      stored.newest.set(key, { value: bytes, offset });
    }
    for (const wake of stored.waiting) {
      wake();
    }
  }

  /**
   * Deletes the history of a topic; the newest record of each key stays.
   *
   * @param topic - the topic
   */
  dropHistory(topic: string): void {
    const stored = this.#getTopic(topic);
    stored.firstOffset += stored.records.length;
    stored.records.length = 0;
  }

  /** Deletes the history of all topics. */
  dropAllHistory(): void {
    for (const topic of this.#topics.keys()) {
      this.dropHistory(topic);
    }
  }

  /**
   * Lists the newest keys of a topic.
   *
   * @param topic - the topic
   * @returns the keys
   */
  listKeys(topic: string): readonly string[] {
    return [...this.#getTopic(topic).newest.keys()];
  }

  #getTopic(name: string): StoredTopic {
    const known = this.#topics.get(name);
    if (known !== undefined) {
      return known;
    }
    const created: StoredTopic = {
      firstOffset: 0,
      records: [],
      newest: new Map(),
      waiting: new Set(),
    };
    this.#topics.set(name, created);
    return created;
  }

  async #handleCall(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.callCount += 1;
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
    const url = new URL(request.url ?? "/", "http://store.invalid");
    await this.#serve(`${request.method ?? ""} ${url.pathname}`, {
      query: url.searchParams,
      body: Buffer.concat(chunks),
      response,
    });
  }

  async #serve(call: string, parts: CallParts): Promise<void> {
    const topic = parts.query.get("topic") ?? "";
    switch (call) {
      case "GET /log-newest":
        this.#sendNewest(this.#getTopic(topic), parts);
        return;
      case "GET /log-read":
        await this.#sendRecords(this.#getTopic(topic), parts);
        return;
      case "POST /log-append":
        this.#append(topic, parts);
        return;
      default:
        sendJson(parts.response, STATUS_NOT_FOUND, {});
    }
  }

  #append(topic: string, { body, response }: CallParts): void {
    if (FOREIGN_TOPICS.has(topic)) {
      sendJson(response, STATUS_FORBIDDEN, {});
      return;
    }
    const { firstOffset, records } = this.#getTopic(topic);
    const offset = firstOffset + records.length;
    let position = 0;
    while (position < body.length) {
      const length = body.readUInt32BE(position);
      const content = body.subarray(
        position + LENGTH_BYTES,
        position + LENGTH_BYTES + length,
      );
      const keyLength = content[0] ?? 0;
      const key = content.toString("utf8", 1, 1 + keyLength);
      this.put(topic, key, content.subarray(1 + keyLength));
      position += LENGTH_BYTES + length;
    }
    if (this.fault !== STORE_FAULT.answerLost) {
      const end = firstOffset + records.length;
      sendJson(response, STATUS_OK, { offset, end_offset: end });
    }
  }

  #sendNewest(stored: StoredTopic, { query, response }: CallParts): void {
    const after = query.get("after");
    const rows = [...stored.newest].sort(([a], [b]) => a < b ? -1 : 1)
      .filter(([key]) => after === null || key > after);
    sendJson(response, STATUS_OK, {
      items: rows.slice(0, PAGE_ITEMS).map(([key, { value, offset }]) => ({
        key,
        value: value.toString("base64"),
        offset,
      })),
      has_more: rows.length > PAGE_ITEMS,
      end_offset: stored.firstOffset + stored.records.length,
    });
  }

  async #sendRecords(stored: StoredTopic, parts: CallParts): Promise<void> {
    const { query, response } = parts;
    const from = Number(query.get("from"));
    if (from < stored.firstOffset) {
      sendJson(response, STATUS_GONE, { first_offset: stored.firstOffset });
      return;
    }
    const waitMs = Number(query.get("wait_ms") ?? 0);
    if (from >= stored.firstOffset + stored.records.length && waitMs > 0) {
      await waitForRecord(stored, waitMs);
    }
    const head = Buffer.alloc(16);
    const end = stored.firstOffset + stored.records.length;
    head.writeBigUInt64BE(BigInt(end), 0);
    head.writeBigUInt64BE(BigInt(stored.firstOffset), 8);
    const records = stored.records.slice(from - stored.firstOffset);
    const bytes = Buffer.concat([head, ...records.map(encodeRecord)]);
    response.writeHead(STATUS_OK, { "content-length": bytes.length });
    response.end(bytes);
  }
}

interface CallParts {
  readonly query: URLSearchParams;
  readonly body: Buffer;
  readonly response: http.ServerResponse;
}

function encodeRecord({ key, value }: StoredRecord): Buffer {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + keyBytes.length + value.length);
  head[LENGTH_BYTES] = keyBytes.length;
  return Buffer.concat([head, keyBytes, value]);
}

async function waitForRecord(
  stored: StoredTopic,
  waitMs: number,
): Promise<void> {
  await new Promise<void>((resolve) => {
    const wake = (): void => {
      clearTimeout(timer);
      stored.waiting.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    stored.waiting.add(wake);
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
