/** HTTP client of the log service; see docs/platform_protocol.md. */

import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";
import { Agent, type Dispatcher } from "undici";
import * as z from "zod";

import { keepContiguousRecords } from "../log_page_check.ts";
import type {
  LogError,
  LogPage,
  LogRecord,
  ReadOptions,
} from "../log_service.ts";
import { LogService } from "../log_service.ts";
import type { CallError, JsonResponse } from "./json_call.ts";
import { sendJson } from "./json_call.ts";
import { bindOrigin } from "./origin_dispatcher.ts";

/** Timeouts and connection limit of {@link HttpLogService}. */
export interface HttpLogServiceOptions {
  /** Timeout of an append, in milliseconds; default 2,000. */
  readonly appendTimeoutMs?: number;
  /** Timeout of a read beyond its wait time, in milliseconds; default 2,000. */
  readonly readTimeoutMs?: number;
  /** Maximum number of connections to the service; default 8. */
  readonly connections?: number;
}

const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_CONNECTIONS = 8;
const DEFAULT_READ_LIMIT = 1_000;
const DEFAULT_BUSY_RETRY_AFTER_MS = 1_000;
const STATUS_OK = 200;
const STATUS_GONE = 410;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;
const FIRST_SERVER_ERROR = 500;

const offsetSchema = z.number().int().nonnegative();
const appendedSchema = z.object({ firstOffset: offsetSchema });
const expiredSchema = z.object({ oldestOffset: offsetSchema });
const pageSchema = z.object({
  records: z.array(z.object({ offset: offsetSchema, payload: z.base64() })),
  nextOffset: offsetSchema,
  oldestOffset: offsetSchema,
  endOffset: offsetSchema,
});

/**
 * Appends to and reads streams of the log service over HTTP.
 */
export class HttpLogService extends LogService {
  readonly #agent: Agent;
  readonly #dispatcher: Dispatcher;
  readonly #appendTimeoutMs: number;
  readonly #readTimeoutMs: number;

  /**
   * Creates a client; it connects on its first call.
   *
   * @param origin - base URL of the service, such as `http://127.0.0.9:8700`
   * @param options - timeouts and connection limit
   */
  constructor(origin: string, options: HttpLogServiceOptions = {}) {
    super();
    this.#appendTimeoutMs = options.appendTimeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#readTimeoutMs = options.readTimeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#agent = new Agent({
      connections: options.connections ?? DEFAULT_CONNECTIONS,
      connect: { timeout: this.#appendTimeoutMs },
    });
    this.#dispatcher = bindOrigin(this.#agent, origin);
  }

  override async append(
    stream: string,
    payloads: readonly Uint8Array[],
  ): Promise<Result<number, LogError>> {
    const sent = await sendJson(this.#dispatcher, {
      method: "POST",
      path: formatStreamPath(stream),
      body: payloads.map((payload) => Buffer.from(payload).toString("base64")),
      timeoutMs: this.#appendTimeoutMs,
    });
    return sent.ok
      ? convertAppendResponse(sent.value)
      : makeError(convertAppendError(sent.error));
  }

  override async read(
    stream: string,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    const query = new URLSearchParams({
      from: String(options.fromOffset),
      limit: String(options.limit ?? DEFAULT_READ_LIMIT),
      "wait-ms": String(options.waitMs ?? 0),
    });
    const sent = await sendJson(this.#dispatcher, {
      method: "GET",
      path: `${formatStreamPath(stream)}?${query.toString()}`,
      timeoutMs: this.#readTimeoutMs + (options.waitMs ?? 0),
    });
    return sent.ok
      ? convertReadResponse(sent.value, options.fromOffset)
      : makeError({ kind: "log-away", cause: sent.error.cause });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function formatStreamPath(stream: string): string {
  return `/streams/${encodeURIComponent(stream)}/records`;
}

function convertAppendError(error: CallError): LogError {
  return error.kind === "not-sent"
    ? { kind: "log-away", cause: error.cause }
    : { kind: "append-outcome-unknown", cause: error.cause };
}

function convertAppendResponse(
  response: JsonResponse,
): Result<number, LogError> {
  const appended = appendedSchema.safeParse(response.body);
  if (response.status === STATUS_OK && appended.success) {
    return makeOk(appended.data.firstOffset);
  }
  const refusal = convertErrorStatus(response);
  if (refusal !== undefined) {
    return makeError(refusal);
  }
  const cause = `unexpected response with status ${response.status}`;
  const mayHaveEffect = response.status < 400 ||
    response.status >= FIRST_SERVER_ERROR;
  return makeError({
    kind: mayHaveEffect ? "append-outcome-unknown" : "log-away",
    cause,
  });
}

function convertReadResponse(
  response: JsonResponse,
  fromOffset: number,
): Result<LogPage, LogError> {
  const expired = expiredSchema.safeParse(response.body);
  if (response.status === STATUS_GONE && expired.success) {
    const { oldestOffset } = expired.data;
    return makeError({ kind: "records-expired", oldestOffset });
  }
  const page = pageSchema.safeParse(response.body);
  if (response.status !== STATUS_OK || !page.success) {
    const cause = `unexpected response with status ${response.status}`;
    return makeError(
      convertErrorStatus(response) ?? { kind: "log-away", cause },
    );
  }
  const records: readonly LogRecord[] = page.data.records.map((record) => ({
    offset: record.offset,
    payload: Uint8Array.from(Buffer.from(record.payload, "base64")),
  }));
  const checked = keepContiguousRecords(fromOffset, records);
  if (checked.records.length === 0 && checked.missingOffset !== undefined) {
    return makeError({
      kind: "log-away",
      cause: "first record missing from the response",
    });
  }
  return makeOk({
    ...page.data,
    records: checked.records,
    nextOffset: fromOffset + checked.records.length,
  });
}

function convertErrorStatus(response: JsonResponse): LogError | undefined {
  switch (response.status) {
    case STATUS_TOO_MANY_REQUESTS:
      return {
        kind: "log-busy",
        retryAfterMs: response.retryAfterMs ?? DEFAULT_BUSY_RETRY_AFTER_MS,
      };
    case STATUS_UNAVAILABLE:
      return { kind: "log-away", cause: "log service unavailable" };
    default:
      return undefined;
  }
}
