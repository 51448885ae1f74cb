/** The HTTP server that callers connect to. */

import type * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Duplex } from "node:stream";

import { type RequestId, toId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";
import { FORWARDED_HEADER } from "@limpetford/peer/call_protocol";

import {
  FORWARDED_RESULT,
  type ForwardingTerms,
  parseForwardingHeader,
} from "../dialect/forwarding_headers.ts";
import { NativeDialect } from "../dialect/native_dialect.ts";
import type { ServingDialect } from "../dialect/serving_dialect.ts";
import { BackendConnectionPool } from "../serving/backend_connection_pool.ts";
import { CallerExchange } from "../serving/caller_exchange.ts";
import type { MemoryBudget } from "../serving/memory_budget.ts";
import type { RequestExplanation } from "../serving/request_explanations.ts";
import { trackConnection } from "../serving/request_memory.ts";
import { RequestPipeline } from "../serving/request_pipeline.ts";
import type { ServingPorts } from "../serving/serving_ports.ts";
import { EXCEPTION_SOURCE } from "../telemetry/contained_exceptions.ts";
import { AcceptQueueMonitor } from "../vm/accept_queue_monitor.ts";
import { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import { connectQueueProbe } from "../vm/tcp_queue_probe.ts";
import {
  type CallerServerOptions,
  createHttpServer,
} from "./caller_server_limits.ts";
import { closeServer } from "./close_server.ts";
import { EarlyRefuser, type UnservedRequest } from "./early_refuser.ts";
import { InputLimiter, type ServerInputs } from "./input_limiter.ts";
import { OpenExchanges } from "./open_exchanges.ts";

const DEFAULT_LINGER_MS = 0;
/** Length of the accept queue, for many callers that connect at once. */
const ACCEPT_BACKLOG = 4_096;
const STATUS_BAD_REQUEST = 400;
const STATUS_UNAVAILABLE = 503;

/**
 * HTTP server for callers. Assigns request identifiers, passes requests to the
 * pipeline and stops without interrupting them.
 */
export class CallerServer {
  readonly #ports: ServingPorts;
  readonly #options: CallerServerOptions;
  readonly #server: http.Server;
  readonly #inputs: ServerInputs;
  readonly #connections: BackendConnectionPool;
  readonly #peerConnections: BackendConnectionPool;
  readonly #pipeline: RequestPipeline;
  readonly #dialect: ServingDialect;
  readonly #loop: EventLoopMonitor;
  readonly #acceptQueue: AcceptQueueMonitor;
  readonly #earlyRefuser: EarlyRefuser;
  readonly #exchanges = new OpenExchanges();
  readonly #requestIdPrefix: string;
  // Shared by all requests, to avoid allocating closures for each of them.
  readonly #readStopping = (): boolean => this.#isStopping;
  readonly #isFollowed = (exchange: CallerExchange): boolean =>
    this.#inputs.find(exchange.request.socket)?.hasWaiting === true ||
    this.#exchanges.isFollowed(exchange);
  #requestCount = 0;
  #isStopping = false;
  #isClosing = false;
  #drained: Promise<void> | undefined;

  /**
   * Prepares a server; it listens after {@link start}.
   *
   * @param ports - components that take part in serving requests
   * @param options - address, certificates and limits
   */
  constructor(ports: ServingPorts, options: CallerServerOptions) {
    this.#ports = ports;
    this.#options = options;
    this.#loop = ports.loop ?? new EventLoopMonitor(ports.clock);
    this.#acceptQueue = new AcceptQueueMonitor(
      ports.clock,
      this.#loop,
      () => connectQueueProbe(this.#server, ports.clock),
    );
    this.#connections = new BackendConnectionPool(ports.clock, {
      ...options.backend,
      exceptions: ports.exceptions,
    });
    this.#peerConnections = new BackendConnectionPool(
      ports.clock,
      options.peerAuthority === undefined
        ? {}
        : { authority: options.peerAuthority },
    );
    this.#dialect = ports.dialect ?? new NativeDialect(ports);
    this.#pipeline = new RequestPipeline(
      {
        ports,
        dialect: this.#dialect,
        loop: this.#loop,
        acceptQueue: this.#acceptQueue,
      },
      { backend: this.#connections, peer: this.#peerConnections },
      options,
    );
    this.#requestIdPrefix = options.requestIdPrefix ??
      Math.floor(ports.random.sampleUniform() * 0x1_0000_0000).toString(36);
    this.#server = createHttpServer(options);
    this.#inputs = (ports.inputs ?? new InputLimiter(ports.clock))
      .enforce(this.#server);
    this.#earlyRefuser = new EarlyRefuser({
      clock: ports.clock,
      random: ports.random,
      loop: this.#loop,
      acceptQueue: this.#acceptQueue,
      arrivals: this.#pipeline.arrivals,
      dialect: this.#dialect,
      decisions: ports.decisions,
      metrics: ports.metrics,
    });
    this.#addListeners(this.#server);
    ports.configuration.subscribe(() => {
      this.#retireConnections();
    });
  }

  /**
   * Number of requests that have not ended.
   *
   * @returns number of requests, those with unsettled claims included
   */
  get inFlight(): number {
    return this.#pipeline.inFlight;
  }

  /**
   * Memory that open requests and connections hold.
   *
   * @returns budget with its limit
   */
  get memory(): Readonly<Pick<MemoryBudget, "heldBytes" | "limitBytes">> {
    return this.#pipeline.memory;
  }

  /**
   * Whether the server is draining or stopped.
   *
   * @returns true after the first call of `drain` or `stop`
   */
  get isStopping(): boolean {
    return this.#isStopping;
  }

  /**
   * Number of connections to backend servers, idle ones included.
   *
   * @returns number of connections that are open or being opened
   */
  get backendConnectionCount(): number {
    return this.#connections.openCount;
  }

  /**
   * Starts to accept connections of callers.
   *
   * @returns bound address, with the port that was chosen for port 0
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
   * Stops without interrupting a request. Keeps accepting callers whose list of
   * VMs is outdated, closes each connection after its response, then stops
   * listening and waits for requests in flight.
   *
   * @param lingerMs - time during which callers with an outdated list are still
   * accepted, in milliseconds; default from the options
   */
  async drain(lingerMs?: number): Promise<void> {
    this.#drained ??= this.#drainOnce(
      lingerMs ?? this.#options.lingerMs ?? DEFAULT_LINGER_MS,
    );
    await this.#drained;
  }

  /**
   * Changes the timeouts for request headers and idle connections.
   *
   * @param timeouts - timeouts in milliseconds
   */
  setTimeouts(
    timeouts: {
      readonly headersTimeoutMs: number;
      readonly keepAliveTimeoutMs: number;
    },
  ): void {
    this.#server.headersTimeout = timeouts.headersTimeoutMs;
    this.#server.keepAliveTimeout = timeouts.keepAliveTimeoutMs;
    this.#server.timeout = timeouts.keepAliveTimeoutMs;
  }

  /**
   * Serves a request that another VM forwards, on a connection of its own.
   *
   * @param request - request of Node's HTTP server
   * @param response - response to it
   */
  acceptForwarded(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const forwarding = parseForwardingHeader(request.headers[FORWARDED_HEADER]);
    if (forwarding === undefined) {
      response.writeHead(STATUS_BAD_REQUEST, { connection: "close" }).end();
      return;
    }
    if (this.#isClosing) {
      // Nobody would wait for it: the VM that forwards it can ask another one.
      response.writeHead(STATUS_UNAVAILABLE, {
        [FORWARDED_HEADER]: FORWARDED_RESULT.notRun,
        connection: "close",
      }).end();
      return;
    }
    this.#accept(request, response, forwarding);
  }

  /**
   * Gives up connects that are under way; nothing has been sent on them.
   *
   * @param addresses - addresses of the servers
   */
  abortConnecting(addresses: readonly SocketAddress[]): void {
    this.#connections.abortConnecting(addresses);
  }

  /**
   * Closes idle connections, since a silent one can't be told from a sound one.
   *
   * @param addresses - addresses of the servers
   */
  closeIdle(addresses: readonly SocketAddress[]): void {
    this.#connections.closeIdle(addresses);
  }

  /** Gives each unclaimed request in flight its final answer. */
  abortRequests(): void {
    this.#pipeline.abort();
  }

  /** Stops immediately; requests in flight are aborted. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    this.#acceptQueue.close();
    const closed = closeServer(this.#server, this.#exchanges.bySocket);
    this.#server.closeAllConnections();
    await Promise.all([
      closed,
      this.#connections.close(),
      this.#peerConnections.close(),
    ]);
  }

  /**
   * Explains how a recent request was served.
   *
   * @param id - identifier of the request
   * @returns the explanation; undefined if its record is not kept
   */
  explain(id: string): RequestExplanation | undefined {
    return this.#pipeline.explanations.find(id);
  }

  async #drainOnce(lingerMs: number): Promise<void> {
    this.#isStopping = true;
    await new Promise((resolve) => setTimeout(resolve, lingerMs));
    this.#isClosing = true;
    const closed = closeServer(this.#server, this.#exchanges.bySocket);
    await this.#pipeline.waitIdle();
    await closed;
  }

  #addListeners(server: http.Server): void {
    server.on("connection", (socket: Socket) => {
      this.#runFor(socket, () => {
        if (this.#acceptQueue.observeAccept(socket)) {
          trackConnection(this.#pipeline.memory, socket);
        }
      });
    });
    server.on("request", (request, response) => {
      this.#accept(request, response);
    });
    server.on("checkExpectation", (request, response) => {
      this.#accept(request, response);
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      this.#runFor(socket, () => {
        const isBusy = this.#exchanges.findLast(socket) !== undefined;
        this.#dialect.refuseMalformed(error, socket, isBusy);
        this.#ports.metrics?.count("malformed_requests");
      });
    });
  }

  // What is thrown ends the connection, and nothing else.
  #runFor(socket: Duplex, step: () => void): void {
    try {
      step();
    } catch (error) {
      this.#ports.exceptions?.report(EXCEPTION_SOURCE.caller, error);
      socket.destroy();
    }
  }

  #accept(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    forwarding?: ForwardingTerms,
  ): void {
    this.#runFor(request.socket, () => {
      const before = this.#exchanges.findLast(request.socket);
      const hasEnded = request.socket.writableEnded ||
        this.#earlyRefuser.hasRefused(request.socket);
      if (hasEnded || before?.isLastOnConnection === true) {
        // It crosses the close of its connection, and could not be answered.
        request.resume();
        return;
      }
      const unserved = {
        id: this.#resolveRequestId(request),
        request,
        response,
      };
      const isFirst = before === undefined && forwarding === undefined;
      if (!isFirst || !this.#earlyRefuser.refuse(unserved)) {
        this.#open(unserved, forwarding);
      }
    });
  }

  #open(
    { id, request, response }: UnservedRequest,
    forwarding: ForwardingTerms | undefined,
  ): void {
    this.#loop.observeRead();
    const waitedMs = this.#inputs.find(request.socket)?.waitedMs ?? 0;
    const unread = this.#acceptQueue.estimateUnread(request.socket);
    const exchange = new CallerExchange(request, response, {
      id,
      receivedAtMs: this.#ports.clock.readMonotonicMs(),
      maxUnreadMs: this.#loop.maxUnreadMs,
      minUnreadMs: unread.minUnreadMs,
      likelyUnreadMs: Math.max(unread.likelyUnreadMs, waitedMs),
      forwarding,
      random: this.#ports.random,
      dialect: this.#dialect,
      isStopping: this.#readStopping,
      isFollowed: this.#isFollowed,
      releaseExchange: this.#exchanges.release,
    });
    this.#exchanges.track(exchange);
    if (this.#dialect.handleOwnRequest(exchange, this.#isStopping)) {
      return;
    }
    this.#pipeline.accept(exchange);
  }

  #resolveRequestId(request: http.IncomingMessage): RequestId {
    const given = this.#dialect.findRequestId(request);
    if (given !== undefined) {
      return given;
    }
    const number = (++this.#requestCount).toString(36);
    return toId<RequestId>(`${this.#requestIdPrefix}-${number}`);
  }

  #retireConnections(): void {
    const { servers = [] } = this.#ports.configuration.readConfiguration() ??
      {};
    this.#connections.retireExcept(servers.map(({ address }) => address));
  }
}
