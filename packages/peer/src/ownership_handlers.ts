/** Server and client side of the calls for shard ownership. */

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
 * Handlers of the calls of the ownership protocol.
 */
export abstract class OwnershipHandlers {
  /**
   * Handles a request for promises, which are leases: until a promise ends, this
   * VM writes no ownership record of the shard.
   *
   * @param request - shards, their epochs, and the duration of the promise
   * @returns shards that are promised, and shards with an outdated epoch
   */
  abstract handlePromise(request: PromiseRequest): PromiseReply;

  /**
   * Handles claim records that this VM replicates as a shard's standby.
   *
   * @param request - claim records of one shard
   * @returns whether the records were stored
   */
  abstract handleRecordClaims(request: RecordClaimsRequest): RecordClaimsReply;

  /**
   * Handles the resignation of a shard's holder in favor of this VM.
   *
   * @param request - shard, epoch and the state handed over
   * @returns whether this VM has become the holder
   */
  abstract handleResign(request: ResignRequest): Promise<ResignReply>;
}

/**
 * Registers the ownership service at a VM's gRPC server.
 *
 * @param server - server that is not bound yet
 * @param handlers - handlers of the calls
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

/** Client calls of the ownership protocol. */
export interface OwnershipCalls {
  readonly sendPromise: PeerCall<PromiseRequest, PromiseReply>;
  readonly sendRecordClaims: PeerCall<RecordClaimsRequest, RecordClaimsReply>;
  readonly sendResign: PeerCall<ResignRequest, ResignReply>;
}

/** A call to another VM that returns errors instead of throwing them. */
export type PeerCall<Request, Reply> = (
  request: Request,
  options: CallOptions,
) => Promise<Result<Reply, PeerError>>;

/**
 * Binds the calls of the ownership protocol to a VM's channels.
 *
 * @param channels - channels to the other VMs
 * @returns functions that make the calls and never throw
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
 * Converts an optional incarnation message.
 *
 * @param wire - incarnation message
 * @returns VM and start time, or undefined if the field was not set
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
