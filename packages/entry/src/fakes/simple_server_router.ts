/** A load balancer that picks a backend server with a free slot at random. */

import type { RandomSource } from "@limpetford/core/time/random_source";
import type { ServerId } from "@limpetford/domain/ids";
import { type BackendServer, SERVER_STATE } from "@limpetford/domain/service";

import type { ConfigurationSource } from "../ports/configuration_source.ts";
import {
  type FailedAttempt,
  type Placement,
  type PlacementRequest,
  type PlacementVerdict,
  type RetryVerdict,
  ServerRouter,
} from "../ports/server_router.ts";

const RETRY_AFTER_MS = 1_000;
const MAX_ATTEMPTS = 2;

/**
 * Counts only the requests of this VM against each server's slots. It has no
 * queue, no ejection and no hedges.
 */
export class SimpleServerRouter extends ServerRouter {
  readonly #configuration: ConfigurationSource;
  readonly #random: RandomSource;
  readonly #inUse = new Map<ServerId, number>();

  /**
   * Creates a router with all slots free.
   *
   * @param configuration - source of the backend servers
   * @param random - picks among the servers with a free slot
   */
  constructor(configuration: ConfigurationSource, random: RandomSource) {
    super();
    this.#configuration = configuration;
    this.#random = random;
  }

  override acquire(request: PlacementRequest): Promise<PlacementVerdict> {
    const servers = this.#listServers(request);
    if (servers.length === 0) {
      return Promise.resolve({
        kind: "no-server",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    const free = servers.filter((server) =>
      this.#countUsed(server) < server.slots
    );
    const server = free[this.#random.pickIndex(free.length)];
    if (server === undefined) {
      return Promise.resolve({
        kind: "overloaded",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    return Promise.resolve({
      kind: "placed",
      placement: this.#takeSlot(server),
    });
  }

  override planRetry(attempt: FailedAttempt): RetryVerdict {
    return attempt.request.attempt < MAX_ATTEMPTS
      ? { kind: "retry", delayMs: 0 }
      : { kind: "give-up" };
  }

  override planHedgeMs(): number | undefined {
    return undefined;
  }

  #listServers(request: PlacementRequest): readonly BackendServer[] {
    const configured = this.#configuration.readConfiguration()?.servers ?? [];
    return configured.filter((server) =>
      server.service === request.context.route.service &&
      server.state === SERVER_STATE.active &&
      !this.#configuration.isServerLeaving(server.id) &&
      !request.tried.includes(server.id)
    );
  }

  #countUsed(server: BackendServer): number {
    return this.#inUse.get(server.id) ?? 0;
  }

  #takeSlot(server: BackendServer): Placement {
    this.#inUse.set(server.id, this.#countUsed(server) + 1);
    let isOpen = true;
    return {
      server,
      complete: () => {
        if (isOpen) {
          isOpen = false;
          this.#inUse.set(server.id, this.#countUsed(server) - 1);
        }
      },
    };
  }
}
