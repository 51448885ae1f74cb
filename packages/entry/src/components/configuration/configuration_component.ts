/** Follows the configuration stream and serves look-ups from it. */

import { ConfigurationIndex } from "@limpetford/core/configuration/configuration_index";
import { ConfigurationReader } from "@limpetford/core/configuration/configuration_reader";
import { planLogRead } from "@limpetford/core/configuration/log_read_plan";
import { mayServe } from "@limpetford/core/configuration/serving_rule";
import type { FactBus } from "@limpetford/core/gossip/fact_bus";
import type { Clock } from "@limpetford/core/time/clock";
import type { RandomSource } from "@limpetford/core/time/random_source";
import type { Configuration } from "@limpetford/domain/configuration";
import { decodeConfigurationRecord } from "@limpetford/domain/configuration_codec";
import { CONFIGURATION_STREAM } from "@limpetford/domain/configuration_record";
import type {
  KeyHash,
  RouteId,
  ServerId,
  TeamId,
} from "@limpetford/domain/ids";
import type { MonotoneFact } from "@limpetford/domain/monotone_fact";
import type { Route } from "@limpetford/domain/route";
import type { Team } from "@limpetford/domain/team";
import type { LogPage, LogService } from "@limpetford/platform/log_service";

import type { ConfigurationSource } from "../../ports/configuration_source.ts";
import { VmComponent } from "../../ports/vm_component.ts";
import {
  type ConfigurationPeers,
  NoConfigurationPeers,
} from "../membership/configuration_peers.ts";
import { InterruptibleDelay } from "../ownership/interruptible_delay.ts";
import { ConfigurationCheckpointer } from "./configuration_checkpointer.ts";

const MIN_READ_PAUSE_MS = 20;

/** Dependencies of a {@link ConfigurationComponent}. */
export interface ConfigurationComponentOptions {
  readonly log: LogService;
  readonly facts: FactBus;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Access to the other VMs; without it, the fleet is this VM alone. */
  readonly peers?: ConfigurationPeers;
  /** Minimum time between two checkpoints, in ms; default 10 minutes. */
  readonly checkpointIntervalMs?: number;
}

/**
 * Keeps the configuration in force. It is read from the platform's log, or from
 * other VMs while the log is unavailable.
 */
export class ConfigurationComponent extends VmComponent
  implements ConfigurationSource {
  readonly #log: LogService;
  readonly #facts: FactBus;
  readonly #random: RandomSource;
  readonly #peers: ConfigurationPeers;
  readonly #checkpointer: ConfigurationCheckpointer;
  readonly #reader = new ConfigurationReader();
  readonly #delay = new InterruptibleDelay();
  readonly #withdrawnKeys = new Set<KeyHash>();
  readonly #leavingServers = new Set<ServerId>();
  readonly #listeners: (() => void)[] = [];
  #configuration: Configuration | undefined;
  #index: ConfigurationIndex | undefined;
  #newestVersion = 0;
  #failureCount = 0;
  #isStopped = false;

  /**
   * Creates the component. It reads nothing before {@link start}.
   *
   * @param options - log, facts, clock, random source and other VMs
   */
  constructor(options: ConfigurationComponentOptions) {
    super();
    this.#log = options.log;
    this.#facts = options.facts;
    this.#random = options.random;
    this.#peers = options.peers ?? new NoConfigurationPeers();
    this.#checkpointer = new ConfigurationCheckpointer({
      log: options.log,
      clock: options.clock,
      ...options.checkpointIntervalMs === undefined
        ? {}
        : { intervalMs: options.checkpointIntervalMs },
    });
  }

  override async start(): Promise<void> {
    this.#facts.subscribe((fact) => {
      this.#handleFact(fact);
    });
    await this.#readAll(0);
    void this.#runReadLoop();
  }

  override drain(): Promise<void> {
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#isStopped = true;
    this.#delay.abort();
    return Promise.resolve();
  }

  readConfiguration(): Configuration | undefined {
    return this.#configuration;
  }

  findTeamOfKey(key: KeyHash): TeamId | undefined {
    return this.#withdrawnKeys.has(key)
      ? undefined
      : this.#index?.findTeamOfKey(key);
  }

  findTeam(team: TeamId): Team | undefined {
    return this.#index?.findTeam(team);
  }

  findRoute(method: string, path: string): Route | undefined {
    return this.#index?.findRoute(method, path);
  }

  findRouteById(route: RouteId): Route | undefined {
    return this.#index?.findRouteById(route);
  }

  isServerLeaving(server: ServerId): boolean {
    return this.#leavingServers.has(server) ||
      (this.#index?.isServerLeaving(server) ?? true);
  }

  isInForce(): boolean {
    return this.#configuration !== undefined &&
      mayServe(this.#peers.readConnectivity());
  }

  subscribe(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Reads the state that results from the log, to send it to another VM.
   *
   * @returns the newest state; version 0 before the first configuration
   */
  readState(): ReturnType<ConfigurationReader["readState"]> {
    return this.#reader.readState();
  }

  async #runReadLoop(): Promise<void> {
    while (!this.#isStopped) {
      const plan = planLogRead({
        rank: this.#peers.findRank(),
        logAgeMs: this.#peers.readConnectivity().logAgeMs,
        isBehind: this.#isBehind(),
        failureCount: this.#failureCount,
        jitter: this.#random.sampleUniform(),
      });
      await this.#delay.wait(Math.max(MIN_READ_PAUSE_MS, plan.delayMs));
      await this.#readAll(plan.waitMs);
    }
  }

  /**
   * Reads to the end of the stream. Fetches the state from another VM if records
   * are missing, or if the read failed and this VM's configuration is missing or
   * outdated.
   *
   * @param waitMs - maximum time that the log may hold the read open
   */
  async #readAll(waitMs: number): Promise<void> {
    if (this.#isStopped) {
      return;
    }
    const isRead = await this.#readPages(waitMs);
    this.#failureCount = isRead ? 0 : this.#failureCount + 1;
    const needsPeer = this.#reader.hasGap() ||
      (!isRead && (this.#configuration === undefined || this.#isBehind()));
    if (needsPeer) {
      await this.#fetchFromPeer();
    } else if (isRead && this.#peers.findRank() === 0) {
      await this.#checkpointer.writeIfDue(this.#reader.readState());
    }
  }

  async #readPages(waitMs: number): Promise<boolean> {
    let nextWaitMs = waitMs;
    for (;;) {
      const fromOffset = this.#reader.readNextOffset();
      const page = await this.#log.read(CONFIGURATION_STREAM, {
        fromOffset,
        waitMs: nextWaitMs,
      });
      if (this.#isStopped) {
        return false;
      }
      nextWaitMs = 0;
      if (page.ok) {
        this.#advance(page.value);
        if (this.#reader.readNextOffset() >= page.value.endOffset) {
          this.#recordLogRead();
          return true;
        }
      } else if (page.error.kind === "records-expired") {
        this.#reader.handleExpiredRecords(page.error.oldestOffset);
      } else {
        return false;
      }
      if (this.#reader.readNextOffset() === fromOffset) {
        return page.ok;
      }
    }
  }

  #recordLogRead(): void {
    if (!this.#reader.hasGap()) {
      this.#peers.recordLogRead();
    }
  }

  #advance(page: LogPage): void {
    for (const { offset, payload } of page.records) {
      const decoded = decodeConfigurationRecord(payload);
      const record = decoded.ok ? decoded.value : undefined;
      this.#reader.advance({ offset, record });
    }
    this.#applyState();
  }

  async #fetchFromPeer(): Promise<void> {
    const { nextOffset } = this.#reader.readState();
    const state = await this.#peers.fetchConfiguration(nextOffset);
    if (state !== undefined && this.#reader.restore(state)) {
      this.#applyState();
    }
  }

  #applyState(): void {
    const state = this.#reader.readState();
    const { version } = state.configuration;
    const isNew = version > 0 && version !== this.#configuration?.version;
    if (isNew) {
      this.#configuration = state.configuration;
      this.#index = new ConfigurationIndex(
        state.configuration,
        this.#index,
      );
    }
    for (const key of state.withdrawnKeys) {
      if (!this.#withdrawnKeys.has(key)) {
        this.#facts.publish({ kind: "key-withdrawn", key });
      }
    }
    if (isNew) {
      this.#facts.publish({ kind: "configuration-version", version });
      this.#notifyListeners();
    }
  }

  #isBehind(): boolean {
    return this.#newestVersion > (this.#configuration?.version ?? 0);
  }

  #handleFact(fact: MonotoneFact): void {
    switch (fact.kind) {
      case "key-withdrawn":
        this.#withdrawnKeys.add(fact.key);
        this.#notifyListeners();
        return;
      case "server-leaving":
        this.#leavingServers.add(fact.server);
        this.#notifyListeners();
        return;
      case "configuration-version":
        this.#newestVersion = Math.max(this.#newestVersion, fact.version);
        if (this.#isBehind()) {
          this.#delay.abort();
        }
        return;
      default:
        return;
    }
  }

  #notifyListeners(): void {
    for (const listener of this.#listeners) {
      listener();
    }
  }
}
