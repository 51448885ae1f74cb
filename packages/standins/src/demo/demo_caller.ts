/** HTTP client that the demo uses to call entry VMs. */

import type { SocketAddress } from "@limpetford/domain/vm";
import { formatAddress } from "@limpetford/domain/vm";
import { Client } from "undici";

/** A request that a caller sends. */
export interface DemoRequest {
  readonly method?: "GET" | "POST";
  readonly path: string;
  /** Caller key, sent as a bearer token; none if undefined. */
  readonly key?: string;
  readonly idempotencyKey?: string;
  readonly body?: string;
}

/** A complete response, or the reason why none arrived. */
export type DemoResponse =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly body: string;
    /** Value of the header `Limpetford-Outcome`; empty if absent. */
    readonly outcome: string;
    /** True if the response was stored for an earlier request. */
    readonly isReplayed: boolean;
    /** Value of the header `Retry-After`; empty if absent. */
    readonly retryAfter: string;
    /** Value of the header `Limpetford-Request-Id`; empty if absent. */
    readonly requestId: string;
  }
  | { readonly kind: "broken"; readonly cause: string };

const REQUEST_TIMEOUT_MS = 20_000;

/**
 * A client with one keep-alive connection to one VM.
 */
export class DemoCaller {
  readonly #client: Client;
  /** Number of connections opened so far. */
  connectionCount = 0;

  /**
   * Creates a caller, which connects on its first request.
   *
   * @param address - where the VM accepts callers
   */
  constructor(address: SocketAddress) {
    this.#client = new Client(`http://${formatAddress(address)}`, {
      pipelining: 1,
      keepAliveTimeout: 60_000,
    });
    this.#client.on("connect", () => {
      this.connectionCount += 1;
    });
  }

  /**
   * Sends a request and reads the complete response.
   *
   * @param request - request to send
   * @returns the response, or kind `broken` if the connection failed or the
   * response was incomplete or too late
   */
  async send(request: DemoRequest): Promise<DemoResponse> {
    try {
      const response = await this.#client.request({
        method: request.method ?? "GET",
        path: request.path,
        headers: buildHeaders(request),
        body: request.body ?? null,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const { headers } = response;
      return {
        kind: "answer",
        status: response.statusCode,
        body: await response.body.text(),
        outcome: String(headers["limpetford-outcome"] ?? ""),
        isReplayed: headers["limpetford-replayed"] === "true",
        retryAfter: String(headers["retry-after"] ?? ""),
        requestId: String(headers["limpetford-request-id"] ?? ""),
      };
    } catch (error) {
      const cause = error instanceof Error ? error.message : String(error);
      return { kind: "broken", cause };
    }
  }

  /** Closes the connection and aborts a request in flight. */
  async close(): Promise<void> {
    await this.#client.destroy();
  }
}

/**
 * Sends one request over a new connection.
 *
 * @param address - where the VM accepts callers
 * @param request - request to send
 * @returns the response, or kind `broken` with the cause
 */
export async function sendOnce(
  address: SocketAddress,
  request: DemoRequest,
): Promise<DemoResponse> {
  const caller = new DemoCaller(address);
  const response = await caller.send(request);
  await caller.close();
  return response;
}

/**
 * Formats a response for output on one line.
 *
 * @param response - response or failure to format
 * @returns status, outcome and `replayed`; for a failure, its cause
 */
export function formatResponse(response: DemoResponse): string {
  if (response.kind === "broken") {
    return `broken (${response.cause})`;
  }
  const outcome = response.outcome === "" ? "" : ` ${response.outcome}`;
  return `${response.status}${outcome}${
    response.isReplayed ? " replayed" : ""
  }`;
}

function buildHeaders(request: DemoRequest): Record<string, string> {
  const headers: Record<string, string> = {};
  if (request.key !== undefined) {
    headers["authorization"] = `Bearer ${request.key}`;
  }
  if (request.idempotencyKey !== undefined) {
    headers["idempotency-key"] = request.idempotencyKey;
  }
  if (request.body !== undefined) {
    headers["content-type"] = "application/json";
  }
  return headers;
}
