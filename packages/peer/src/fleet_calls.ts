/** Client and server of the calls between VMs, over HTTP. */

import * as http from "node:http";

import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import { Agent } from "undici";
import type * as z from "zod";

import type { CallTraffic } from "./call_traffic.ts";
import type {
  EmptyReply,
  EvidenceNotice,
  FleetSyncHandlers,
  ServerLimitReport,
  ServerTokenReply,
  ServerTokenRequest,
  SyncMessage,
  TokenReply,
  TokenRequest,
} from "./fleet_sync.ts";
import {
  COMPRESSED_ENCODING,
  decodeMessage,
  encodeMessage,
} from "./message_codec.ts";
import {
  EMPTY_REPLY_SCHEMA,
  EVIDENCE_SCHEMA,
  SERVER_LIMIT_REPORT_SCHEMA,
  SERVER_TOKEN_REPLY_SCHEMA,
  SERVER_TOKEN_REQUEST_SCHEMA,
  SYNC_MESSAGE_SCHEMA,
  TOKEN_REPLY_SCHEMA,
  TOKEN_REQUEST_SCHEMA,
} from "./message_schemas.ts";
import type { PeerError } from "./peer_error.ts";
import { dropUnknownKinds } from "./unknown_kinds.ts";

const PATH = {
  exchange: "/exchange",
  evidence: "/evidence",
  token: "/token",
  serverToken: "/server-token",
  serverLimit: "/server-limit",
} as const;
type CallPath = typeof PATH[keyof typeof PATH];
// A message of another form would throw later, in timers and for other callers.
const REQUEST_SCHEMAS: Readonly<Record<CallPath, z.ZodType>> = {
  [PATH.exchange]: SYNC_MESSAGE_SCHEMA,
  [PATH.evidence]: EVIDENCE_SCHEMA,
  [PATH.token]: TOKEN_REQUEST_SCHEMA,
  [PATH.serverToken]: SERVER_TOKEN_REQUEST_SCHEMA,
  [PATH.serverLimit]: SERVER_LIMIT_REPORT_SCHEMA,
};
const REPLY_SCHEMAS: Readonly<Record<CallPath, z.ZodType>> = {
  [PATH.exchange]: SYNC_MESSAGE_SCHEMA,
  [PATH.evidence]: EMPTY_REPLY_SCHEMA,
  [PATH.token]: TOKEN_REPLY_SCHEMA,
  [PATH.serverToken]: SERVER_TOKEN_REPLY_SCHEMA,
  [PATH.serverLimit]: EMPTY_REPLY_SCHEMA,
};
const ENCODING_HEADER = "content-encoding";
const ACCEPTED_HEADER = "accept-encoding";
/** Size of the heads of a request and its response, as estimated. */
const HEAD_BYTES = 220;
const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_FAILED = 500;
const CONNECT_TIMEOUT_MS = 250;
const IDLE_TIMEOUT_MS = 10_000;
/** Headers of a caller's request, and what a VM adds to forward it. */
const MAX_HEADER_BYTES = 73_728;
/** Header of a caller's request that another VM forwards. */
export const FORWARDED_HEADER = "limpetford-forwarded";
/** Longer than the client's idle timeout, so that the client closes first. */
const SERVER_IDLE_TIMEOUT_MS = 15_000;

/** Which messages of a call are compressed. */
export const CALL_COMPRESSION = {
  none: "none",
  /** The reply, if the other VM supports it. */
  reply: "reply",
  /** Both; the other VM has to support it. */
  both: "both",
} as const;
/** One of {@link CALL_COMPRESSION}. */
export type CallCompression =
  typeof CALL_COMPRESSION[keyof typeof CALL_COMPRESSION];

/** Destination and timeout of a call. */
export interface FleetCallOptions {
  readonly to: SocketAddress;
  readonly timeoutMs: number;
  /** Which messages are compressed; by default none. */
  readonly compression?: CallCompression;
}

const COMPRESSION_HEADERS: Readonly<
  Record<CallCompression, Readonly<Record<string, string>>>
> = {
  none: {},
  reply: { [ACCEPTED_HEADER]: COMPRESSED_ENCODING },
  both: {
    [ACCEPTED_HEADER]: COMPRESSED_ENCODING,
    [ENCODING_HEADER]: COMPRESSED_ENCODING,
  },
};

function isCompressed(headers: Readonly<Record<string, unknown>>): boolean {
  return headers[ENCODING_HEADER] === COMPRESSED_ENCODING;
}

/** Receives what is thrown in a call; only the call ends. */
export type CallExceptionHandler = (error: unknown) => void;

function dropException(): void {
  return;
}

/** Sends calls to the other VMs. */
export class FleetCallClient {
  readonly #agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    connections: 2,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  readonly #traffic: CallTraffic | undefined;
  readonly #handleException: CallExceptionHandler;

  /**
   * Creates a client without connections.
   *
   * @param traffic - receives the sizes of calls, if any one needs them
   * @param handleException - receives what an odd message throws
   */
  constructor(
    traffic?: CallTraffic,
    handleException: CallExceptionHandler = dropException,
  ) {
    this.#traffic = traffic;
    this.#handleException = handleException;
  }

  /**
   * Exchanges synchronization messages with another VM.
   *
   * @param message - message of this VM
   * @param options - destination and timeout
   * @returns the other VM's message, or why there is none
   */
  async sendExchange(
    message: SyncMessage,
    options: FleetCallOptions,
  ): Promise<Result<SyncMessage, PeerError>> {
    return await this.#send<SyncMessage>(PATH.exchange, message, options);
  }

  /**
   * Sends evidence that must not wait for the next exchange.
   *
   * @param notice - sender and evidence
   * @param options - destination and timeout
   * @returns an empty reply, or why the evidence may not have arrived
   */
  async sendEvidence(
    notice: EvidenceNotice,
    options: FleetCallOptions,
  ): Promise<Result<EmptyReply, PeerError>> {
    return await this.#send<EmptyReply>(PATH.evidence, notice, options);
  }

  /**
   * Requests one rate-limit token.
   *
   * @param request - team whose token is requested
   * @param options - destination and timeout
   * @returns whether the token is granted, or why there is no reply
   */
  async sendTokenRequest(
    request: TokenRequest,
    options: FleetCallOptions,
  ): Promise<Result<TokenReply, PeerError>> {
    return await this.#send<TokenReply>(PATH.token, request, options);
  }

  /**
   * Requests one token of a backend server's rate limit.
   *
   * @param request - the limit as far as this VM knows it
   * @param options - destination and timeout
   * @returns whether the token is granted, or why there is no reply
   */
  async sendServerTokenRequest(
    request: ServerTokenRequest,
    options: FleetCallOptions,
  ): Promise<Result<ServerTokenReply, PeerError>> {
    return await this.#send<ServerTokenReply>(
      PATH.serverToken,
      request,
      options,
    );
  }

  /**
   * Reports what a response says of its server's rate limit.
   *
   * @param report - the server and its limit
   * @param options - destination and timeout
   * @returns an empty reply, or why the report may not have arrived
   */
  async sendServerLimitReport(
    report: ServerLimitReport,
    options: FleetCallOptions,
  ): Promise<Result<EmptyReply, PeerError>> {
    return await this.#send<EmptyReply>(PATH.serverLimit, report, options);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send<Reply>(
    path: CallPath,
    message: unknown,
    { to, timeoutMs, compression = CALL_COMPRESSION.none }: FleetCallOptions,
  ): Promise<Result<Reply, PeerError>> {
    let body: Buffer;
    try {
      body = encodeMessage(message, compression === CALL_COMPRESSION.both);
    } catch (error) {
      this.#handleException(error);
      const cause = "the message can't be encoded";
      return makeError({ kind: "peer-reply-lost", cause });
    }
    try {
      // A timeout closes the connection, since the peer may no longer respond.
      const response = await this.#agent.request({
        origin: `http://${formatAddress(to)}`,
        path,
        method: "POST",
        headers: COMPRESSION_HEADERS[compression],
        body,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const reply = Buffer.from(await response.body.arrayBuffer());
      this.#traffic?.recordCall(
        to,
        path.slice(1),
        HEAD_BYTES + body.length + reply.length,
      );
      if (response.statusCode !== STATUS_OK) {
        const cause = `status ${response.statusCode}`;
        return makeError({ kind: "peer-refused", cause });
      }
      const decoded = dropUnknownKinds(
        decodeMessage(reply, isCompressed(response.headers)),
      );
      return REPLY_SCHEMAS[path].safeParse(decoded).success
        ? makeOk(decoded as Reply)
        : makeError({ kind: "peer-reply-lost", cause: "malformed reply" });
    } catch (error) {
      const cause = error instanceof Error ? error.message : String(error);
      return makeError({ kind: "peer-reply-lost", cause });
    }
  }
}

/** Serves the calls of the other VMs. */
export class FleetCallServer {
  readonly #handlers: FleetSyncHandlers;
  readonly #handleException: CallExceptionHandler;
  readonly #server: http.Server;

  /**
   * Creates a server that does not listen yet.
   *
   * @param handlers - handlers of the calls
   * @param handleException - receives what handlers and their replies throw
   */
  constructor(
    handlers: FleetSyncHandlers,
    handleException: CallExceptionHandler = dropException,
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
      message = dropUnknownKinds(await readMessage(request));
    } catch {
      // The sender aborted, or is not a VM of this fleet.
      response.writeHead(STATUS_BAD_REQUEST).end();
      return;
    }
    const path = Object.values(PATH).find((known) => known === request.url);
    if (path === undefined) {
      response.writeHead(STATUS_NOT_FOUND).end();
      return;
    }
    if (!REQUEST_SCHEMAS[path].safeParse(message).success) {
      response.writeHead(STATUS_BAD_REQUEST).end();
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

async function readMessage(request: http.IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return decodeMessage(Buffer.concat(chunks), isCompressed(request.headers));
}
