/** HTTP endpoint of the platform stand-in's log service. */

import { setTimeout as wait } from "node:timers/promises";

import type { Clock } from "@limpetford/core/time/clock";
import type { LogFaults } from "@limpetford/platform/fakes/log_faults";
import type { MemoryLogStore } from "@limpetford/platform/fakes/memory_log_store";
import type { LogPage } from "@limpetford/platform/log_service";
import * as z from "zod";

import { JsonReply } from "./http_body.ts";

/** Store, injected faults and clock of the endpoint. */
export interface LogEndpointOptions {
  readonly store: MemoryLogStore;
  readonly faults: LogFaults;
  readonly clock: Clock;
}

/** An HTTP request to the log service. */
export interface LogRequest {
  readonly method: string;
  readonly url: URL;
  readonly body: string;
}

const PATH_PATTERN = /^\/streams\/([^/]+)\/records$/;
const DEFAULT_READ_LIMIT = 1_000;
const MAX_WAIT_MS = 60_000;
const MS_PER_S = 1_000;
const payloadsSchema = z.array(z.base64()).min(1);
const querySchema = z.object({
  from: z.coerce.number().int().nonnegative().default(0),
  limit: z.coerce.number().int().positive().default(DEFAULT_READ_LIMIT),
  "wait-ms": z.coerce.number().int().nonnegative().max(MAX_WAIT_MS)
    .default(0),
});
type ReadQuery = z.infer<typeof querySchema>;

/**
 * Serves appends and reads on `/streams/{name}/records`.
 */
export class LogEndpoint {
  readonly #store: MemoryLogStore;
  readonly #faults: LogFaults;
  readonly #clock: Clock;
  readonly #abortController = new AbortController();

  /**
   * Creates the endpoint.
   *
   * @param options - records to serve, faults to inject and time source
   */
  constructor(options: LogEndpointOptions) {
    this.#store = options.store;
    this.#faults = options.faults;
    this.#clock = options.clock;
  }

  /**
   * Handles one request.
   *
   * @param request - method, URL and body
   * @returns the response; undefined to close the connection without one
   */
  async handle(request: LogRequest): Promise<JsonReply | undefined> {
    const stream = PATH_PATTERN.exec(request.url.pathname)?.[1];
    if (stream === undefined) {
      return new JsonReply(404, { error: "no such path" });
    }
    if (this.#faults.isUnavailable) {
      return new JsonReply(503, { error: "away" });
    }
    const retryAfterMs = this.#faults.busyRetryAfterMs;
    if (retryAfterMs !== undefined) {
      const headers = { "retry-after": String(retryAfterMs / MS_PER_S) };
      return new JsonReply(429, { error: "busy" }, headers);
    }
    switch (request.method) {
      case "POST":
        return await this.#append(decodeURIComponent(stream), request.body);
      case "GET":
        return await this.#read(decodeURIComponent(stream), request.url);
      default:
        return new JsonReply(405, { error: "GET or POST" });
    }
  }

  /** Aborts delayed requests and ends waiting reads. */
  stop(): void {
    this.#abortController.abort();
  }

  async #wait(delayMs: number): Promise<void> {
    if (delayMs > 0) {
      await wait(delayMs, undefined, { signal: this.#abortController.signal });
    }
  }

  async #append(
    stream: string,
    body: string,
  ): Promise<JsonReply | undefined> {
    const payloads = payloadsSchema.safeParse(parseJson(body));
    if (!payloads.success) {
      return new JsonReply(400, { error: "expected base64 payloads" });
    }
    if (this.#faults.takeLostAppend()) {
      return undefined;
    }
    const isResponseLost = this.#faults.takeLostResponse();
    await this.#wait(this.#faults.delayBeforeEffectMs);
    const firstOffset = this.#store.append(
      stream,
      payloads.data.map((text) => Buffer.from(text, "base64")),
      this.#clock.readMonotonicMs(),
    );
    await this.#wait(this.#faults.delayAfterEffectMs);
    return isResponseLost ? undefined : new JsonReply(200, { firstOffset });
  }

  async #read(stream: string, url: URL): Promise<JsonReply> {
    const parsed = querySchema.safeParse(Object.fromEntries(url.searchParams));
    if (!parsed.success) {
      return new JsonReply(400, { error: "bad from, limit or wait-ms" });
    }
    const query = parsed.data;
    await this.#wait(this.#faults.readDelayMs);
    await this.#waitForRecords(stream, query);
    if (this.#faults.isUnavailable) {
      return new JsonReply(503, { error: "away" });
    }
    const page = this.#faults.applyToPage(this.#readStore(stream, query));
    if (query.from < page.oldestOffset) {
      return new JsonReply(410, { oldestOffset: page.oldestOffset });
    }
    const records = page.records.map((record) => ({
      offset: record.offset,
      payload: Buffer.from(record.payload).toString("base64"),
    }));
    return new JsonReply(200, { ...page, records });
  }

  #readStore(stream: string, query: ReadQuery): LogPage {
    return this.#store.read(stream, {
      fromOffset: query.from,
      limit: query.limit,
      nowMs: this.#clock.readMonotonicMs(),
    });
  }

  async #waitForRecords(stream: string, query: ReadQuery): Promise<void> {
    const deadlineMs = performance.now() + query["wait-ms"];
    while (this.#readStore(stream, query).records.length === 0) {
      const remainingMs = deadlineMs - performance.now();
      if (remainingMs <= 0 || this.#abortController.signal.aborted) {
        return;
      }
      await new Promise<void>((resolve) => {
        const finish = (): void => {
          clearTimeout(timer);
          unsubscribe();
          this.#abortController.signal.removeEventListener("abort", finish);
          resolve();
        };
        const timer = setTimeout(finish, remainingMs);
        const unsubscribe = this.#store.subscribeOnce(finish);
        this.#abortController.signal.addEventListener("abort", finish);
      });
    }
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
