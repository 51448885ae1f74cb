/** One VM of the fleet: wires its components and runs them until it drains. */

import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";
import { BUILD } from "@limpetford/domain/build";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import { FleetCallClient } from "@limpetford/peer/fleet_calls";
import { StoreClient } from "@limpetford/platform/store/store_client";

import type { CallerServer } from "../http/caller_server.ts";
import type { InputLimiter } from "../http/input_limiter.ts";
import type { ContainedExceptions } from "../telemetry/contained_exceptions.ts";
import type { PrometheusMetrics } from "../telemetry/prometheus_metrics.ts";
import { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import { TcpConnectProbe } from "./connect_probe.ts";
import { CrashProtection } from "./crash_protection.ts";
import { DirectoryServer } from "./directory_server.ts";
import { createFleetCallerServer } from "./fleet_caller_server.ts";
import { FleetDirectory } from "./fleet_directory.ts";
import { FleetDrain } from "./fleet_drain.ts";
import { FleetExchange } from "./fleet_exchange.ts";
import { addFleetGauges } from "./fleet_gauges.ts";
import type { FleetLog } from "./fleet_log.ts";
import { FleetPeers } from "./fleet_peers.ts";
import { FleetReach } from "./fleet_reach.ts";
import { type FleetSettings, listOtherSeeds } from "./fleet_settings.ts";
import { FleetState } from "./fleet_state.ts";
import { GuardedConnectProbe } from "./guarded_connect_probe.ts";
import { stopParts } from "./part_stop.ts";
import { PlacementRouter } from "./placement_router.ts";
import { startRegularSteps } from "./regular_steps.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import { ServerRateLimits } from "./server_rate_limits.ts";
import { ServerReachMonitor } from "./server_reach_monitor.ts";
import { ServiceBalancers } from "./service_balancers.ts";
import { SharedRateLimiter } from "./shared_rate_limiter.ts";
import { StopSchedule } from "./stop_schedule.ts";
import { StoreEraRecord } from "./store_era_record.ts";
import { ConfigurationHandler, ServersHandler } from "./store_handlers.ts";
import {
  CONFIGURATION_AGE_SHARES,
  SERVERS_AGE_SHARES,
  StoreReadSchedule,
} from "./store_read_schedule.ts";
import { TopicConsumer } from "./topic_consumer.ts";
import { VmRegistration } from "./vm_registration.ts";
import { VmsHandler } from "./vms_handler.ts";
import { ZoneTraffic } from "./zone_traffic.ts";

/** Time between checks for deferred removals and for records to be written. */
const MAINTENANCE_INTERVAL_MS = 250;
/** Timeout of a call that asks another VM for a token. */
const TOKEN_TIMEOUT_MS = 60;
/** VMs spread their reads after a return of the store over this time. */
const SNAPSHOT_SPREAD_MS = 1_000;
/** How long a read waits for a new record, as a share of the same time. */
const CONFIGURATION_WAIT_SHARE = 0.1;

/** Dependencies of a {@link FleetVm}. */
export interface FleetVmDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: FleetLog;
  readonly metrics: PrometheusMetrics;
  /** Size up to which the heap of the process may grow. */
  readonly heapLimitBytes: number;
  readonly exceptions: ContainedExceptions;
  /** Bounds what is sent to the servers of this VM. */
  readonly inputs: InputLimiter;
}

/**
 * Proxies callers' requests, serves the directory, and keeps its state current
 * from the store and from other VMs.
 */
export class FleetVm {
  readonly #settings: FleetSettings;
  readonly #dependencies: FleetVmDependencies;
  readonly #state: FleetState;
  readonly #peers: FleetPeers;
  readonly #crashes: CrashProtection;
  readonly #limits: ServerRateLimits;
  readonly #reach: ServerReachMonitor;
  readonly #balancers: ServiceBalancers;
  readonly #router: PlacementRouter;
  readonly #exchange: FleetExchange;
  readonly #client: StoreClient;
  readonly #loop: EventLoopMonitor;
  readonly #stop = new StopSchedule();
  readonly #calls: FleetCallClient;
  readonly #callerServer: CallerServer;
  readonly #directory: DirectoryServer;
  readonly #consumers: readonly TopicConsumer[];
  readonly #servers: ServersHandler;
  readonly #storeEra: StoreEraRecord;
  readonly #registration: VmRegistration;
  readonly #reads: StoreReadSchedule;
  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates all components; nothing runs before {@link start}.
   *
   * @param settings - validated settings of this VM
   * @param dependencies - clock, randomness, log and metrics
   */
  constructor(settings: FleetSettings, dependencies: FleetVmDependencies) {
    const { clock, random, log, metrics, exceptions } = dependencies;
    const { self } = settings;
    const notifyChange = (): void => {
      this.#exchange.notifyPartners();
    };
    this.#settings = settings;
    this.#dependencies = dependencies;
    const otherSeeds = listOtherSeeds(settings);
    this.#reads = new StoreReadSchedule({
      clock,
      random,
      isSeed: otherSeeds.length < settings.seeds.length,
      readers: {
        computeReaderRank: () => this.#exchange.computeReaderRank(),
        isIsolated: () => this.#exchange.isIsolated,
      },
    });
    this.#loop = new EventLoopMonitor(clock);
    this.#client = new StoreClient(settings.storeAddress);
    this.#registration = new VmRegistration(self, {
      ...dependencies,
      client: this.#client,
    });
    const state = this.#state = new FleetState(clock);
    state.applyVm(self);
    const traffic = new ZoneTraffic({ self, state, metrics });
    this.#calls = new FleetCallClient(traffic, exceptions.buildHandler("peer"));
    this.#peers = new FleetPeers(self, state, clock);
    const probe = new GuardedConnectProbe(new TcpConnectProbe(), exceptions);
    this.#directory = new DirectoryServer(
      new FleetDirectory({ self, state, peers: this.#peers, clock }),
      dependencies,
    );
    this.#crashes = new CrashProtection({
      ...dependencies,
      probe,
      verifyLinks: (server) => this.#reach.verifyLinks(server),
      findStart: (server) => state.findServer(server),
      client: this.#client,
      readReader: () => this.#reads.decideSuspicionReader(),
      notifyNews: () => {
        this.#exchange.sendEvidence();
      },
      handleInformed: () => {
        state.markCrashingRequestsKnown();
      },
    });
    this.#limits = new ServerRateLimits({
      ...dependencies,
      self,
      state,
      peers: this.#peers,
      calls: this.#calls,
      notifyChange,
    });
    this.#balancers = new ServiceBalancers({
      state,
      clock,
      random,
      zone: self.zone,
      minimumShare: settings.minimumShare,
      retryBounds: settings.retryBounds,
      findRateLimit: (server) => this.#limits.findRateLimit(server),
    });
    this.#reach = new ServerReachMonitor({
      ...dependencies,
      balancers: this.#balancers,
      probe,
      handleChange: (change, addresses) => {
        this.#handleReachChange(change, addresses);
      },
    });
    const fleetReach = new FleetReach({
      ...dependencies,
      self,
      peers: this.#peers,
      balancers: this.#balancers,
      monitor: this.#reach,
      notifyChange,
    });
    const forwarder = new RequestForwarder({
      ...dependencies,
      self,
      state,
      peers: this.#peers,
      balancers: this.#balancers,
      traffic,
    });
    this.#router = new PlacementRouter({
      ...dependencies,
      balancers: this.#balancers,
      state,
      guard: this.#crashes.guard,
      limits: this.#limits,
      traffic,
      reach: this.#reach,
      forwarder,
      stop: this.#stop,
      notifyChange,
    });
    const limiter = new SharedRateLimiter({
      self,
      state,
      peers: this.#peers,
      clock,
      log,
      isFirstStart: settings.isFirstStart,
      hasOtherSeeds: otherSeeds.length > 0,
      tolerance: settings.quotaTolerance,
      sendTokenRequest: async (vm, request) => {
        const reply = await this.#calls.sendTokenRequest(request, {
          to: vm.peerAddress,
          timeoutMs: TOKEN_TIMEOUT_MS,
        });
        return reply.ok ? reply.value : undefined;
      },
    });
    this.#exchange = new FleetExchange({
      ...dependencies,
      self,
      state,
      peers: this.#peers,
      balancers: this.#balancers,
      limiter,
      suspicions: this.#crashes.suspicions,
      serverLimits: this.#limits.tracker,
      tokenIssuer: this.#limits.issuer,
      reach: fleetReach,
      handleForwarded: (request, response) => {
        this.#callerServer.acceptForwarded(request, response);
      },
      client: this.#calls,
      loop: this.#loop,
      seeds: otherSeeds,
    });
    this.#router.setFailureListener(() => {
      this.#exchange.sendEvidence();
    });
    this.#servers = new ServersHandler({
      state,
      clock,
      log,
      readMaxAgeMs: () =>
        settings.drainMs * this.#reads.computeMaxAgeShare(SERVERS_AGE_SHARES),
      notifyChange,
    }, random.sampleUniform() * SNAPSHOT_SPREAD_MS);
    this.#storeEra = new StoreEraRecord({
      client: this.#client,
      state,
      log,
      isWriter: () => this.#exchange.computeReaderRank() === 0,
    });
    state.subscribeStoreEra((isFirst) => {
      this.#handleStoreReturn(isFirst);
    });
    this.#consumers = this.#buildConsumers();
    this.#callerServer = createFleetCallerServer(settings, {
      ...dependencies,
      guard: this.#crashes.guard,
      state,
      limiter,
      router: this.#router,
      loop: this.#loop,
    });
  }

  /** Starts all components and begins to accept callers. */
  async start(): Promise<void> {
    const { self, directoryAddress, readyAddress, metricsAddress } =
      this.#settings;
    const { metrics, exceptions } = this.#dependencies;
    if (metricsAddress !== undefined) {
      addFleetGauges(metrics, {
        state: this.#state,
        peers: this.#peers,
        balancers: this.#balancers,
        limits: this.#limits,
        client: this.#client,
        loop: this.#loop,
        callerServer: this.#callerServer,
      });
      this.#crashes.addGauges(metrics);
      await metrics.start(metricsAddress, this.#dependencies);
    }
    await this.#directory.start([directoryAddress, readyAddress]);
    await this.#callerServer.start();
    this.#dependencies.log.record("started", {
      build: BUILD,
      caller: formatAddress(self.callerAddress),
      peer: formatAddress(self.peerAddress),
      zone: self.zone,
    });
    void this.#registration.write();
    for (const consumer of this.#consumers) {
      void consumer.run();
    }
    await this.#exchange.start();
    this.#timer = startRegularSteps(MAINTENANCE_INTERVAL_MS, exceptions, [
      (): void => {
        this.#servers.expireRemoved();
      },
      (): void => {
        this.#crashes.update();
      },
      (): void => {
        this.#limits.update();
      },
      () => this.#storeEra.writeIfDue(),
    ]);
  }

  /**
   * Stops gracefully within the grace period: resigns as leader, still accepts
   * requests for a while, then finishes those in flight.
   */
  async drain(): Promise<void> {
    await new FleetDrain({
      ...this.#dependencies,
      gracePeriodMs: this.#settings.gracePeriodMs,
      peers: this.#peers,
      exchange: this.#exchange,
      router: this.#router,
      callerServer: this.#callerServer,
      stop: this.#stop,
    }).run();
    await this.stop();
  }

  /** Stops immediately and aborts in-flight requests. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await stopParts([
      this.#registration,
      this.#reach,
      this.#exchange,
      ...this.#consumers,
      this.#directory,
      this.#callerServer,
      this.#calls,
      this.#client,
    ], this.#dependencies.exceptions);
  }

  #buildConsumers(): readonly TopicConsumer[] {
    const { clock, log, exceptions } = this.#dependencies;
    const state = this.#state;
    const { configurationMs } = this.#settings;
    const configuration = new ConfigurationHandler({
      state,
      clock,
      log,
      readMaxAgeMs: () =>
        configurationMs *
        this.#reads.computeMaxAgeShare(CONFIGURATION_AGE_SHARES),
      notifyChange: () => {
        this.#exchange.notifyPartners();
      },
    }, configurationMs * CONFIGURATION_WAIT_SHARE);
    const vms = new VmsHandler(
      { state, clock },
      () => this.#reads.decideVmListReader(),
    );
    const { handler } = this.#crashes;
    const options = { client: this.#client, clock, log, exceptions };
    return [configuration, this.#servers, vms, handler].map((handler) =>
      new TopicConsumer(handler, options)
    );
  }

  // What has not been sent may go another way. Connections that were open may be
  // silent for good, so they are not used again.
  #handleReachChange(
    change: "lost" | "regained",
    addresses: readonly SocketAddress[],
  ): void {
    this.#exchange.notifyPartners();
    this.#exchange.notifyZone();
    if (change === "lost") {
      this.#callerServer.abortConnecting(addresses);
      this.#router.forwardWaiting();
    } else {
      this.#callerServer.closeIdle(addresses);
    }
  }

  // A store that has returned from a copy may have lost this VM's record.
  #handleStoreReturn(isFirst: boolean): void {
    void this.#dependencies.exceptions.wait("store", this.#storeEra.load());
    if (!isFirst) {
      void this.#registration.write();
    }
  }
}
