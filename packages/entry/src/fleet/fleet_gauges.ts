/** Prometheus gauges of a VM in the fleet. */

import { BUILD } from "@limpetford/domain/build";
import { SERVER_STATE } from "@limpetford/domain/service";
import type { StoreClient } from "@limpetford/platform/store/store_client";

import type { CallerServer } from "../http/caller_server.ts";
import type { PrometheusMetrics } from "../telemetry/prometheus_metrics.ts";
import type { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import type { FleetPeers } from "./fleet_peers.ts";
import type { FleetState } from "./fleet_state.ts";
import type { ServerRateLimits } from "./server_rate_limits.ts";
import type { ServiceBalancers } from "./service_balancers.ts";

const MS_PER_S = 1_000;

/** Components that the gauges read their values from. */
export interface FleetGaugeSources {
  readonly state: FleetState;
  readonly peers: FleetPeers;
  readonly balancers: ServiceBalancers;
  readonly limits: ServerRateLimits;
  readonly client: StoreClient;
  readonly loop: EventLoopMonitor;
  readonly callerServer: CallerServer;
}

/**
 * Registers the gauges of a VM.
 *
 * @param metrics - registry that serves them
 * @param sources - components that the values are read from on each scrape
 */
export function addFleetGauges(
  metrics: PrometheusMetrics,
  sources: FleetGaugeSources,
): void {
  const { state, peers, balancers, limits, client, loop, callerServer } =
    sources;
  metrics.addInfo("build_info", "build that the VM runs", { build: BUILD });
  metrics.addGauge(
    "loop_delay_seconds",
    "longest delay of timers and requests within the last one to two seconds",
    () => loop.longestDelayMs / MS_PER_S,
  );
  metrics.addGauge(
    "configuration_version",
    "version of the configuration in force",
    () => state.active?.configuration.version ?? 0,
  );
  metrics.addGauge(
    "configuration_age_seconds",
    "age of the proof that the configuration is the newest",
    () => state.configurationAgeMs / MS_PER_S,
  );
  metrics.addGauge(
    "store_era",
    "times that the store has returned from an older copy",
    () => state.storeEra,
  );
  metrics.addGauge(
    "servers_age_seconds",
    "age of the proof that the list of backend servers is complete",
    () => state.serversAgeMs / MS_PER_S,
  );
  metrics.addGauge(
    "servers",
    "backend servers that are not gone",
    () => state.servers.listServers().length,
  );
  metrics.addGauge(
    "in_flight_requests",
    "requests that have not ended",
    () => callerServer.inFlight,
  );
  metrics.addGauge(
    "held_bytes",
    "memory that open requests and connections of callers hold, estimated",
    () => callerServer.memory.heldBytes,
  );
  metrics.addGauge(
    "held_bytes_limit",
    "held memory above which requests are refused",
    () => callerServer.memory.limitBytes,
  );
  metrics.addGauge(
    "waiting_requests",
    "requests that wait for a slot",
    () => balancers.countWaiting(),
  );
  metrics.addGauge(
    "refused_server_entries",
    "entries among those of the servers that name no server",
    () => state.refusedServers.count,
  );
  metrics.addGauge(
    "gray_servers",
    "backend servers more likely gray than well",
    () => balancers.countGray(),
  );
  metrics.addGauge(
    "unreachable_services",
    "services to none of whose servers this VM can connect",
    () => balancers.list().filter(({ reach }) => reach.isUnreachable).length,
  );
  metrics.addGauge(
    "leaving_servers",
    "backend servers that have announced or said that they leave",
    () =>
      state.servers.listServers().filter((server) =>
        server.state === SERVER_STATE.leaving
      ).length,
  );
  metrics.addGauge(
    "paused_servers",
    "backend servers that want no requests from this VM for a while",
    () => balancers.countPaused(),
  );
  metrics.addGauge(
    "limited_servers",
    "backend servers that name a rate limit",
    () => limits.tracker.limitedCount,
  );
  metrics.addGauge(
    "is_lead",
    "1 if this VM takes the callers of its zone",
    () => peers.ownLeaderSinceMs === undefined ? 0 : 1,
  );
  metrics.addGauge(
    "store_calls",
    "calls made to the platform's store",
    () => client.callCount,
  );
}
