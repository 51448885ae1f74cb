/** Builds the components of one VM and connects them. */

import { FactStore } from "@limpetford/core/gossip/fact_store";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import {
  bindLimitsCalls,
  registerLimitsService,
} from "@limpetford/peer/limits_handlers";
import {
  bindOwnershipCalls,
  registerOwnershipService,
} from "@limpetford/peer/ownership_handlers";
import { PeerChannels } from "@limpetford/peer/peer_channels";
import { PeerServer } from "@limpetford/peer/peer_server";

import { ClaimLedger } from "../components/claims/claim_ledger.ts";
import { ConfigurationComponent } from "../components/configuration/configuration_component.ts";
import { ConfigurationEncoder } from "../components/configuration/configuration_transfer.ts";
import { RateLimiterComponent } from "../components/limits/rate_limiter_component.ts";
import { MembershipComponent } from "../components/membership/membership_component.ts";
import { OwnershipComponent } from "../components/ownership/ownership_component.ts";
import { OwnershipEntrySelector } from "../components/ownership/ownership_entry_selector.ts";
import { ServerRouterComponent } from "../components/routing/server_router_component.ts";
import type { VmComponent } from "../ports/vm_component.ts";
import type { ServingPorts } from "../serving/serving_ports.ts";
import { SystemTimers } from "./system_timers.ts";
import type { VmDependencies } from "./vm_dependencies.ts";
import type { VmSettings } from "./vm_settings.ts";

/** The components of one VM, except its HTTP servers. */
export interface VmParts {
  readonly ports: ServingPorts;
  readonly peerServer: PeerServer;
  readonly channels: PeerChannels;
  readonly facts: FactStore;
  readonly fleet: FleetView;
  readonly ownership: OwnershipComponent;
  /** In start order; they stop in reverse order. */
  readonly components: readonly VmComponent[];
}

/**
 * Builds the components; nothing runs before they are started.
 *
 * @param settings - settings whose ports are all resolved
 * @param dependencies - platform services, clock, random source, telemetry
 * @returns components that have not been started
 */
export function buildVmParts(
  settings: VmSettings,
  dependencies: VmDependencies,
): VmParts {
  const { clock, random, log } = dependencies;
  const peerServer = new PeerServer();
  const channels = buildChannels(settings, dependencies);
  const facts = new FactStore();
  const membership = new MembershipComponent({
    self: settings.self,
    list: dependencies.vmList,
    channels,
    server: peerServer,
    facts,
    clock,
    random,
  });
  const configuration = new ConfigurationComponent({
    log,
    facts,
    clock,
    random,
    peers: membership,
  });
  const encoder = new ConfigurationEncoder();
  membership.setConfigurationResponder((request) =>
    encoder.buildReply(request, configuration.readState())
  );
  const timers = new SystemTimers();
  const fleet = membership.membership;
  const calls = bindOwnershipCalls(channels);
  const ownership = new OwnershipComponent({
    clock,
    timers,
    fleet,
    facts,
    log,
    calls,
  });
  registerOwnershipService(peerServer, ownership.handlers);
  const rateLimiter = new RateLimiterComponent({
    configuration,
    ownership,
    fleet,
    calls: bindLimitsCalls(channels),
    clock,
    timers,
  });
  registerLimitsService(peerServer, rateLimiter);
  ownership.registerShardComponent(rateLimiter);
  const ledger = new ClaimLedger({ clock, timers, fleet, ownership, calls });
  const servers = new ServerRouterComponent({
    clock,
    random,
    configuration,
    fleet,
    ownership,
    facts,
    channels,
    server: peerServer,
  });
  ownership.registerShardComponent(servers.evidence);
  const entrySelector = new OwnershipEntrySelector({
    configuration,
    ownership,
    fleet,
    random,
  });
  const { metrics, spans, exceptions } = dependencies;
  const ports: ServingPorts = {
    configuration,
    rateLimiter,
    ledger,
    router: servers.router,
    entrySelector,
    clock,
    random,
    ...metrics === undefined ? {} : { metrics },
    ...spans === undefined ? {} : { spans },
    ...exceptions === undefined ? {} : { exceptions },
  };
  return {
    ports,
    peerServer,
    channels,
    facts,
    fleet,
    ownership,
    components: [
      membership,
      configuration,
      rateLimiter,
      ownership,
      ledger,
      servers,
    ],
  };
}

function buildChannels(
  settings: VmSettings,
  dependencies: VmDependencies,
): PeerChannels {
  const { peerTls } = settings;
  const { linkFaults } = dependencies;
  return new PeerChannels({
    ...peerTls === undefined ? {} : { tls: peerTls },
    ...linkFaults === undefined ? {} : { linkFaults },
  });
}
