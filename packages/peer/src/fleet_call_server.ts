/** Server of the calls between VMs, over HTTP. */

import * as http from "node:http";

import type { SocketAddress } from "@limpetford/domain/vm";

import {
  ACCEPTED_HEADER,
  type CallExceptionHandler,
  type CallPath,
  dropException,
  ENCODING_HEADER,
  FORWARDED_HEADER,
  isCompressed,
  PATH,
  REQUEST_SCHEMAS,
  STATUS_OK,
} from "./call_protocol.ts";
import type {
  EvidenceNotice,
  FleetSyncHandlers,
  ServerLimitReport,
  ServerTokenRequest,
  SyncMessage,
  TokenRequest,
} from "./fleet_sync.ts";
import {
  COMPRESSED_ENCODING,
  decodeMessage,
  encodeMessage,
} from "./message_codec.ts";
import { MessageReader } from "./message_reader.ts";
import { dropUnknownKinds } from "./unknown_kinds.ts";

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_FAILED = 500;
/** Headers of a caller's request, and what a VM adds to forward it. */
const MAX_HEADER_BYTES = 73_728;
/** Longer than the client's idle timeout, so that the client closes first. */
const SERVER_IDLE_TIMEOUT_MS = 15_000;

/** Options of a {@link FleetCallServer}. */
export interface FleetCallServerOptions {
  /** Receives what handlers and their replies throw; dropped by default. */
  readonly handleException?: CallExceptionHandler;
  /** Bounds what is sent to the server, before it listens. */
  readonly prepareServer?: (server: http.Server) => void;
}

/** Serves the calls of the other VMs. */
export class FleetCallServer {
  readonly #handlers: FleetSyncHandlers;
  readonly #handleException: CallExceptionHandler;
  readonly #server: http.Server;
  readonly #reader = new MessageReader();

  /**
   * Creates a server that does not listen yet.
   *
   * @param handlers - handlers of the calls
   * @param options - who hears of exceptions, and what bounds its input
   */
  constructor(
    handlers: FleetSyncHandlers,
    { handleException = dropException, prepareServer }: FleetCallServerOptions =
      {},
  ) {
    this.#handlers = handlers;
    this.#handleException = handleException;
    this.#server = http.createServer(
      {
        keepAliveTimeout: SERVER_IDLE_TIMEOUT_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
        requireHostHeader: false,
      },
      (request, response) => {
        this.#serve(request, response).catch((error: unknown) => {
          this.#handleException(error);
          response.destroy();
        });
      },
    );
    this.#server.timeout = SERVER_IDLE_TIMEOUT_MS;
    prepareServer?.(this.#server);
  }

  /**
   * Starts to listen; rejects if the address cannot be bound.
   *
   * @param address - host and port to listen on
   */
  async bind({ host, port }: SocketAddress): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port }, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (request.headers[FORWARDED_HEADER] !== undefined) {
      this.#handlers.handleForwarded(request, response);
      return;
    }
    response.sendDate = false;
    let message: unknown;
    try {
      const body = await this.#reader.read(request);
      const decoded = decodeMessage(body, isCompressed(request.headers));
      message = dropUnknownKinds(decoded);
    } catch {
      // The sender aborted, or is not a VM of this fleet.
      response.writeHead(STATUS_BAD_REQUEST, { connection: "close" }).end();
      return;
    }
    const path = Object.values(PATH).find((known) => known === request.url);
    if (path === undefined) {
      response.writeHead(STATUS_NOT_FOUND).end();
      return;
    }
    if (!REQUEST_SCHEMAS[path].safeParse(message).success) {
      response.writeHead(STATUS_BAD_REQUEST, { connection: "close" }).end();
      return;
    }
    const mayCompress =
      request.headers[ACCEPTED_HEADER] === COMPRESSED_ENCODING;
    let body: Buffer;
    try {
      body = encodeMessage(this.#selectReply(path, message), mayCompress);
    } catch (error) {
      this.#handleException(error);
      response.writeHead(STATUS_FAILED).end();
      return;
    }
    response.writeHead(STATUS_OK, {
      "content-length": body.length,
      ...mayCompress ? { [ENCODING_HEADER]: COMPRESSED_ENCODING } : {},
    });
    response.end(body);
  }

  #selectReply(path: CallPath, message: unknown): unknown {
    switch (path) {
      case PATH.exchange:
        return this.#handlers.handleExchange(message as SyncMessage);
      case PATH.evidence:
        this.#handlers.handleEvidence(message as EvidenceNotice);
        return {};
      case PATH.token:
        return this.#handlers.handleTokenRequest(message as TokenRequest);
      case PATH.serverToken:
        return this.#handlers.handleServerTokenRequest(
          message as ServerTokenRequest,
        );
      case PATH.serverLimit:
        this.#handlers.handleServerLimitReport(message as ServerLimitReport);
        return {};
    }
  }
}
