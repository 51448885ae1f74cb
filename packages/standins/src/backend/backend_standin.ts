/** Backend server stand-in that fails on demand. */

import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";
import { generateLoopbackHost } from "@limpetford/peer/fakes/loopback_host";

import type { BackendBehavior, ReceivedRequest } from "./backend_behavior.ts";
import { writeBehavior } from "./behavior_writer.ts";

const HEALTHY_STATUS = 200;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Addresses of a stand-in. */
export interface BackendStandinOptions {
  /** Default a host of its own, where nobody takes the port while it is down. */
  readonly host?: string;
  /** Default 0, any free port. */
  readonly port?: number;
  /** Path of the health endpoint; default `/health`. */
  readonly healthPath?: string;
}

/**
 * Backend server that records received requests and handles each by the next
 * scripted behavior, or by a default one once the script is used up.
 */
export class BackendStandin {
  readonly received: ReceivedRequest[] = [];
  /** Number of executions by idempotency key. */
  readonly runsByKey = new Map<string, number>();
  /** Number of requests whose connection closed before the response was sent. */
  cancelledCount = 0;
  /** Number of executions, of requests with or without a key. */
  runCount = 0;
  /** Number of connections accepted so far. */
  connectionCount = 0;
  /** Status of the health endpoint, independent of how requests are handled. */
  healthStatus = HEALTHY_STATUS;
  readonly #options: BackendStandinOptions;
  readonly #host: string;
  readonly #sockets = new Set<Socket>();
  readonly #script: BackendBehavior[] = [];
  #server: http.Server;
  #behavior: BackendBehavior = { kind: "answer" };
  #address: SocketAddress | undefined;

  /**
   * Creates a stand-in that does not listen yet.
   *
   * @param options - listen address and health path
   */
  constructor(options: BackendStandinOptions = {}) {
    this.#options = options;
    this.#host = options.host ?? generateLoopbackHost();
    this.#server = this.#createServer();
  }

  /**
   * Address that the stand-in listens on.
   *
   * @returns host and port; unchanged by a crash
   * @throws Error before `start`
   */
  get address(): SocketAddress {
    if (this.#address === undefined) {
      throw new Error("the backend server stand-in has not been started");
    }
    return this.#address;
  }

  /**
   * Bytes written to the connections that are open now.
   *
   * @returns their sum
   */
  get sentBytes(): number {
    let sum = 0;
    for (const socket of this.#sockets) {
      sum += socket.bytesWritten;
    }
    return sum;
  }

  /**
   * Starts to listen; after a crash or stop, on the same port.
   *
   * @returns the bound address
   */
  async start(): Promise<SocketAddress> {
    const port = this.#address?.port ?? this.#options.port ?? 0;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host: this.#host, port }, resolve);
    });
    const { port: boundPort } = this.#server.address() as AddressInfo;
    this.#address = { host: this.#host, port: boundPort };
    return this.#address;
  }

  /** Stops listening and closes all connections; it may be started again. */
  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
    this.#sockets.forEach((socket) => {
      socket.destroy();
    });
    await closed;
    this.#server = this.#createServer();
  }

  /**
   * Sets the behavior for requests once the script is used up.
   *
   * @param behavior - default behavior
   */
  setBehavior(behavior: BackendBehavior): void {
    this.#behavior = behavior;
  }

  /**
   * Appends behaviors to the script, each for one request.
   *
   * @param behaviors - behaviors in the order of the requests
   */
  addScript(...behaviors: readonly BackendBehavior[]): void {
    this.#script.push(...behaviors);
  }

  #createServer(): http.Server {
    const server = http.createServer((request, response) => {
      this.#handle(request, response);
    });
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    server.on("connection", (socket: Socket) => {
      this.connectionCount += 1;
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => undefined);
    });
    return server;
  }

  #handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (request.url === (this.#options.healthPath ?? "/health")) {
      response.writeHead(this.healthStatus, { "content-length": "0" });
      response.end();
      return;
    }
    response.on("close", () => {
      if (!response.writableFinished) {
        this.cancelledCount += 1;
      }
    });
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("error", () => undefined);
    request.on("end", () => {
      this.#run(request, response, Buffer.concat(chunks));
    });
  }

  #run(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: Buffer,
  ): void {
    const behavior = this.#script.shift() ?? this.#behavior;
    this.received.push({
      method: request.method ?? "",
      target: request.url ?? "",
      rawHeaders: request.rawHeaders,
      headers: request.headers,
      trailers: request.trailers,
      body,
    });
    if (behavior.kind !== "shed") {
      this.#countRun(request);
    }
    if (behavior.kind === "crash") {
      void this.stop();
      return;
    }
    writeBehavior(behavior, request, response);
  }

  #countRun(request: http.IncomingMessage): void {
    this.runCount += 1;
    const key = request.headers["idempotency-key"];
    if (typeof key === "string") {
      this.runsByKey.set(key, (this.runsByKey.get(key) ?? 0) + 1);
    }
  }
}
