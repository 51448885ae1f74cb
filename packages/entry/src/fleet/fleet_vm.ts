/** One VM on the platform's store: all its parts, from start to planned stop. */

import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";
import type { ZoneId } from "@limpetford/domain/ids";
import { formatAddress, type SocketAddress } from "@limpetford/domain/vm";
import { FleetCallClient } from "@limpetford/peer/fleet_calls";
import { StoreClient } from "@limpetford/platform/store/store_client";
import { formatStoreError } from "@limpetford/platform/store/store_error";
import { encodeVmRecord } from "@limpetford/platform/store/vm_record_codec";
import { TOPIC } from "@limpetford/platform/store/wire_names";

import { StoreDialect } from "../dialect/store_dialect.ts";
import { CallerServer } from "../http/caller_server.ts";
import type { PrometheusMetrics } from "../telemetry/prometheus_metrics.ts";
import { DirectoryServer, DirectorySource } from "./directory_server.ts";
import { FleetDecisionLog } from "./fleet_decision_log.ts";
import { FleetExchange } from "./fleet_exchange.ts";
import { addFleetGauges } from "./fleet_gauges.ts";
import type { FleetLog } from "./fleet_log.ts";
import { FleetPeers } from "./fleet_peers.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import { FleetState } from "./fleet_state.ts";
import { PlacementRouter } from "./placement_router.ts";
import { SharedRateLimiter } from "./shared_rate_limiter.ts";
import {
  ConfigurationHandler,
  ServersHandler,
  VmsHandler,
} from "./store_handlers.ts";
import { TopicFollower } from "./topic_follower.ts";
import { UnclaimedLedger, UnledEntries } from "./unused_ports.ts";

/** Time in which a VM that is no seed hears of the fleet from the seeds. */
const SEED_HEAD_START_MS = 1_000;
/** Part of the time to revoke a key during which knowledge is trusted. */
const KEYS_TRUSTED_SHARE = 0.8;
/** Part of the grace period for which a VM with callers goes on serving. */
const LINGER_SHARE = 0.6;
/** How long a VM without callers goes on serving, in milliseconds. */
const IDLE_LINGER_MS = 1_600;
/** Part of the grace period after which what is in flight is cut. */
const LAST_MOMENT_SHARE = 0.9;
/** Time between checks for servers whose removal waited. */
const REMOVAL_CHECK_INTERVAL_MS = 250;
/** How long an answer to a request for a token is awaited. */
const TOKEN_TIMEOUT_MS = 60;
const REGISTRATION_RETRY_MS = 500;
/** Time in which an unused connection of a caller is closed beyond its limit. */
const IDLE_MARGIN_MS = 500;
/**
 * Oldest knowledge that a VM may have, as a part of the time in which a change
 * must take effect, by its position in the order of reading. The last leaves
 * room for the read itself.
 */
const CONFIGURATION_AGE = { first: 0, later: 0.6, step: 0.05, last: 0.8 };
const SERVERS_AGE = { first: 0.2, later: 0.35, step: 0.1, last: 0.8 };
/** How long the first reader waits for a change, as a part of the same time. */
const CONFIGURATION_WAIT = 0.2;
/** Largest part by which the reads of many VMs are spread. */
const SPREAD = 0.05;
/** Header bytes that the HTTP parser lets through; the limit is checked later. */
const PARSER_HEADER_BYTES = 65_536;

/** The world around one VM. */
export interface FleetVmDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: FleetLog;
  readonly metrics: PrometheusMetrics;
}

/**
 * Serves callers, answers the directory, and keeps itself up to date.
 */
export class FleetVm extends DirectorySource {
  readonly #settings: FleetSettings;
  readonly #dependencies: FleetVmDependencies;
  readonly #state: FleetState;
  readonly #peers: FleetPeers;
  readonly #router: PlacementRouter;
  readonly #exchange: FleetExchange;
  readonly #client: StoreClient;
  readonly #calls = new FleetCallClient();
  readonly #callerServer: CallerServer;
  readonly #directory = new DirectoryServer(this);
  readonly #followers: readonly TopicFollower[];
  readonly #servers: ServersHandler;
  readonly #spread: number;
  readonly #isSeed: boolean;
  readonly #startedAtMs: number;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;

  /**
   * Builds all parts; nothing runs before {@link start}.
   *
   * @param settings - what the VM is told about itself
   * @param dependencies - the world around it
   */
  constructor(settings: FleetSettings, dependencies: FleetVmDependencies) {
    super();
    const { clock, random, log } = dependencies;
    const { self } = settings;
    this.#settings = settings;
    this.#dependencies = dependencies;
    this.#isSeed = settings.seeds.some((seed) =>
      formatAddress(seed) === formatAddress(self.peerAddress)
    );
    this.#startedAtMs = clock.readMonotonicMs();
    this.#spread = random.sampleUniform() * SPREAD;
    this.#client = new StoreClient(settings.storeAddress);
    const state = new FleetState(clock);
    state.applyVm(self);
    this.#state = state;
    this.#peers = new FleetPeers(self, state, clock);
    this.#router = new PlacementRouter({
      state,
      clock,
      random,
      log,
      zone: self.zone,
      retryBounds: {
        ratio: settings.retryBudgetRatio,
        slack: settings.retryBudgetSlack,
      },
    });
    const limiter = new SharedRateLimiter({
      self,
      state,
      peers: this.#peers,
      clock,
      log,
      isFirstStart: settings.isFirstStart,
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
      self,
      state,
      peers: this.#peers,
      router: this.#router,
      limiter,
      client: this.#calls,
      clock,
      log,
      seeds: settings.seeds.filter((seed) =>
        formatAddress(seed) !== formatAddress(self.peerAddress)
      ),
    });
    this.#router.setFailureListener(() => {
      this.#exchange.sendEvidence();
    });
    this.#servers = new ServersHandler({
      state,
      clock,
      log,
      readAllowedAgeMs: () =>
        settings.drainMs * this.#readAllowedAge(SERVERS_AGE),
      notifyChange: () => {
        this.#exchange.notifyPartners();
      },
    });
    this.#followers = this.#buildFollowers();
    this.#callerServer = this.#buildCallerServer(limiter);
  }

  /** Starts all parts, then accepts callers. */
  async start(): Promise<void> {
    const { self, directoryAddress, readyAddress, metricsAddress } =
      this.#settings;
    if (metricsAddress !== undefined) {
      addFleetGauges(this.#dependencies.metrics, {
        state: this.#state,
        peers: this.#peers,
        router: this.#router,
        client: this.#client,
        countInFlight: () => this.#callerServer.inFlight,
      });
      await this.#dependencies.metrics.start(metricsAddress);
    }
    await this.#directory.start([directoryAddress, readyAddress]);
    await this.#callerServer.start();
    this.#dependencies.log.record("started", {
      caller: formatAddress(self.callerAddress),
      peer: formatAddress(self.peerAddress),
      zone: self.zone,
    });
    void this.#registerSelf();
    for (const follower of this.#followers) {
      void follower.run();
    }
    await this.#exchange.start();
    this.#timer = setInterval(() => {
      this.#servers.expireRemoved();
    }, REMOVAL_CHECK_INTERVAL_MS);
  }

  /** Stops as planned, within the grace period. */
  async drain(): Promise<void> {
    const { gracePeriodMs } = this.#settings;
    const { log } = this.#dependencies;
    log.record("drain-started", { inFlight: this.#callerServer.inFlight });
    this.#peers.isLeaving = true;
    this.#peers.ownLeadSinceMs = undefined;
    this.#exchange.notifyPartners();
    const lingerMs = this.#router.hasRecentRequests()
      ? gracePeriodMs * LINGER_SHARE
      : Math.min(IDLE_LINGER_MS, gracePeriodMs * LINGER_SHARE);
    const lastMoment = new Promise<void>((resolve) => {
      setTimeout(resolve, gracePeriodMs * LAST_MOMENT_SHARE).unref();
    });
    await Promise.race([this.#callerServer.drain(lingerMs), lastMoment]);
    log.record("stopped", { inFlight: this.#callerServer.inFlight });
    await this.stop();
  }

  /** Ends at once; what is in flight is cut. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.#exchange.stop();
    for (const follower of this.#followers) {
      follower.stop();
    }
    this.#directory.stop();
    await this.#callerServer.stop();
    await this.#calls.close();
    await this.#client.close();
  }

  override listAddresses(zone: ZoneId): readonly SocketAddress[] {
    const leads = this.#peers.listLeads();
    const own = leads.filter((vm) => vm.zone === zone);
    const near = leads.filter((vm) => vm.region === this.#settings.self.region);
    // Without a lead in the callers' zone, the first one of the region serves.
    const chosen = own.length > 0 ? own : [near[0] ?? leads[0]];
    return chosen.flatMap((vm) => vm?.callerAddress ?? []);
  }

  override isReady(): boolean {
    return this.#state.isInForce() && !this.#peers.isLeaving;
  }

  #buildFollowers(): readonly TopicFollower[] {
    const { clock, log } = this.#dependencies;
    const state = this.#state;
    const { configurationMs } = this.#settings;
    const configuration = new ConfigurationHandler({
      state,
      clock,
      log,
      readAllowedAgeMs: () =>
        configurationMs * this.#readAllowedAge(CONFIGURATION_AGE),
      notifyChange: () => {
        this.#exchange.notifyPartners();
      },
    }, configurationMs * CONFIGURATION_WAIT);
    const vms = new VmsHandler(
      { state, clock },
      () =>
        this.#exchange.isAlone && Number.isFinite(
          this.#readAllowedAge(CONFIGURATION_AGE),
        ),
    );
    return [configuration, this.#servers, vms].map((handler) =>
      new TopicFollower(handler, {
        client: this.#client,
        clock,
        log,
      })
    );
  }

  #buildCallerServer(limiter: SharedRateLimiter): CallerServer {
    const { clock, random, log, metrics } = this.#dependencies;
    const { self, revocationMs } = this.#settings;
    const server = new CallerServer({
      configuration: this.#state,
      rateLimiter: limiter,
      ledger: new UnclaimedLedger(),
      router: this.#router,
      entrySelector: new UnledEntries(),
      clock,
      random,
      metrics,
      decisions: new FleetDecisionLog(log, this.#state, clock),
      dialect: new StoreDialect({
        state: this.#state,
        keysTrustedForMs: revocationMs * KEYS_TRUSTED_SHARE,
      }),
    }, {
      address: self.callerAddress,
      maxHeaderBytes: PARSER_HEADER_BYTES,
    });
    this.#state.subscribe(() => {
      const limits = this.#state.placed?.configuration.callerLimits;
      if (limits !== undefined) {
        server.setTimeouts({
          headersTimeoutMs: limits.headerTimeoutMs,
          keepAliveTimeoutMs: limits.idleTimeoutMs + IDLE_MARGIN_MS,
        });
      }
    });
    return server;
  }

  #readAllowedAge(
    ages: {
      readonly first: number;
      readonly later: number;
      readonly step: number;
      readonly last: number;
    },
  ): number {
    const { clock } = this.#dependencies;
    const uptimeMs = clock.readMonotonicMs() - this.#startedAtMs;
    if (uptimeMs < SEED_HEAD_START_MS && !this.#isSeed) {
      return Infinity;
    }
    const rank = this.#exchange.readReaderRank();
    if (rank === 0) {
      return ages.first;
    }
    return Number.isFinite(rank)
      ? Math.min(ages.last, ages.later + (rank - 1) * ages.step)
      : ages.last + this.#spread;
  }

  async #registerSelf(): Promise<void> {
    const { self } = this.#settings;
    while (!this.#isStopped) {
      const written = await this.#client.appendRecord(
        TOPIC.vms,
        self.incarnation.vm,
        encodeVmRecord(self),
      );
      if (written.ok) {
        return;
      }
      this.#dependencies.log.record("store-lost", {
        topic: TOPIC.vms,
        cause: formatStoreError(written.error),
      });
      await new Promise((resolve) => {
        setTimeout(resolve, REGISTRATION_RETRY_MS);
      });
    }
  }
}
