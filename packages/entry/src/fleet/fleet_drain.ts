/** Stops a VM gracefully within its grace period. */

import type { Clock } from "@limpetford/core/time/clock";

import type { CallerServer } from "../http/caller_server.ts";
import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";
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
  readonly peers: Pick<FleetPeers, "isLeaving" | "ownLeaderSinceMs">;
  readonly exchange: Pick<FleetExchange, "notifyPartners">;
  readonly router: Pick<PlacementRouter, "hasRecentRequests">;
  readonly callerServer: Pick<
    CallerServer,
    "inFlight" | "drain" | "abortRequests"
  >;
  readonly stop: Pick<StopSchedule, "begin">;
  readonly clock: Clock;
  readonly log: Pick<FleetLog, "record">;
  /** Receives what a step of the stop throws; the other steps follow. */
  readonly exceptions: ContainedExceptions;
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
    const { gracePeriodMs, peers, exchange, callerServer } = this.#options;
    const { stop, clock, log } = this.#options;
    const forcedStopMs = gracePeriodMs * FORCED_STOP_SHARE;
    const forcedStop = new Promise<void>((resolve) => {
      setTimeout(resolve, forcedStopMs).unref();
    });
    peers.isLeaving = true;
    peers.ownLeaderSinceMs = undefined;
    this.#runStep(() => {
      const nowMs = clock.readMonotonicMs();
      stop.begin({
        estimatesUntilMs: nowMs + gracePeriodMs * ESTIMATES_SHARE,
        stopAtMs: nowMs + forcedStopMs,
      });
    });
    this.#runStep(() => {
      log.record("drain-started", { inFlight: callerServer.inFlight });
    });
    this.#runStep(() => {
      exchange.notifyPartners();
    });
    await Promise.race([this.#drainCallers(forcedStop), forcedStop]);
    this.#runStep(() => {
      log.record("stopped", { inFlight: callerServer.inFlight });
    });
    this.#runStep(() => {
      callerServer.abortRequests();
    });
  }

  // What is in flight has its time also if the drain fails.
  async #drainCallers(forcedStop: Promise<void>): Promise<void> {
    try {
      await this.#options.callerServer.drain(this.#computeLingerMs());
    } catch (error) {
      this.#options.exceptions.report(EXCEPTION_SOURCE.stop, error);
      await forcedStop;
    }
  }

  #computeLingerMs(): number {
    const { gracePeriodMs, router } = this.#options;
    let lingerMs = gracePeriodMs * LINGER_SHARE;
    this.#runStep(() => {
      if (!router.hasRecentRequests()) {
        lingerMs = Math.min(IDLE_LINGER_MS, lingerMs);
      }
    });
    return lingerMs;
  }

  #runStep(step: () => void): void {
    try {
      step();
    } catch (error) {
      this.#options.exceptions.report(EXCEPTION_SOURCE.stop, error);
    }
  }
}
