/** Pool of connections to backend servers, each with one request at a time. */

import type { Socket } from "node:net";

import type { Clock } from "@limpetford/core/time/clock";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import { buildConnector, Client, type Dispatcher } from "undici";

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
const DEFAULT_MAX_HEADER_BYTES = 32_768;
/** Earlier requests of a connection of which a copy of the response is expected. */
const MAX_ANSWERED_IDS = 8;
/** A response that is read and left, and the one behind it. */
const RECEIVED_AT_ONCE = 2;
/** Message of undici's error for a response to no request. */
const UNSOLICITED_RESPONSE_MESSAGE = "bad response";
/** Prefix of the error codes of undici's HTTP parser. */
const PARSER_CODE_PREFIX = "HPE_";
/** Code of undici's error for a connection that was idle for too long. */
const IDLE_TIMEOUT_CODE = "UND_ERR_INFO";
/** Prefix of the error codes of undici itself. */
const CLIENT_CODE_PREFIX = "UND_ERR_";
/**
 * Time for which connections to a server are not reused after the server has
 * sent bytes that belong to no request.
 */
const NO_REUSE_MS = 600_000;

/** Limits of connections to backend servers. */
export interface BackendConnectionOptions {
  /** Connect timeout, in milliseconds; default 1,000. */
  readonly connectTimeoutMs?: number;
  /** Time after which an idle connection is closed; default 4,000. */
  readonly idleTimeoutMs?: number;
  /** Maximum size of a response's headers, in bytes; default 32,768. */
  readonly maxHeaderBytes?: number;
  /** PEM certificates of the CA that signs servers; plain text by default. */
  readonly authority?: Buffer;
  /** Called with the address of a server that has ended an idle connection. */
  readonly handleIdleLost?: (address: string) => void;
}

/**
 * One connection of the pool. It is destroyed after a request that did not end
 * with a complete response.
 */
export class BackendConnection {
  readonly address: string;
  readonly client: Client;
  /** Undefined until the connection has been established. */
  socket: Socket | undefined;
  /** Called when bytes have arrived that are not parsed yet. */
  dataListener: (() => void) | undefined;
  /** Number of requests that this connection has completed. */
  servedCount = 0;
  /** Identifiers of the last of these requests, the oldest first. */
  answeredIds: readonly string[] = [];
  /** True if the connection sends no further request. */
  #isReceivingOnly = false;
  /** Monotonic time of the last release, in milliseconds. */
  idleSinceMs = 0;
  readonly #release: (connection: BackendConnection) => void;

  /**
   * Prepares a connection, which is opened by its first request.
   *
   * @param address - address of the server
   * @param client - HTTP client that owns the socket
   * @param release - returns the connection to its pool
   */
  constructor(
    address: string,
    client: Client,
    release: (connection: BackendConnection) => void,
  ) {
    this.address = address;
    this.client = client;
    this.#release = release;
  }

  /**
   * Bytes received over this connection, whatever they belong to.
   *
   * @returns number of bytes; 0 until it has been established
   */
  get bytesRead(): number {
    return this.socket?.bytesRead ?? 0;
  }

  /**
   * Returns the connection to its pool after a complete response.
   *
   * @param id - identifier of the request that was answered
   * @param nowMs - monotonic time, in milliseconds
   */
  release(id: string, nowMs: number): void {
    this.servedCount += 1;
    this.answeredIds = [...this.answeredIds, id].slice(-MAX_ANSWERED_IDS);
    this.idleSinceMs = nowMs;
    this.#release(this);
  }

  /**
   * Checks whether the server sent bytes that belong to no request.
   *
   * @returns true if the HTTP client closed the connection for this reason
   */
  hasUnsolicitedBytes(): boolean {
    const error: NodeJS.ErrnoException | null = this.socket?.errored ?? null;
    return error !== null && (error.message === UNSOLICITED_RESPONSE_MESSAGE ||
      error.code?.startsWith(PARSER_CODE_PREFIX) === true);
  }

  /**
   * Checks whether the connection was reset. The HTTP client reports a response
   * without an explicit length as complete even if its connection was reset.
   *
   * @returns true if the connection was not closed in an orderly way
   */
  hasBeenReset(): boolean {
    const error: NodeJS.ErrnoException | null = this.socket?.errored ?? null;
    // The HTTP client also destroys finished connections, with an error of its
    // own.
    return error !== null &&
      error.code?.startsWith(CLIENT_CODE_PREFIX) !== true;
  }

  /**
   * Checks whether the connection still has a peer. After data and a reset that
   * are read together, the event loop reports an orderly end. A connection that
   * the server closed in an orderly way keeps its peer until this side closes it.
   *
   * @returns false if the connection was reset; only meaningful at its end
   */
  hasPeer(): boolean {
    return this.socket?.remoteAddress !== undefined;
  }

  /**
   * Whether the connection only receives, since `receiveNext` was called.
   *
   * @returns true if it sends no further request
   */
  get isReceivingOnly(): boolean {
    return this.#isReceivingOnly;
  }

  /**
   * Receives one more response behind the one that is being received, also if both
   * came in one packet. The connection sends no request afterwards.
   *
   * @param handler - receives the response; its `onRequestStart` must call
   * `dropWrites`
   * @returns false if the connection is closed
   */
  receiveNext(handler: Dispatcher.DispatchHandler): boolean {
    if (this.socket === undefined || this.socket.destroyed) {
      return false;
    }
    this.#isReceivingOnly = true;
    // The HTTP client has no call that only receives: it takes a response only if
    // a request waits for it.
    this.client.pipelining = RECEIVED_AT_ONCE;
    try {
      this.client.dispatch(
        { method: "GET", path: "/", idempotent: true, blocking: false },
        handler,
      );
      return true;
    } catch {
      return false;
    }
  }

  /** Drops whatever is written to the socket from now on. */
  dropWrites(): void {
    if (this.socket !== undefined) {
      this.socket.write = (): boolean => true;
    }
  }

  /** Destroys the socket and aborts the request that uses it. */
  abort(): void {
    this.client.destroy().catch(() => undefined);
  }
}

/**
 * Pool of one VM's connections to all backend servers.
 */
export class BackendConnectionPool {
  readonly #options: BackendConnectionOptions;
  readonly #idle = new Map<string, BackendConnection[]>();
  readonly #open = new Map<Client, BackendConnection>();
  readonly #noReuseUntilMs = new Map<string, number>();
  readonly #clock: Clock;
  #isClosed = false;

  /**
   * Prepares an empty pool.
   *
   * @param clock - measures idle times
   * @param options - timeouts, size limit and CA certificates
   */
  constructor(clock: Clock, options: BackendConnectionOptions = {}) {
    this.#clock = clock;
    this.#options = options;
  }

  /**
   * Number of connections that are open or being opened, idle ones included.
   *
   * @returns number of connections
   */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Takes the idle connection that was used last, or prepares a new one.
   *
   * @param target - address of the server
   * @param maxIdleMs - maximum idle time of a reused connection, in
   * milliseconds
   * @returns connection that no other request uses
   */
  acquire(target: SocketAddress, maxIdleMs = Infinity): BackendConnection {
    const address = formatAddress(target);
    const idle = this.#idle.get(address);
    const last = idle?.at(-1);
    if (
      last === undefined ||
      this.#clock.readMonotonicMs() - last.idleSinceMs > maxIdleMs
    ) {
      return this.#createConnection(address);
    }
    idle?.pop();
    return last;
  }

  /**
   * Prepares a new connection.
   *
   * @param target - address of the server
   * @returns connection that no request has used
   */
  open(target: SocketAddress): BackendConnection {
    return this.#createConnection(formatAddress(target));
  }

  /**
   * Closes the idle connections to servers that are no longer configured.
   *
   * @param addresses - addresses of the configured servers
   */
  retireExcept(addresses: readonly SocketAddress[]): void {
    const kept = new Set(addresses.map(formatAddress));
    for (const [address, connections] of this.#idle) {
      if (!kept.has(address)) {
        this.#idle.delete(address);
        connections.forEach((connection) => {
          connection.abort();
        });
      }
    }
  }

  /**
   * Gives up connects that are under way. Their requests have not been sent.
   *
   * @param addresses - addresses of the servers
   */
  abortConnecting(addresses: readonly SocketAddress[]): void {
    const texts = new Set(addresses.map(formatAddress));
    for (const connection of [...this.#open.values()]) {
      if (texts.has(connection.address) && connection.socket === undefined) {
        connection.abort();
      }
    }
  }

  /**
   * Closes the idle connections to some servers.
   *
   * @param addresses - addresses of the servers
   */
  closeIdle(addresses: readonly SocketAddress[]): void {
    for (const address of addresses.map(formatAddress)) {
      const connections = this.#idle.get(address) ?? [];
      this.#idle.delete(address);
      connections.forEach((connection) => {
        connection.abort();
      });
    }
  }

  /** Destroys all connections; requests on them are aborted. */
  async close(): Promise<void> {
    this.#isClosed = true;
    this.#idle.clear();
    await Promise.all([...this.#open.keys()].map((client) => client.destroy()));
  }

  #createConnection(address: string): BackendConnection {
    const { authority } = this.#options;
    const scheme = authority === undefined ? "http" : "https";
    const connect = buildConnector({
      timeout: this.#options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
      ...authority === undefined ? {} : { ca: authority },
    });
    const client = new Client(`${scheme}://${address}`, {
      pipelining: 1,
      connect: (options, callback) => {
        if (connection.isReceivingOnly) {
          callback(new Error("the connection has ended"), null);
          return;
        }
        connect(options, (...outcome) => {
          connection.socket = outcome[1] ?? undefined;
          connection.socket?.on("readable", () => {
            connection.dataListener?.();
          });
          callback(...outcome);
        });
      },
      keepAliveTimeout: this.#options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: this.#options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
    });
    const connection = new BackendConnection(address, client, (released) => {
      this.#keepIdle(address, released);
    });
    this.#open.set(client, connection);
    client.on("disconnect", () => {
      this.#drop(address, connection);
    });
    client.on("connectionError", () => {
      this.#drop(address, connection);
    });
    return connection;
  }

  #keepIdle(address: string, connection: BackendConnection): void {
    if (
      this.#isClosed || !this.#open.has(connection.client) ||
      this.#isReuseSuspended(address)
    ) {
      connection.abort();
      return;
    }
    const idle = this.#idle.get(address);
    if (idle === undefined) {
      this.#idle.set(address, [connection]);
    } else {
      idle.push(connection);
    }
  }

  // A second response to one request would be taken for the response to the
  // next request on the same connection.
  #isReuseSuspended(address: string): boolean {
    const untilMs = this.#noReuseUntilMs.get(address);
    if (untilMs === undefined) {
      return false;
    }
    if (this.#clock.readMonotonicMs() < untilMs) {
      return true;
    }
    this.#noReuseUntilMs.delete(address);
    return false;
  }

  #drop(address: string, connection: BackendConnection): void {
    if (connection.hasUnsolicitedBytes()) {
      const untilMs = this.#clock.readMonotonicMs() + NO_REUSE_MS;
      this.#noReuseUntilMs.set(address, untilMs);
    }
    this.#open.delete(connection.client);
    const idle = this.#idle.get(address);
    const index = idle?.indexOf(connection) ?? -1;
    if (index >= 0) {
      idle?.splice(index, 1);
      const error: NodeJS.ErrnoException | null = connection.socket?.errored ??
        null;
      if (error?.code !== IDLE_TIMEOUT_CODE) {
        this.#options.handleIdleLost?.(address);
      }
    }
    connection.abort();
  }
}
