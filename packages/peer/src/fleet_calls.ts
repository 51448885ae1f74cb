/** Client of the calls between VMs, over HTTP. */

import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import { Agent } from "undici";

import {
  ACCEPTED_HEADER,
  type CallExceptionHandler,
  type CallPath,
  dropException,
  ENCODING_HEADER,
  isCompressed,
  PATH,
  REPLY_SCHEMAS,
  STATUS_OK,
} from "./call_protocol.ts";
import type { CallTraffic } from "./call_traffic.ts";
import type {
  EmptyReply,
  EvidenceNotice,
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
import type { PeerError } from "./peer_error.ts";
import { dropUnknownKinds } from "./unknown_kinds.ts";

/** Size of the heads of a request and its response, as estimated. */
const HEAD_BYTES = 220;
const CONNECT_TIMEOUT_MS = 250;
const IDLE_TIMEOUT_MS = 10_000;

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
