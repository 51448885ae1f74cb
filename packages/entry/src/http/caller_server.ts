/** The HTTP server that callers connect to. */

import * as http from "node:http";
import * as https from "node:https";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";

import { type RequestId, toId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";

import { NativeDialect } from "../dialect/native_dialect.ts";
import type { ServingDialect } from "../dialect/serving_dialect.ts";
import { BackendConnections } from "../serving/backend_connections.ts";
import { CallerExchange } from "../serving/caller_exchange.ts";
import type { RequestExplanation } from "../serving/request_explanations.ts";
import { RequestPipeline } from "../serving/request_pipeline.ts";
import type { ServingPorts } from "../serving/serving_ports.ts";
import type { CallerTls } from "../vm/vm_settings.ts";
import type { CallerServerLimits } from "./caller_server_limits.ts";

const DEFAULT_HEADERS_TIMEOUT_MS = 10_000;
const DEFAULT_REQUEST_TIMEOUT_MS = 60_000;
const DEFAULT_KEEP_ALIVE_TIMEOUT_MS = 15_000;
const DEFAULT_MAX_CONNECTIONS = 10_000;
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_LINGER_MS = 0;
/** Connections that may wait to be accepted when many callers come at once. */
const ACCEPT_BACKLOG = 4_096;
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

/** Where and how callers are served. */
export interface CallerServerOptions extends CallerServerLimits {
  /** Port 0 takes any free port. */
  readonly address: SocketAddress;
  /** Plain text by default. */
  readonly tls?: CallerTls;
  /**
   * Certificates that sign what the other VMs show to callers; needed with
   * `tls` to pass requests on.
   */
  readonly peerAuthority?: Buffer;
  /** Prefix of request identifiers, unique in the fleet; random by default. */
  readonly requestIdPrefix?: string;
}

/**
 * Serves callers from start to planned stop.
 */
export class CallerServer {
  readonly #ports: ServingPorts;
  readonly #options: CallerServerOptions;
  readonly #server: http.Server;
  readonly #connections: BackendConnections;
  readonly #peerConnections: BackendConnections;
  readonly #pipeline: RequestPipeline;
  readonly #dialect: ServingDialect;
  readonly #busySockets = new Map<Duplex, number>();
  readonly #requestIdPrefix: string;
  // Shared by all requests, so that none needs functions of its own.
  readonly #readStopping = (): boolean => this.#isStopping;
  readonly #releaseSocket = (socket: Duplex): void => {
    const left = (this.#busySockets.get(socket) ?? 1) - 1;
    if (left === 0) {
      this.#busySockets.delete(socket);
    } else {
      this.#busySockets.set(socket, left);
    }
  };
  #requestCount = 0;
  #isStopping = false;
  #drained: Promise<void> | undefined;

  /**
   * Prepares a server.
   *
   * @param ports - the components that decide
   * @param options - where and how to serve
   */
  constructor(ports: ServingPorts, options: CallerServerOptions) {
    this.#ports = ports;
    this.#options = options;
    this.#connections = new BackendConnections(ports.clock, options.backend);
    this.#peerConnections = new BackendConnections(
      ports.clock,
      options.peerAuthority === undefined
        ? {}
        : { authority: options.peerAuthority },
    );
    this.#dialect = ports.dialect ?? new NativeDialect(ports);
    this.#pipeline = new RequestPipeline(
      { ports, dialect: this.#dialect },
      { backend: this.#connections, peer: this.#peerConnections },
      options,
    );
    this.#requestIdPrefix = options.requestIdPrefix ??
      Math.floor(ports.random.sampleUniform() * 0x1_0000_0000).toString(36);
    this.#server = this.#createServer();
    ports.configuration.subscribe(() => {
      this.#retireConnections();
    });
  }

  /**
   * Requests that have not ended.
   *
   * @returns the current value
   */
  get inFlight(): number {
    return this.#pipeline.inFlight;
  }

  /**
   * True once a planned stop has begun.
   *
   * @returns the current value
   */
  get isStopping(): boolean {
    return this.#isStopping;
  }

  /**
   * Connections to backend servers, idle ones included.
   *
   * @returns the current value
   */
  get backendConnectionCount(): number {
    return this.#connections.openCount;
  }

  /**
   * Starts to accept callers.
   *
   * @returns the address that callers connect to
   */
  async start(): Promise<SocketAddress> {
    const { host, port } = this.#options.address;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port, backlog: ACCEPT_BACKLOG }, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
    const address = this.#server.address() as AddressInfo;
    return { host: address.address, port: address.port };
  }

  /**
   * Stops without cutting a request: serves callers that hold an old list,
   * closes their connections after an answer, then waits for what is in flight.
   *
   * @param lingerMs - how long callers with an old list are served, in
   * milliseconds; default from the options
   */
  async drain(lingerMs?: number): Promise<void> {
    this.#drained ??= this.#drainOnce(
      lingerMs ?? this.#options.lingerMs ?? DEFAULT_LINGER_MS,
    );
    await this.#drained;
  }

  /**
   * Changes how long callers may take and how long they may stay idle.
   *
   * @param timeouts - milliseconds
   */
  setTimeouts(
    timeouts: {
      readonly headersTimeoutMs: number;
      readonly keepAliveTimeoutMs: number;
    },
  ): void {
    this.#server.headersTimeout = timeouts.headersTimeoutMs;
    this.#server.keepAliveTimeout = timeouts.keepAliveTimeoutMs;
  }

  /** Ends at once; what is in flight is cut. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    const closed = this.#closeListener();
    this.#server.closeAllConnections();
    await Promise.all([
      closed,
      this.#connections.close(),
      this.#peerConnections.close(),
    ]);
  }

  /**
   * Explains a recent request.
   *
   * @param id - its identifier
   * @returns what became of it, or undefined if it is not kept
   */
  explain(id: string): RequestExplanation | undefined {
    return this.#pipeline.explanations.find(id);
  }

  async #drainOnce(lingerMs: number): Promise<void> {
    this.#isStopping = true;
    await waitMs(lingerMs);
    const closed = this.#closeListener();
    await this.#pipeline.waitIdle();
    await closed;
  }

  #closeListener(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #createServer(): http.Server {
    const options = this.#options;
    const limits: http.ServerOptions = {
      maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
      headersTimeout: options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS,
      requestTimeout: options.requestTimeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS,
      keepAliveTimeout: options.keepAliveTimeoutMs ??
        DEFAULT_KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      noDelay: true,
      insecureHTTPParser: false,
      // Node's own answers carry no outcome; admission checks the host.
      requireHostHeader: false,
    };
    const server = options.tls === undefined
      ? http.createServer(limits)
      : https.createServer({
        ...limits,
        cert: options.tls.certificate,
        key: options.tls.privateKey,
      });
    server.maxConnections = options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    server.on("request", (request, response) => {
      this.#accept(request, response);
    });
    server.on("checkExpectation", (request, response) => {
      this.#accept(request, response);
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      const isBusy = this.#busySockets.has(socket);
      this.#dialect.refuseMalformed(error, socket, isBusy);
      this.#ports.metrics?.count("malformed_requests");
    });
    return server;
  }

  #accept(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const { socket } = request;
    this.#busySockets.set(socket, (this.#busySockets.get(socket) ?? 0) + 1);
    const exchange = new CallerExchange(request, response, {
      id: this.#chooseRequestId(request),
      receivedAtMs: this.#ports.clock.readMonotonicMs(),
      random: this.#ports.random,
      dialect: this.#dialect,
      isStopping: this.#readStopping,
      releaseSocket: this.#releaseSocket,
    });
    if (this.#dialect.handleOwnRequest(exchange, this.#isStopping)) {
      return;
    }
    void this.#pipeline.serve(exchange);
  }

  #chooseRequestId(request: http.IncomingMessage): RequestId {
    const given = this.#dialect.findRequestId(request);
    if (given !== undefined) {
      return given;
    }
    this.#requestCount += 1;
    const number = this.#requestCount.toString(36);
    return toId<RequestId>(`${this.#requestIdPrefix}-${number}`);
  }

  #retireConnections(): void {
    const servers = this.#ports.configuration.readConfiguration()?.servers;
    this.#connections.retireExcept(
      (servers ?? []).map((server) => server.address),
    );
  }
}

function waitMs(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
