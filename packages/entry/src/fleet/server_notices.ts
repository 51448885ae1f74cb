/** Acts on what backend servers say of their state in their responses. */

import type { TakenSlot } from "@limpetford/core/placement/placement_decision";
import type { Clock } from "@limpetford/core/time/clock";
import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { ServerNotice } from "@limpetford/domain/server_notice";

import type { FleetLog } from "./fleet_log.ts";
import type { FleetState } from "./fleet_state.ts";
import type {
  AnsweredRequest,
  ServerRateLimits,
} from "./server_rate_limits.ts";
import type { Balancer } from "./service_balancers.ts";

/** Dependencies of {@link ServerNotices}. */
export interface ServerNoticesOptions {
  readonly state: FleetState;
  readonly limits: ServerRateLimits;
  readonly clock: Clock;
  readonly log: FleetLog;
  /** Called when this VM is the first to hear that a server leaves. */
  readonly notifyChange: () => void;
}

/**
 * Passes on what a response says of its server. That a server leaves is a fact
 * that all VMs learn; a pause is between the server and this VM.
 */
export class ServerNotices {
  readonly #options: ServerNoticesOptions;

  /**
   * Creates the receiver of notices.
   *
   * @param options - state, rate limits, clock and log
   */
  constructor(options: ServerNoticesOptions) {
    this.#options = options;
  }

  /**
   * Records what a response says of the server that sent it.
   *
   * @param server - the server, as announced when the request was sent
   * @param notice - state according to the response
   * @param source - load balancer of the server's service, slot and request
   */
  observe(
    server: AnnouncedServer,
    notice: ServerNotice,
    { balancer, slot, request }: {
      readonly balancer: Balancer;
      readonly slot: TakenSlot;
      readonly request: AnsweredRequest;
    },
  ): void {
    const { state, limits, clock, log, notifyChange } = this.#options;
    const line = { server: server.id, request: request.id };
    limits.observe(server, notice.rateLimit, request);
    if (notice.isLeaving && state.markServerLeaving(server)) {
      log.record("server-leaving", line);
      notifyChange();
    }
    const { pauseMs = 0 } = notice;
    if (pauseMs > 0) {
      const nowMs = clock.readMonotonicMs();
      balancer.servers.recordPause(server, nowMs + pauseMs, nowMs);
      log.record("server-paused", { ...line, forMs: Math.round(pauseMs) });
    } else {
      slot.server.recordAccepted(slot.running);
    }
  }
}
