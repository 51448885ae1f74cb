/** Pool of connections to backend servers, each with one request at a time. */

import type { Clock } from "@limpetford/core/time/clock";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import { buildConnector, Client } from "undici";

import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";
import {
  BackendConnection,
  type ConnectionOwner,
} from "./backend_connection.ts";
import { ParseTurns } from "./parse_turns.ts";

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
const DEFAULT_MAX_HEADER_BYTES = 32_768;
/** Code of undici's error for a connection that was idle for too long. */
const IDLE_TIMEOUT_CODE = "UND_ERR_INFO";
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
  /** Receives what `handleIdleLost` throws; not reported if absent. */
  readonly exceptions?: ContainedExceptions | undefined;
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
  readonly #turns = new ParseTurns();
  readonly #owner: ConnectionOwner = {
    release: (connection) => {
      this.#keepIdle(connection);
    },
    hasIdleSince: (address, beforeMs) => this.#hasIdleSince(address, beforeMs),
  };
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
      return this.#createConnection(target);
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
    return this.#createConnection(target);
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

  #createConnection(target: SocketAddress): BackendConnection {
    const address = formatAddress(target);
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
          const socket = outcome[1] ?? undefined;
          if (socket !== undefined) {
            connection.bindSocket(socket, this.#turns);
          }
          connection.connectedAtMs = this.#clock.readMonotonicMs();
          callback(...outcome);
        });
      },
      keepAliveTimeout: this.#options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: this.#options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
    });
    const connection = new BackendConnection(target, client, this.#owner);
    this.#open.set(client, connection);
    client.on("disconnect", () => {
      this.#drop(address, connection);
    });
    client.on("connectionError", () => {
      this.#drop(address, connection);
    });
    return connection;
  }

  #hasIdleSince(address: string, beforeMs: number): boolean {
    const idle = this.#idle.get(address) ?? [];
    return idle.some(({ connectedAtMs, socket }) =>
      connectedAtMs < beforeMs && socket?.readable === true
    );
  }

  #keepIdle(connection: BackendConnection): void {
    const { address } = connection;
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
        this.#notifyIdleLost(address);
      }
    }
    connection.abort();
  }

  #notifyIdleLost(address: string): void {
    const { handleIdleLost, exceptions } = this.#options;
    try {
      handleIdleLost?.(address);
    } catch (error) {
      exceptions?.report(EXCEPTION_SOURCE.server, error);
    }
  }
}
