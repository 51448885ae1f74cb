/** HTTP server for service discovery by callers and for readiness checks. */

import * as http from "node:http";

import type { ZoneId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";
import {
  isReadinessRequest,
  parseDirectoryQuery,
  renderDirectoryResponse,
} from "@limpetford/platform/store/directory_call";

import { refuseBody } from "../http/close_behind_body.ts";
import type { InputLimiter } from "../http/input_limiter.ts";
import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;
/** How long callers may cache a directory response. */
const DIRECTORY_VALID_MS = 1_500;
const IDLE_TIMEOUT_MS = 30_000;

/** Supplies the data of directory and readiness responses. */
export abstract class DirectorySource {
  /**
   * Lists the VMs that callers of a zone should use, in order of preference.
   *
   * @param zone - the callers' zone
   * @returns caller addresses; empty if this VM knows no available VM
   */
  abstract listAddresses(zone: ZoneId): readonly SocketAddress[];

  /**
   * Checks whether this VM accepts requests from callers.
   *
   * @returns true once a configuration is active and until the VM drains
   */
  abstract isReady(): boolean;
}

/**
 * Serves the directory and the readiness check, on addresses separate from the
 * one that takes callers' requests.
 */
export class DirectoryServer {
  readonly #source: DirectorySource;
  readonly #exceptions: ContainedExceptions;
  readonly #inputs: InputLimiter;
  readonly #servers: http.Server[] = [];

  /**
   * Creates a server that does not listen yet.
   *
   * @param source - supplies the data of the responses
   * @param options - receives what a request throws, whose connection ends; bounds
   * what clients send
   */
  constructor(
    source: DirectorySource,
    { exceptions, inputs }: {
      readonly exceptions: ContainedExceptions;
      readonly inputs: InputLimiter;
    },
  ) {
    this.#source = source;
    this.#exceptions = exceptions;
    this.#inputs = inputs;
  }

  /**
   * Listens on every address; each serves both endpoints.
   *
   * @param addresses - addresses to bind
   */
  async start(addresses: readonly SocketAddress[]): Promise<void> {
    await Promise.all(addresses.map((address) => this.#bind(address)));
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #bind({ host, port }: SocketAddress): Promise<void> {
    const server = http.createServer(
      { keepAliveTimeout: IDLE_TIMEOUT_MS, requireHostHeader: false },
      (request, response) => {
        try {
          refuseBody(request, response);
          this.#handleCall(request.url ?? "/", response);
        } catch (error) {
          this.#exceptions.report(EXCEPTION_SOURCE.directory, error);
          response.destroy();
        }
      },
    );
    server.timeout = IDLE_TIMEOUT_MS;
    this.#inputs.enforce(server);
    this.#servers.push(server);
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen({ host, port }, () => {
        server.off("error", reject);
        resolve();
      });
    });
  }

  #handleCall(target: string, response: http.ServerResponse): void {
    if (isReadinessRequest(target)) {
      const isReady = this.#source.isReady();
      sendJson(response, isReady ? STATUS_OK : STATUS_UNAVAILABLE, "{}");
      return;
    }
    const query = parseDirectoryQuery(target);
    if (query === undefined) {
      sendJson(response, STATUS_NOT_FOUND, "{}");
      return;
    }
    const addresses = this.#source.listAddresses(
      toId<ZoneId>(query.zone),
    );
    if (addresses.length === 0) {
      sendJson(response, STATUS_UNAVAILABLE, "{}");
      return;
    }
    sendJson(
      response,
      STATUS_OK,
      renderDirectoryResponse({ addresses, validForMs: DIRECTORY_VALID_MS }),
    );
  }
}

function sendJson(
  response: http.ServerResponse,
  status: number,
  body: string,
): void {
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}
