/** Stops a VM gracefully within its grace period. */

import type { Clock } from "@limpetford/core/time/clock";

import type { CallerServer } from "../http/caller_server.ts";
import type { FleetExchange } from "./fleet_exchange.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { FleetPeers } from "./fleet_peers.ts";
import type { PlacementRouter } from "./placement_router.ts";
import type { StopSchedule } from "./stop_schedule.ts";

/** Share of the grace period for which a draining VM still accepts requests. */
const LINGER_SHARE = 0.6;
/**
 * How long a draining VM without recent requests still accepts requests, for
 * callers with a cached directory response.
 */
const IDLE_LINGER_MS = 1_600;
/** Share of the grace period after which in-flight requests are aborted. */
const FORCED_STOP_SHARE = 0.9;
/**
 * Share of the grace period in which a request is sent on an estimate of its
 * duration. It then has as much time again before it is aborted.
 */
const ESTIMATES_SHARE = FORCED_STOP_SHARE / 2;

/** Dependencies of a {@link FleetDrain}. */
export interface FleetDrainOptions {
  /** Time from the signal to stop until the process is killed. */
  readonly gracePeriodMs: number;
  readonly peers: FleetPeers;
  readonly exchange: FleetExchange;
  readonly router: PlacementRouter;
  readonly callerServer: CallerServer;
  readonly stop: StopSchedule;
  readonly clock: Clock;
  readonly log: FleetLog;
}

/**
 * Resigns as leader, still accepts requests for a while, then finishes those in
 * flight. What is left at the end gets a refusal that says whether it was sent.
 */
export class FleetDrain {
  readonly #options: FleetDrainOptions;

  /**
   * Prepares a drain; nothing changes before {@link run}.
   *
   * @param options - grace period and the components that stop
   */
  constructor(options: FleetDrainOptions) {
    this.#options = options;
  }

  /** Waits until no request is in flight or they have to be aborted. */
  async run(): Promise<void> {
    const { gracePeriodMs, peers, exchange, router, callerServer } =
      this.#options;
    const { stop, clock, log } = this.#options;
    const forcedStopMs = gracePeriodMs * FORCED_STOP_SHARE;
    const nowMs = clock.readMonotonicMs();
    stop.begin({
      estimatesUntilMs: nowMs + gracePeriodMs * ESTIMATES_SHARE,
      stopAtMs: nowMs + forcedStopMs,
    });
    log.record("drain-started", { inFlight: callerServer.inFlight });
    peers.isLeaving = true;
    peers.ownLeaderSinceMs = undefined;
    exchange.notifyPartners();
    const lingerMs = router.hasRecentRequests()
      ? gracePeriodMs * LINGER_SHARE
      : Math.min(IDLE_LINGER_MS, gracePeriodMs * LINGER_SHARE);
    const forcedStop = new Promise<void>((resolve) => {
      setTimeout(resolve, forcedStopMs).unref();
    });
    await Promise.race([callerServer.drain(lingerMs), forcedStop]);
    log.record("stopped", { inFlight: callerServer.inFlight });
    callerServer.abortRequests();
  }
}
