/** Server and client side of the calls for a team's rate-limit tokens. */

import type { handleUnaryCall } from "@grpc/grpc-js";

import {
  type AcquireTokensReply,
  type AcquireTokensRequest,
  LimitsClient,
  LimitsService,
  type RecallTokensReply,
  type RecallTokensRequest,
  type StandbyTokensReply,
  type StandbyTokensRequest,
} from "./generated/limits.ts";
import type { PeerCall } from "./ownership_handlers.ts";
import type { PeerChannels } from "./peer_channels.ts";
import type { PeerServer } from "./peer_server.ts";

/** Handlers of the calls for tokens. */
export interface LimitsHandlers {
  /**
   * Handles a VM's request for tokens.
   *
   * @param request - team, tokens needed, and reports on earlier grants
   * @returns grant of tokens, or when to retry
   */
  handleAcquireTokens(
    request: AcquireTokensRequest,
  ): Promise<AcquireTokensReply>;

  /**
   * Handles the holder's recall of unspent tokens.
   *
   * @param request - team whose tokens the holder recalls
   * @returns reports on the grants that this VM gives back
   */
  handleRecallTokens(request: RecallTokensRequest): RecallTokensReply;

  /**
   * Handles a standby's request for grants to use after the holder is lost.
   *
   * @param request - shards, and the unspent tokens of earlier grants
   * @returns one grant for each team with recent requests
   */
  handleStandbyTokens(request: StandbyTokensRequest): StandbyTokensReply;
}

/** Client calls for tokens, to the VMs that hold or use them. */
export interface LimitsCalls {
  readonly sendAcquireTokens: PeerCall<
    AcquireTokensRequest,
    AcquireTokensReply
  >;
  readonly sendRecallTokens: PeerCall<RecallTokensRequest, RecallTokensReply>;
  readonly sendStandbyTokens: PeerCall<
    StandbyTokensRequest,
    StandbyTokensReply
  >;
}

/**
 * Registers the limits service at a VM's gRPC server.
 *
 * @param server - server that is not bound yet
 * @param handlers - handlers of the calls
 */
export function registerLimitsService(
  server: PeerServer,
  handlers: LimitsHandlers,
): void {
  const acquireTokens: handleUnaryCall<
    AcquireTokensRequest,
    AcquireTokensReply
  > = (call, callback) => {
    void handlers.handleAcquireTokens(call.request).then((reply) => {
      callback(null, reply);
    });
  };
  const recallTokens: handleUnaryCall<
    RecallTokensRequest,
    RecallTokensReply
  > = (call, callback) => {
    callback(null, handlers.handleRecallTokens(call.request));
  };
  const standbyTokens: handleUnaryCall<
    StandbyTokensRequest,
    StandbyTokensReply
  > = (call, callback) => {
    callback(null, handlers.handleStandbyTokens(call.request));
  };
  server.register(LimitsService, {
    acquireTokens,
    recallTokens,
    standbyTokens,
  });
}

/**
 * Binds the calls for tokens to a VM's channels.
 *
 * @param channels - channels to the other VMs
 * @returns functions that make the calls and never throw
 */
export function bindLimitsCalls(channels: PeerChannels): LimitsCalls {
  return {
    sendAcquireTokens: channels.bind(
      LimitsClient,
      (client) => client.acquireTokens.bind(client),
    ),
    sendRecallTokens: channels.bind(
      LimitsClient,
      (client) => client.recallTokens.bind(client),
    ),
    sendStandbyTokens: channels.bind(
      LimitsClient,
      (client) => client.standbyTokens.bind(client),
    ),
  };
}
