/** Follows the rate limits that backend servers name in their responses. */

import {
  type ServerLimit,
  ServerLimitRegistry,
} from "@limpetford/core/limits/server_limit_registry";
import type { Clock } from "@limpetford/core/time/clock";
import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import {
  RATE_LIMIT_NOTICE,
  type RateLimitNotice,
} from "@limpetford/domain/rate_limit_notice";

import type { FleetLog } from "./fleet_log.ts";

/** Source in the log of a limit that this VM has seen in a response. */
const SOURCE_OBSERVED = "observed";

/** Dependencies of a {@link ServerLimitTracker}. */
export interface ServerLimitTrackerOptions {
  readonly clock: Clock;
  readonly log: FleetLog;
}

/** Keeps the newest known limit of each server, and logs its changes. */
export class ServerLimitTracker {
  readonly #options: ServerLimitTrackerOptions;
  readonly #registry = new ServerLimitRegistry();

  /**
   * Starts without any limit.
   *
   * @param options - clock and log
   */
  constructor(options: ServerLimitTrackerOptions) {
    this.#options = options;
  }

  /**
   * Counts the servers with a limit.
   *
   * @returns number of servers
   */
  get limitedCount(): number {
    return this.#registry.limitedCount;
  }

  /**
   * Finds the limit of a server.
   *
   * @param server - the server, with the start that the limit must be of
   * @returns the limit or its end; undefined if nothing is known
   */
  find(server: AnnouncedServer): ServerLimit | undefined {
    return this.#registry.find(server.id, server.startedAtMs);
  }

  /**
   * Records what a response says of the limit of the server that sent it.
   *
   * @param server - the server, as announced when the request was sent
   * @param notice - limit named by the response
   * @param request - identifier of the request
   */
  observe(
    server: AnnouncedServer,
    notice: RateLimitNotice,
    request: string,
  ): void {
    switch (notice.kind) {
      case RATE_LIMIT_NOTICE.none:
        break;
      case RATE_LIMIT_NOTICE.named:
        this.#apply(server, {
          startedAtMs: server.startedAtMs,
          requestsPerSecond: notice.requestsPerSecond,
          knownAtMs: this.#options.clock.readMonotonicMs(),
        }, SOURCE_OBSERVED);
        break;
      case RATE_LIMIT_NOTICE.unreadable:
        this.#options.log.record("server-limit-unreadable", {
          server: server.id,
          request,
        });
        break;
    }
  }

  #apply(
    { id }: AnnouncedServer,
    limit: ServerLimit,
    source: string,
  ): void {
    const hasChanged = this.#registry.apply(id, limit);
    if (hasChanged && limit.requestsPerSecond !== undefined) {
      this.#options.log.record("server-limit-named", {
        server: id,
        requestsPerSecond: limit.requestsPerSecond,
        source,
      });
    }
  }
}
