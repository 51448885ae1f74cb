/** Tells callers which VMs to use, and the platform whether this VM is ready. */

import * as http from "node:http";

import type { ZoneId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import type { SocketAddress } from "@limpetford/domain/vm";
import {
  isReadinessRequest,
  parseDirectoryQuery,
  renderDirectoryResponse,
} from "@limpetford/platform/store/directory_call";

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;
/** How long callers may keep an answer. */
const ANSWER_VALID_MS = 1_500;
const IDLE_TIMEOUT_MS = 30_000;

/** What the answers are made from. */
export abstract class DirectorySource {
  /**
   * Lists the VMs for callers of a zone, best first.
   *
   * @param zone - the callers' zone
   * @returns addresses that callers connect to; none if this VM knows none
   */
  abstract listAddresses(zone: ZoneId): readonly SocketAddress[];

  /**
   * Checks whether this VM takes callers.
   *
   * @returns true if it does
   */
  abstract isReady(): boolean;
}

/** Serves the directory and the readiness check on their own addresses. */
export class DirectoryServer {
  readonly #source: DirectorySource;
  readonly #servers: http.Server[] = [];

  /**
   * Prepares the server.
   *
   * @param source - what the answers are made from
   */
  constructor(source: DirectorySource) {
    this.#source = source;
  }

  /**
   * Starts to listen.
   *
   * @param addresses - where
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
        this.#handleCall(request.url ?? "/", response);
      },
    );
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
    const question = parseDirectoryQuery(target);
    if (question === undefined) {
      sendJson(response, STATUS_NOT_FOUND, "{}");
      return;
    }
    const addresses = this.#source.listAddresses(
      toId<ZoneId>(question.zone),
    );
    if (addresses.length === 0) {
      sendJson(response, STATUS_UNAVAILABLE, "{}");
      return;
    }
    sendJson(
      response,
      STATUS_OK,
      renderDirectoryResponse({ addresses, validForMs: ANSWER_VALID_MS }),
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
