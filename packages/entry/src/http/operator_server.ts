/** HTTP server for the operators' tools. */

import * as http from "node:http";
import type { AddressInfo } from "node:net";

import { type KeyHash, toId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";
import * as z from "zod";

import type { InputLimiter } from "./input_limiter.ts";
import type { OperatorSource } from "./operator_source.ts";

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const WITHDRAWALS_PATH = "/.limpetford/withdrawals";
const QUARANTINE_PATH = "/.limpetford/quarantine";
const MAX_BODY_BYTES = 65_536;
const REQUEST_TIMEOUT_MS = 5_000;
const IDLE_TIMEOUT_MS = 30_000;
const MAX_CONNECTIONS = 64;

const withdrawalSchema = z.strictObject({
  keys: z.array(z.string().regex(/^[0-9a-f]{64}$/)),
});

/**
 * Serves `status`, `services?name=` and `explain?id=` under `/.limpetford/` as
 * JSON, accepts withdrawals of API keys and releases quarantined requests. It
 * listens on an address that callers cannot reach.
 */
export class OperatorServer {
  readonly #source: OperatorSource;
  readonly #address: SocketAddress;
  readonly #server: http.Server;

  /**
   * Prepares a server; it listens after {@link start}.
   *
   * @param source - provides the documents and executes the commands
   * @param options - address to listen on, where port 0 takes any free port; bounds
   * what clients send
   */
  constructor(
    source: OperatorSource,
    { address, inputs }: {
      readonly address: SocketAddress;
      readonly inputs: InputLimiter;
    },
  ) {
    this.#source = source;
    this.#address = address;
    this.#server = http.createServer({
      requestTimeout: REQUEST_TIMEOUT_MS,
    }, (request, response) => {
      this.#handle(request, response);
    });
    this.#server.maxConnections = MAX_CONNECTIONS;
    this.#server.timeout = IDLE_TIMEOUT_MS;
    inputs.enforce(this.#server);
  }

  /**
   * Starts to accept connections.
   *
   * @returns bound address, with the port that was chosen for port 0
   */
  async start(): Promise<SocketAddress> {
    const { host, port } = this.#address;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port }, resolve);
    });
    const bound = this.#server.address() as AddressInfo;
    return { host: bound.address, port: bound.port };
  }

  /** Stops listening and closes all connections. */
  async stop(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
      this.#server.closeAllConnections();
    });
  }

  #handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    const url = parseTarget(request.url);
    if (url === undefined) {
      sendNotFound(response);
      return;
    }
    if (request.method === "POST" && url.pathname === WITHDRAWALS_PATH) {
      this.#withdrawKeys(request, response);
      return;
    }
    request.resume();
    if (request.method === "DELETE" && url.pathname === QUARANTINE_PATH) {
      const fingerprint = url.searchParams.get("fingerprint") ?? "";
      const isReleased = this.#source.withdrawQuarantine(fingerprint);
      sendFound(response, isReleased ? { released: fingerprint } : undefined);
      return;
    }
    if (request.method !== "GET") {
      sendNotFound(response);
      return;
    }
    switch (url.pathname) {
      case "/.limpetford/status":
        sendJson(response, STATUS_OK, this.#source.describeStatus());
        return;
      case "/.limpetford/services":
        sendFound(
          response,
          this.#source.describeService(url.searchParams.get("name") ?? ""),
        );
        return;
      case "/.limpetford/explain":
        sendFound(
          response,
          this.#source.explain(url.searchParams.get("id") ?? ""),
        );
        return;
      case QUARANTINE_PATH:
        sendJson(response, STATUS_OK, {
          quarantined: this.#source.listQuarantined(),
        });
        return;
      default:
        sendNotFound(response);
    }
  }

  #withdrawKeys(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    request.on("data", (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes <= MAX_BODY_BYTES) {
        chunks.push(chunk);
      }
    });
    request.on("error", () => undefined);
    request.on("end", () => {
      const keys = receivedBytes <= MAX_BODY_BYTES
        ? parseWithdrawal(Buffer.concat(chunks).toString())
        : undefined;
      if (keys === undefined) {
        sendJson(response, STATUS_BAD_REQUEST, { error: "malformed" });
        return;
      }
      this.#source.withdrawKeys(keys);
      sendJson(response, STATUS_OK, { withdrawn: keys.length });
    });
  }
}

function parseWithdrawal(text: string): readonly KeyHash[] | undefined {
  try {
    const parsed = withdrawalSchema.safeParse(JSON.parse(text));
    return parsed.success
      ? parsed.data.keys.map((key) => toId<KeyHash>(key))
      : undefined;
  } catch {
    return undefined;
  }
}

function sendFound(response: http.ServerResponse, document: unknown): void {
  if (document === undefined) {
    sendNotFound(response);
  } else {
    sendJson(response, STATUS_OK, document);
  }
}

function sendNotFound(response: http.ServerResponse): void {
  sendJson(response, STATUS_NOT_FOUND, { error: "not-found" });
}

function parseTarget(target: string | undefined): URL | undefined {
  const text = target ?? "";
  return text.startsWith("/") && URL.canParse(text, "http://operator.invalid")
    ? new URL(text, "http://operator.invalid")
    : undefined;
}

function sendJson(
  response: http.ServerResponse,
  status: number,
  document: unknown,
): void {
  const body = JSON.stringify(document);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    "cache-control": "no-store",
  });
  response.end(body);
}
