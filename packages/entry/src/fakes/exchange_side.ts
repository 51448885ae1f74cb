/** One VM's side of the exchange between VMs, without any network. */

import type { Clock } from "@limpetford/core/time/clock";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import {
  type RegionId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import { makeError } from "@limpetford/domain/result";
import type { SocketAddress, Vm } from "@limpetford/domain/vm";
import { StoreClient } from "@limpetford/platform/store/store_client";

import { TcpConnectProbe } from "../fleet/connect_probe.ts";
import { CrashProtection } from "../fleet/crash_protection.ts";
import { FleetLog } from "../fleet/fleet_log.ts";
import { FleetPeers } from "../fleet/fleet_peers.ts";
import { FleetReach } from "../fleet/fleet_reach.ts";
import { FleetState } from "../fleet/fleet_state.ts";
import {
  ServerRateLimits,
  type ServerRateLimitsOptions,
} from "../fleet/server_rate_limits.ts";
import { ServiceBalancers } from "../fleet/service_balancers.ts";
import {
  SharedRateLimiter,
  type SharedRateLimiterOptions,
} from "../fleet/shared_rate_limiter.ts";
import { SUSPICION_READER } from "../fleet/suspicions_handler.ts";
import { SyncMessages } from "../fleet/sync_messages.ts";
import { CollectedExceptions } from "./collected_exceptions.ts";

/**
 * Builds the record of a VM.
 *
 * @param id - identifier of the VM
 * @param startedAtMs - wall-clock time of its start, in milliseconds
 * @param zone - its availability zone
 * @returns the record, with addresses that nothing listens on
 */
export function buildExchangeVm(id: string, startedAtMs = 1, zone = "z"): Vm {
  return {
    incarnation: { vm: toId<VmId>(id), startedAtMs },
    zone: toId<ZoneId>(zone),
    region: toId<RegionId>("r"),
    callerAddress: { host: "10.0.0.1", port: 1 },
    peerAddress: { host: id, port: 2 },
    weight: 1,
  };
}

/** Options of an {@link ExchangeSide}. */
export interface ExchangeSideOptions {
  /** Wall-clock time of the VM's start, in milliseconds; default 1. */
  readonly startedAtMs?: number;
  /** Build that the VM runs; by default that of the tests. */
  readonly build?: string;
  /** Availability zone; default `z`. */
  readonly zone?: string;
  /** Address for calls between VMs; by default nothing listens on it. */
  readonly peerAddress?: SocketAddress;
  /** Overrides of the options of the limiter, which else is the only one. */
  readonly limiter?: Partial<SharedRateLimiterOptions>;
  /** Calls for the tokens of servers' rate limits; by default all are lost. */
  readonly calls?: ServerRateLimitsOptions["calls"];
}

const LOST = makeError({ kind: "peer-reply-lost", cause: "cut" } as const);
const LOST_CALLS: ServerRateLimitsOptions["calls"] = {
  sendServerTokenRequest: () => Promise.resolve(LOST),
  sendServerLimitReport: () => Promise.resolve(LOST),
};

/** The components of one VM that take part in an exchange of messages. */
export class ExchangeSide {
  readonly self: Vm;
  readonly state: FleetState;
  readonly peers: FleetPeers;
  readonly messages: SyncMessages;
  readonly balancers: ServiceBalancers;
  readonly log: FleetLog;
  readonly exceptions = new CollectedExceptions();
  readonly crashes: CrashProtection;
  readonly limits: ServerRateLimits;
  readonly reach: FleetReach;
  readonly limiter: SharedRateLimiter;

  /**
   * Creates the components, which know only this VM.
   *
   * @param id - identifier of the VM
   * @param clock - shared by all sides
   * @param options - start of the VM, and calls for tokens
   */
  constructor(
    id: string,
    clock: Clock,
    options: ExchangeSideOptions = {},
  ) {
    const self = buildExchangeVm(id, options.startedAtMs, options.zone);
    this.self = {
      ...self,
      peerAddress: options.peerAddress ?? self.peerAddress,
    };
    this.state = new FleetState(clock);
    this.state.applyVm(this.self);
    this.state.markCrashingRequestsKnown();
    this.peers = new FleetPeers(this.self, this.state, clock);
    this.log = new FleetLog({ clock, level: "error", vm: id });
    const { state, peers, log, exceptions } = this;
    this.crashes = new CrashProtection({
      probe: new TcpConnectProbe(),
      client: new StoreClient({ host: "127.0.0.1", port: 1 }),
      clock,
      log,
      exceptions,
      verifyLinks: () => Promise.resolve(true),
      findStart: (server) => state.findServer(server),
      readReader: () => SUSPICION_READER.none,
      notifyNews: () => undefined,
      handleInformed: () => undefined,
    });
    this.limits = new ServerRateLimits({
      self: this.self,
      state,
      peers,
      clock,
      log,
      exceptions,
      random: new SeededRandomSource(1),
      notifyChange: () => undefined,
      calls: options.calls ?? LOST_CALLS,
    });
    this.balancers = new ServiceBalancers({
      state,
      clock,
      random: new SeededRandomSource(1),
      zone: this.self.zone,
      minimumShare: 0.7,
      retryBounds: { ratio: 0.2, slack: 60, windowMs: 10_000 },
      findRateLimit: () => undefined,
    });
    this.reach = new FleetReach({
      self: this.self,
      peers,
      balancers: this.balancers,
      monitor: { verify: () => Promise.resolve() },
      clock,
      exceptions,
      notifyChange: () => undefined,
    });
    this.limiter = new SharedRateLimiter({
      self: this.self,
      state,
      peers,
      clock,
      log,
      sendTokenRequest: () => Promise.resolve(undefined),
      isFirstStart: true,
      hasOtherSeeds: false,
      tolerance: 0,
      ...options.limiter,
    });
    this.messages = new SyncMessages({
      self: this.self,
      state,
      peers,
      balancers: this.balancers,
      limiter: this.limiter,
      suspicions: this.crashes.suspicions,
      serverLimits: this.limits.tracker,
      reach: this.reach,
      clock,
      log,
      ...options.build === undefined ? {} : { build: options.build },
    });
  }
}
