/** Obtains tokens for requests to backend servers that name a rate limit. */

import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";
import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { Result } from "@limpetford/domain/result";
import type { Vm } from "@limpetford/domain/vm";
import type {
  FleetCallClient,
  FleetCallOptions,
} from "@limpetford/peer/fleet_calls";
import type {
  ServerLimitReport,
  ServerTokenReply,
  ServerTokenRequest,
  TokenGrant,
} from "@limpetford/peer/fleet_sync";
import type { PeerError } from "@limpetford/peer/peer_error";

import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { LimitOwnership } from "./limit_ownership.ts";
import type { ServerLimitTracker } from "./server_limit_tracker.ts";
import type { ServerTokenIssuer } from "./server_token_issuer.ts";

/** Timeout of a call to the VM that grants. */
const CALL_TIMEOUT_MS = 60;
/** Time until the next request for a token that could not be asked for. */
const NO_OWNER_RETRY_MS = 250;
/**
 * Mean delay after the time of the next token at a VM with one waiting request.
 * VMs with more wait less, so that tokens go where requests wait.
 */
const RACE_MS = 100;

/** Decision on a request for a token. */
export type TokenVerdict =
  /** `grant` is undefined if the server needs no token after all. */
  | { readonly kind: "granted"; readonly grant: TokenGrant | undefined }
  | {
    readonly kind: "refused";
    readonly cause: "no-token" | "not-owner" | "no-owner" | "owner-silent";
    readonly retryAfterMs: number;
  };

/** Dependencies of a {@link ServerTokenClient}. */
export interface ServerTokenClientOptions {
  readonly self: Vm;
  readonly ownership: LimitOwnership;
  readonly tracker: ServerLimitTracker;
  readonly issuer: ServerTokenIssuer;
  readonly calls: Pick<
    FleetCallClient,
    "sendServerTokenRequest" | "sendServerLimitReport"
  >;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: FleetLog;
  /** Receives what a call throws; its reply counts as lost. */
  readonly exceptions: ContainedExceptions;
}

/** Asks for tokens, and reports what responses say of limits. */
export class ServerTokenClient {
  readonly #options: ServerTokenClientOptions;

  /**
   * Creates a client without any state of its own.
   *
   * @param options - ownership, known limits and calls
   */
  constructor(options: ServerTokenClientOptions) {
    this.#options = options;
  }

  /**
   * Asks for a token for one request.
   *
   * @param server - server that the request is for
   * @param waitingCount - requests for the service that wait at this VM
   * @returns the decision; never rejects
   */
  async take(
    server: AnnouncedServer,
    waitingCount: number,
  ): Promise<TokenVerdict> {
    try {
      return await this.#take(server, waitingCount);
    } catch (error) {
      this.#options.exceptions.report(EXCEPTION_SOURCE.peer, error);
      return makeRefusal("owner-silent", NO_OWNER_RETRY_MS);
    }
  }

  async #take(
    server: AnnouncedServer,
    waitingCount: number,
  ): Promise<TokenVerdict> {
    const { tracker, ownership } = this.#options;
    const limit = tracker.findRow(server);
    if (limit?.requestsPerSecond === undefined) {
      return { kind: "granted", grant: undefined };
    }
    const owner = ownership.findOwner(server.zone);
    if (owner === undefined) {
      return makeRefusal("no-owner", NO_OWNER_RETRY_MS);
    }
    const reply = await this.#sendRequest(owner, { limit, zone: server.zone });
    switch (reply?.kind) {
      case undefined:
        return makeRefusal("owner-silent", NO_OWNER_RETRY_MS);
      case "granted":
        return reply;
      case "refused":
        return makeRefusal(
          "no-token",
          reply.retryAfterMs + this.#sampleRaceMs(waitingCount),
        );
      case "not-owner":
        return makeRefusal("not-owner", NO_OWNER_RETRY_MS);
      case "ended":
        tracker.applyEnd(server, reply.ageMs, owner.incarnation.vm);
        return { kind: "granted", grant: undefined };
    }
  }

  /**
   * Reports what a response says of its server's limit to the VM that grants.
   *
   * @param server - server that sent the response
   * @param report - the limit, and the grant of the request
   */
  report(
    { id, startedAtMs, zone }: AnnouncedServer,
    report: Pick<ServerLimitReport, "requestsPerSecond" | "grant">,
  ): void {
    const { self, ownership, issuer, calls, exceptions } = this.#options;
    const full = { server: id, startedAtMs, ...report };
    const owner = ownership.findOwner(zone);
    if (owner?.incarnation.vm === self.incarnation.vm) {
      issuer.handleReport(full);
    } else if (owner !== undefined) {
      const call = this.#sendCall(
        owner,
        (options) => calls.sendServerLimitReport(full, options),
      );
      void exceptions.wait(EXCEPTION_SOURCE.peer, call);
    }
  }

  async #sendRequest(
    owner: Vm,
    request: ServerTokenRequest,
  ): Promise<ServerTokenReply | undefined> {
    const { self, issuer, calls } = this.#options;
    return owner.incarnation.vm === self.incarnation.vm
      ? issuer.handleRequest(request)
      : await this.#sendCall(
        owner,
        (options) => calls.sendServerTokenRequest(request, options),
      );
  }

  async #sendCall<Reply>(
    owner: Vm,
    send: (options: FleetCallOptions) => Promise<Result<Reply, PeerError>>,
  ): Promise<Reply | undefined> {
    const reply = await send({
      to: owner.peerAddress,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (reply.ok) {
      return reply.value;
    }
    this.#options.log.record("server-token-lost", {
      owner: owner.incarnation.vm,
      cause: reply.error.cause,
    });
    return undefined;
  }

  // Exponentially distributed, so that the VM that asks first is drawn in
  // proportion to the requests that wait.
  #sampleRaceMs(waitingCount: number): number {
    const { random } = this.#options;
    return -Math.log(1 - random.sampleUniform()) * RACE_MS / (waitingCount + 1);
  }
}

function makeRefusal(
  cause: Extract<TokenVerdict, { kind: "refused" }>["cause"],
  retryAfterMs: number,
): TokenVerdict {
  return { kind: "refused", cause, retryAfterMs };
}
