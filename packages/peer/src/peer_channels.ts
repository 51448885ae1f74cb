/** gRPC channels to the other VMs, and unary calls over them. */

import type {
  ChannelCredentials,
  Client,
  ClientOptions,
  ServiceError,
} from "@grpc/grpc-js";
import { Metadata } from "@grpc/grpc-js";
import { makeError, makeOk, type Result } from "@limpetford/domain/result";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";

import { type LinkFaults, NoLinkFaults } from "./link_faults.ts";
import { convertGrpcError, type PeerError } from "./peer_error.ts";
import { buildChannelCredentials, type PeerTls } from "./peer_tls.ts";

const KEEPALIVE_INTERVAL_MS = 2_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;

/** Constructor of a generated client. */
export type ClientConstructor<C extends Client> = new (
  address: string,
  credentials: ChannelCredentials,
  options?: Partial<ClientOptions>,
) => C;

/** A unary method of a generated client, bound to it. */
// eslint-disable-next-line @typescript-eslint/max-params -- generated signature
export type UnaryMethod<Request, Reply> = (
  request: Request,
  metadata: Metadata,
  options: { deadline: Date },
  callback: (error: ServiceError | null, reply: Reply) => void,
) => unknown;

/** Destination and timeout of a call. */
export interface CallOptions {
  readonly to: SocketAddress;
  readonly timeoutMs: number;
}

/** Settings of {@link PeerChannels}. */
export interface PeerChannelsOptions {
  /** Certificates; undefined for plain text. */
  readonly tls?: PeerTls;
  /** Faults to inject; default none. */
  readonly linkFaults?: LinkFaults;
}

/**
 * Keeps one client per peer and gRPC service, and makes calls through them.
 */
export class PeerChannels {
  readonly #clients = new Map<string, Client>();
  readonly #credentials: ChannelCredentials;
  readonly #faults: LinkFaults;

  /**
   * Creates an empty set of channels; each connects on its first call.
   *
   * @param options - certificates and link faults
   */
  constructor(options: PeerChannelsOptions = {}) {
    this.#credentials = buildChannelCredentials(options.tls);
    this.#faults = options.linkFaults ?? new NoLinkFaults();
  }

  /**
   * Binds a unary method of a service to the channels.
   *
   * @param constructor - generated client class
   * @param selectMethod - selects the method of a client, bound to the client
   * @returns a function that makes the call and never throws
   */
  bind<C extends Client, Request, Reply>(
    constructor: ClientConstructor<C>,
    selectMethod: (client: C) => UnaryMethod<Request, Reply>,
  ): (
    request: Request,
    options: CallOptions,
  ) => Promise<Result<Reply, PeerError>> {
    return async (request, options) => {
      const decision = this.#faults.decide(options.to);
      if (decision === "drop-request") {
        return await waitForTimeout(options.timeoutMs);
      }
      const client = this.#findClient(constructor, options.to);
      const result = await send(
        selectMethod(client),
        request,
        options.timeoutMs,
      );
      if (decision === "drop-reply") {
        return await waitForTimeout(options.timeoutMs);
      }
      return result;
    };
  }

  /** Closes all channels. */
  close(): void {
    for (const client of this.#clients.values()) {
      client.close();
    }
    this.#clients.clear();
  }

  #findClient<C extends Client>(
    constructor: ClientConstructor<C>,
    to: SocketAddress,
  ): C {
    const address = formatAddress(to);
    const key = `${constructor.name}|${
      String((constructor as { serviceName?: string }).serviceName)
    }|${address}`;
    const known = this.#clients.get(key);
    if (known !== undefined) {
      return known as C;
    }
    const created = new constructor(address, this.#credentials, {
      "grpc.keepalive_time_ms": KEEPALIVE_INTERVAL_MS,
      "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
      "grpc.initial_reconnect_backoff_ms": 200,
      "grpc.max_reconnect_backoff_ms": 2_000,
    });
    this.#clients.set(key, created);
    return created;
  }
}

async function send<Request, Reply>(
  method: UnaryMethod<Request, Reply>,
  request: Request,
  timeoutMs: number,
): Promise<Result<Reply, PeerError>> {
  return await new Promise((resolve) => {
    const deadline = new Date(Date.now() + timeoutMs);
    method(request, new Metadata(), { deadline }, (error, reply) => {
      resolve(
        error === null ? makeOk(reply) : makeError(convertGrpcError(error)),
      );
    });
  });
}

async function waitForTimeout(
  timeoutMs: number,
): Promise<Result<never, PeerError>> {
  await new Promise((resolve) => setTimeout(resolve, timeoutMs).unref());
  return makeError({ kind: "peer-reply-lost", cause: "deadline exceeded" });
}
