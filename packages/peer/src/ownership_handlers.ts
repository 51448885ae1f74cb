/** Serves and makes the calls of the ownership protocol. */

import type { ServerUnaryCall } from "@grpc/grpc-js";
import { status } from "@grpc/grpc-js";
import { toId, type VmId } from "@limpetford/domain/ids";
import type { Result } from "@limpetford/domain/result";
import type { VmIncarnation } from "@limpetford/domain/vm";

import type { Incarnation } from "./generated/membership.ts";
import {
  OwnershipClient,
  OwnershipService,
  type PromiseReply,
  type PromiseRequest,
  type RecordClaimsReply,
  type RecordClaimsRequest,
  type ResignReply,
  type ResignRequest,
} from "./generated/ownership.ts";
import type { CallOptions, PeerChannels } from "./peer_channels.ts";
import type { PeerError } from "./peer_error.ts";
import type { PeerServer } from "./peer_server.ts";

/**
 * Answers the calls of the ownership protocol.
 */
export abstract class OwnershipHandlers {
  /**
   * Handles a wish for promises.
   *
   * @param request - the shards and the length of the promise
   * @returns the shards that are promised
   */
  abstract handlePromise(request: PromiseRequest): PromiseReply;

  /**
   * Handles claims to be kept as standby.
   *
   * @param request - the claims of one shard
   * @returns whether they are kept
   */
  abstract handleRecordClaims(request: RecordClaimsRequest): RecordClaimsReply;

  /**
   * Handles the resignation of a holder.
   *
   * @param request - shard, epoch and state
   * @returns whether this VM is the holder now
   */
  abstract handleResign(request: ResignRequest): Promise<ResignReply>;
}

/**
 * Registers the ownership service at a VM's server.
 *
 * @param server - the server, not yet bound
 * @param handlers - what answers the calls
 */
export function registerOwnershipService(
  server: PeerServer,
  handlers: OwnershipHandlers,
): void {
  server.register(OwnershipService, {
    promise: makeHandler((request: PromiseRequest) =>
      handlers.handlePromise(request)
    ),
    recordClaims: makeHandler((request: RecordClaimsRequest) =>
      handlers.handleRecordClaims(request)
    ),
    resign: makeHandler((request: ResignRequest) =>
      handlers.handleResign(request)
    ),
  });
}

/** Calls of the ownership protocol. */
export interface OwnershipCalls {
  readonly sendPromise: PeerCall<PromiseRequest, PromiseReply>;
  readonly sendRecordClaims: PeerCall<RecordClaimsRequest, RecordClaimsReply>;
  readonly sendResign: PeerCall<ResignRequest, ResignReply>;
}

/** A call to another VM that reports its errors as values. */
export type PeerCall<Request, Reply> = (
  request: Request,
  options: CallOptions,
) => Promise<Result<Reply, PeerError>>;

/**
 * Binds the calls of the ownership protocol to a VM's channels.
 *
 * @param channels - the channels
 * @returns the calls
 */
export function bindOwnershipCalls(channels: PeerChannels): OwnershipCalls {
  return {
    sendPromise: channels.bind(
      OwnershipClient,
      (client) => client.promise.bind(client),
    ),
    sendRecordClaims: channels.bind(
      OwnershipClient,
      (client) => client.recordClaims.bind(client),
    ),
    sendResign: channels.bind(
      OwnershipClient,
      (client) => client.resign.bind(client),
    ),
  };
}

/**
 * Turns an incarnation from the wire into one of the domain.
 *
 * @param wire - the message
 * @returns the incarnation, or undefined if the field was not set
 */
export function convertIncarnation(
  wire: Incarnation | undefined,
): VmIncarnation | undefined {
  return wire === undefined
    ? undefined
    : { vm: toId<VmId>(wire.vm), startedAtMs: wire.startedAtMs };
}

function makeHandler<Request, Reply>(
  handle: (request: Request) => Reply | Promise<Reply>,
) {
  return (
    call: ServerUnaryCall<Request, Reply>,
    callback: (error: { code: number } | null, reply?: Reply) => void,
  ): void => {
    Promise.resolve()
      .then(() => handle(call.request))
      .then(
        (reply) => {
          callback(null, reply);
        },
        () => {
          callback({ code: status.INTERNAL });
        },
      );
  };
}
