/** Wires what keeps the rate limits that backend servers name. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import {
  RATE_LIMIT_NOTICE,
  type RateLimitNotice,
} from "@limpetford/domain/rate_limit_notice";
import type { TokenGrant } from "@limpetford/peer/fleet_sync";

import {
  LimitOwnership,
  type LimitOwnershipOptions,
} from "./limit_ownership.ts";
import {
  ServerLimitTracker,
  type ServerLimitTrackerOptions,
} from "./server_limit_tracker.ts";
import {
  ServerTokenClient,
  type ServerTokenClientOptions,
} from "./server_token_client.ts";
import { ServerTokenIssuer } from "./server_token_issuer.ts";

/** Dependencies of {@link ServerRateLimits}. */
export type ServerRateLimitsOptions =
  & LimitOwnershipOptions
  & ServerLimitTrackerOptions
  & Pick<ServerTokenClientOptions, "calls" | "exceptions" | "random">;

/** A request whose response has arrived. */
export interface AnsweredRequest {
  readonly id: string;
  /** Token with which it was sent; undefined if it needed none. */
  readonly grant: TokenGrant | undefined;
}

/** The parts of one VM that learn, share and keep servers' rate limits. */
export class ServerRateLimits {
  readonly tracker: ServerLimitTracker;
  readonly issuer: ServerTokenIssuer;
  readonly client: ServerTokenClient;
  readonly #options: ServerRateLimitsOptions;

  /**
   * Creates the parts; they know of no limit.
   *
   * @param options - this VM, its view of the others, calls, clock and log
   */
  constructor(options: ServerRateLimitsOptions) {
    const ownership = new LimitOwnership(options);
    this.#options = options;
    this.tracker = new ServerLimitTracker(options);
    this.issuer = new ServerTokenIssuer({
      ...options,
      ownership,
      tracker: this.tracker,
    });
    this.client = new ServerTokenClient({
      ...options,
      ownership,
      tracker: this.tracker,
      issuer: this.issuer,
    });
  }

  /**
   * Finds the rate limit that a server names.
   *
   * @param server - the server
   * @returns requests per second from all VMs together; undefined without one
   */
  findRateLimit(server: AnnouncedServer): number | undefined {
    return this.tracker.find(server)?.requestsPerSecond;
  }

  /**
   * Records what a response says of the limit of the server that sent it.
   *
   * @param server - the server, as announced when the request was sent
   * @param notice - limit named by the response
   * @param request - the request
   */
  observe(
    server: AnnouncedServer,
    notice: RateLimitNotice,
    request: AnsweredRequest,
  ): void {
    const grant = request.grant && { grant: request.grant };
    switch (notice.kind) {
      case RATE_LIMIT_NOTICE.none:
        if (grant !== undefined) {
          this.client.report(server, grant);
        }
        break;
      case RATE_LIMIT_NOTICE.named: {
        const { requestsPerSecond } = notice;
        this.tracker.recordNamed(server, requestsPerSecond);
        this.client.report(server, { requestsPerSecond, ...grant });
        break;
      }
      case RATE_LIMIT_NOTICE.unreadable:
        this.#options.log.record("server-limit-unreadable", {
          server: server.id,
          request: request.id,
        });
        break;
    }
  }

  /** Drops what is no longer needed. */
  update(): void {
    this.tracker.expire(this.#options.state.servers.listServers());
    this.issuer.expire();
  }
}
