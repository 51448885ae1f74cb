/** Wires the server that takes callers' requests on the users' platform. */

import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";

import { PlatformDialect } from "../dialect/platform_dialect.ts";
import { CallerServer } from "../http/caller_server.ts";
import type { InputLimiter } from "../http/input_limiter.ts";
import { computeHeldLimitBytes } from "../serving/memory_budget.ts";
import type { ContainedExceptions } from "../telemetry/contained_exceptions.ts";
import type { PrometheusMetrics } from "../telemetry/prometheus_metrics.ts";
import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import type { CrashGuard } from "./crash_guard.ts";
import { FleetDecisionLog } from "./fleet_decision_log.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import type { FleetState } from "./fleet_state.ts";
import { computeKeysTrustedMs } from "./key_trust.ts";
import type { PlacementRouter } from "./placement_router.ts";
import type { SharedRateLimiter } from "./shared_rate_limiter.ts";
import { EmptyEntrySelector, RefusingLedger } from "./unused_ports.ts";

/** Time beyond the callers' idle limit after which idle connections close. */
const IDLE_TIMEOUT_MARGIN_MS = 500;
/**
 * Limit of the HTTP parser in bytes. The limit for callers is part of the
 * configuration and is enforced later, on admission.
 */
export const PARSER_HEADER_BYTES = 65_536;

/** Components that take part in serving callers. */
export interface FleetCallerServerParts {
  readonly state: FleetState;
  readonly limiter: SharedRateLimiter;
  readonly router: PlacementRouter;
  readonly loop: EventLoopMonitor;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: FleetLog;
  readonly guard: CrashGuard;
  readonly metrics: PrometheusMetrics;
  readonly exceptions: ContainedExceptions;
  readonly inputs: InputLimiter;
  /** Size up to which the heap of the process may grow. */
  readonly heapLimitBytes: number;
}

/**
 * Creates the server for callers; it follows the limits of the configuration.
 *
 * @param settings - address and bounds
 * @param parts - components that take part in serving
 * @returns a server that does not listen yet
 */
export function createFleetCallerServer(
  { self, revocationMs }: FleetSettings,
  {
    state,
    limiter,
    log,
    guard,
    heapLimitBytes,
    ...parts
  }: FleetCallerServerParts,
): CallerServer {
  const server = new CallerServer({
    ...parts,
    configuration: state,
    rateLimiter: limiter,
    ledger: new RefusingLedger(),
    entrySelector: new EmptyEntrySelector(),
    decisions: new FleetDecisionLog(log, state, parts.clock),
    dialect: new PlatformDialect({
      state,
      keysTrustedForMs: computeKeysTrustedMs(revocationMs),
    }),
  }, {
    address: self.callerAddress,
    maxHeaderBytes: PARSER_HEADER_BYTES,
    backend: {
      handleIdleLost: (address) => {
        guard.observeIdleLost(address);
      },
    },
    heldBytes: computeHeldLimitBytes(heapLimitBytes),
  });
  state.subscribe(() => {
    const limits = state.active?.configuration.callerLimits;
    if (limits !== undefined) {
      server.setTimeouts({
        headersTimeoutMs: limits.headerTimeoutMs,
        keepAliveTimeoutMs: limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS,
      });
    }
  });
  return server;
}
