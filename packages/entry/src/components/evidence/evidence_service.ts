/** Registers the RPC service of the evidence protocol at a VM's peer server. */

import {
  type handleUnaryCall,
  type sendUnaryData,
  type ServerUnaryCall,
  status,
} from "@grpc/grpc-js";
import {
  type CrashRequest,
  type DecisionMessage,
  EvidenceService,
  type PermitReleaseRequest,
  type PermitRequest,
  type ReportReply,
  type ReportRequest,
  type SuspicionRequest,
} from "@limpetford/peer/generated/evidence";
import type { PeerServer } from "@limpetford/peer/peer_server";

/** Handlers of the calls of the evidence protocol. */
export interface EvidenceHandlers {
  /** Returns undefined if this VM is not the holder. */
  readonly handleReport: (request: ReportRequest) => ReportReply | undefined;
  readonly handleCrash: (request: CrashRequest) => void;
  /** Returns the verdict; `no-holder` if this VM is not the holder. */
  readonly handlePermit: (request: PermitRequest) => string;
  readonly handleRelease: (request: PermitReleaseRequest) => void;
  /** Returns JSON text; undefined if this VM is not the holder. */
  readonly handleStatus: (service: string) => string | undefined;
  readonly handleDecision: (message: DecisionMessage) => void;
  readonly handleSuspicion: (request: SuspicionRequest) => void;
}

/**
 * Registers the service. A handler that returns undefined fails its call with
 * `FAILED_PRECONDITION`.
 *
 * @param server - the peer server, not yet bound
 * @param handlers - handlers of the calls
 */
export function registerEvidenceService(
  server: PeerServer,
  handlers: EvidenceHandlers,
): void {
  server.register(EvidenceService, {
    report: buildHandler(handlers.handleReport),
    crash: buildHandler((request: CrashRequest) => {
      handlers.handleCrash(request);
      return {};
    }),
    permit: buildHandler((request: PermitRequest) => ({
      verdict: handlers.handlePermit(request),
    })),
    releasePermit: buildHandler((request: PermitReleaseRequest) => {
      handlers.handleRelease(request);
      return {};
    }),
    status: buildHandler((request: { readonly service: string }) => {
      const json = handlers.handleStatus(request.service);
      return json === undefined ? undefined : { json };
    }),
    decide: buildHandler((message: DecisionMessage) => {
      handlers.handleDecision(message);
      return {};
    }),
    suspect: buildHandler((request: SuspicionRequest) => {
      handlers.handleSuspicion(request);
      return {};
    }),
  });
}

function buildHandler<Request, Reply>(
  handle: (request: Request) => Reply | undefined,
): handleUnaryCall<Request, Reply> {
  return (
    call: ServerUnaryCall<Request, Reply>,
    callback: sendUnaryData<Reply>,
  ) => {
    const reply = handle(call.request);
    if (reply === undefined) {
      callback({ code: status.FAILED_PRECONDITION, details: "not the holder" });
    } else {
      callback(null, reply);
    }
  };
}
