/** This VM's view of the configuration, the backend servers and the VMs. */

import { AnnouncedServers } from "@limpetford/core/fleet/announced_servers";
import { HostRouteIndex } from "@limpetford/core/fleet/host_route_index";
import {
  compareLogPositions,
  type LogPosition,
} from "@limpetford/core/fleet/log_position";
import { RefusedEntries } from "@limpetford/core/fleet/refused_entries";
import { ServerListAge } from "@limpetford/core/fleet/server_list_age";
import { StoreEraTracker } from "@limpetford/core/fleet/store_era_tracker";
import { VmRecords } from "@limpetford/core/fleet/vm_records";
import type { Clock } from "@limpetford/core/time/clock";
import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import type { Configuration } from "@limpetford/domain/configuration";
import type { FleetConfiguration } from "@limpetford/domain/fleet_configuration";
import type { PrioritizedTeam } from "@limpetford/domain/fleet_configuration";
import type { HostRoute } from "@limpetford/domain/host_route";
import {
  type ConfigurationVersion,
  type KeyHash,
  type RouteId,
  type ServerId,
  type TeamId,
  toId,
  type VmId,
} from "@limpetford/domain/ids";
import type { Route } from "@limpetford/domain/route";
import { SERVER_STATE } from "@limpetford/domain/service";
import type { Vm } from "@limpetford/domain/vm";

import { ConfigurationSource } from "../ports/configuration_source.ts";

/** A configuration with the latest known position of its record in the log. */
export interface LoggedConfiguration {
  readonly configuration: FleetConfiguration;
  readonly position: LogPosition;
}

/**
 * Merges updates from the store and from other VMs. A configuration becomes
 * active when it is applied, and only one with a higher version replaces it,
 * wherever the log keeps it.
 */
export class FleetState extends ConfigurationSource {
  readonly servers = new AnnouncedServers();
  /** Entries among those of the servers that name no server. */
  readonly refusedServers = new RefusedEntries();
  readonly serverListAge = new ServerListAge();
  readonly #vms = new VmRecords();
  readonly #eras = new StoreEraTracker();
  readonly #listeners: (() => void)[] = [];
  readonly #eraListeners: ((isFirst: boolean) => void)[] = [];
  readonly #clock: Clock;
  #active: LoggedConfiguration | undefined;
  #routes = new HostRouteIndex([]);
  #teams = new Map<TeamId, PrioritizedTeam>();
  #teamByKey = new Map<KeyHash, TeamId>();
  #serversById = new Map<ServerId, AnnouncedServer>();
  #cachedConfiguration: Configuration | undefined;
  #areCrashingRequestsKnown = false;
  #configurationFreshAtMs = -Infinity;

  /**
   * Creates a view without configuration, backend servers or VMs.
   *
   * @param clock - monotonic clock, used to compute ages
   */
  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  /**
   * The active configuration and its position in the log.
   *
   * @returns undefined until a configuration has been applied
   */
  get active(): LoggedConfiguration | undefined {
    return this.#active;
  }

  /**
   * Time since the active configuration was last confirmed as the newest.
   *
   * @returns milliseconds; infinite if it never was
   */
  get configurationAgeMs(): number {
    return this.#clock.readMonotonicMs() - this.#configurationFreshAtMs;
  }

  /**
   * Time since the list of backend servers was last confirmed as complete.
   *
   * @returns milliseconds; infinite if it never was
   */
  get serversAgeMs(): number {
    return this.serverListAge.computeAgeMs(this.#clock.readMonotonicMs());
  }

  /**
   * Activates a configuration unless the active one is the same or newer.
   *
   * @param logged - the configuration and its position in the log
   * @returns true if the configuration was activated
   */
  applyConfiguration(logged: LoggedConfiguration): boolean {
    const { configuration, position } = logged;
    if (this.#active !== undefined) {
      const { version } = this.#active.configuration;
      if (configuration.version === version) {
        this.recordConfigurationPosition(version, position);
      }
      if (configuration.version <= version) {
        return false;
      }
      this.#eras.observeRewrite(this.#active.position, position);
    }
    this.#active = logged;
    this.#routes = new HostRouteIndex(configuration.routes);
    this.#teams = new Map(configuration.teams.map((team) => [team.id, team]));
    this.#teamByKey = new Map(
      configuration.keys.map(({ hash, team }) => [hash, team]),
    );
    this.notifyListeners();
    return true;
  }

  /**
   * Checks whether this VM may serve callers: it has a configuration, and knows
   * which requests must not run.
   *
   * @returns false for a while after the start
   */
  mayServe(): boolean {
    return this.#active !== undefined && this.#areCrashingRequestsKnown;
  }

  /** Records that this VM knows which requests crash servers. */
  markCrashingRequestsKnown(): void {
    this.#areCrashingRequestsKnown = true;
  }

  /**
   * Records where the log keeps a configuration. After the store has returned
   * from a copy, this shows that the configuration was written again.
   *
   * @param version - ignored unless it is the active one's
   * @param position - position of its record; an earlier one has no effect
   */
  recordConfigurationPosition(version: number, position: LogPosition): void {
    const active = this.#active;
    if (
      active?.configuration.version === version &&
      compareLogPositions(position, active.position) > 0
    ) {
      this.#eras.observeRewrite(active.position, position);
      this.#active = { ...active, position };
    }
  }

  /**
   * Checks whether a read of the store proves that the active configuration is
   * the newest, or that there is none: the store has it, and has had time to get
   * back what it lost.
   *
   * @returns false for a while after a return of the store
   */
  isConfigurationProvable(): boolean {
    const era = this.#active?.position.era ?? this.#eras.era;
    return era === this.#eras.era &&
      this.#eras.isSettled(this.#clock.readMonotonicMs());
  }

  /**
   * Highest era of the store that this VM knows.
   *
   * @returns 0 before the first one
   */
  get storeEra(): number {
    return this.#eras.era ?? 0;
  }

  /**
   * Records the era of the store.
   *
   * @param era - era in an answer of the store or a message of another VM
   */
  observeStoreEra(era: number): void {
    const isFirst = this.#eras.era === undefined;
    if (this.#eras.observe(era, this.#clock.readMonotonicMs()) && era > 0) {
      this.#eraListeners.forEach((listener) => {
        listener(isFirst);
      });
    }
  }

  /**
   * Records that a store which returned from a copy is complete again.
   *
   * @param era - era for which this was found
   */
  markStoreEraSettled(era: number): void {
    this.#eras.markSettled(era);
  }

  /**
   * Adds a listener for returns of the store from a copy.
   *
   * @param listener - called when a higher era than 0 is first known, with true
   * if this VM knew none before
   */
  subscribeStoreEra(listener: (isFirst: boolean) => void): void {
    this.#eraListeners.push(listener);
  }

  /**
   * Records that the active configuration was the newest at a point in time, or
   * that there was none.
   *
   * @param atMs - monotonic time; an earlier time than recorded has no effect
   */
  recordConfigurationFreshness(atMs: number): void {
    this.#configurationFreshAtMs = Math.max(
      this.#configurationFreshAtMs,
      atMs,
    );
  }

  /**
   * Records that the list of backend servers was complete at a point in time.
   *
   * @param atMs - monotonic time; an earlier time than recorded has no effect
   */
  recordServersFreshness(atMs: number): void {
    this.serverListAge.recordFreshness(atMs, this.#clock.readMonotonicMs());
  }

  /**
   * Computes for how long a removal may be deferred that another VM defers.
   *
   * @returns milliseconds; 0 if this VM knows that the store was there throughout
   */
  computeMaxDeferralMs(): number {
    const nowMs = this.#clock.readMonotonicMs();
    return this.#eras.hasReturnedRecently(nowMs)
      ? Infinity
      : this.serverListAge.computeMaxDeferralMs(nowMs);
  }

  /**
   * Records that a backend server has said itself that it is leaving.
   *
   * @param server - the server, as announced when it said so
   * @returns true if this was not known
   */
  markServerLeaving({ id, startedAtMs }: AnnouncedServer): boolean {
    const isNew = this.servers.markLeaving(id, startedAtMs);
    if (isNew) {
      this.notifyListeners();
    }
    return isNew;
  }

  /** Rebuilds derived data and notifies listeners of a change. */
  notifyListeners(): void {
    this.#serversById = new Map(
      this.servers.listServers().map((server) => [server.id, server]),
    );
    this.#cachedConfiguration = undefined;
    for (const listener of this.#listeners) {
      listener();
    }
  }

  /**
   * Adds a VM's record, or replaces that of an earlier start.
   *
   * @param vm - the VM's record
   * @returns true if this start of the VM was unknown
   */
  applyVm(vm: Vm): boolean {
    return this.#vms.apply(vm);
  }

  /**
   * Stores a record that the VM itself sent, whatever its start time: the VM's
   * clock may have been set back between two starts.
   *
   * @param vm - the VM's record
   */
  putVm(vm: Vm): void {
    this.#vms.put(vm);
  }

  /**
   * Finds a VM by its identifier.
   *
   * @param id - the VM's identifier
   * @returns its record; undefined if the VM is unknown
   */
  findVm(id: VmId): Vm | undefined {
    return this.#vms.find(id);
  }

  /**
   * Digest of the list of all known VMs.
   *
   * @returns an unsigned integer of 32 bits; equal for equal lists
   */
  get vmListDigest(): number {
    return this.#vms.digest;
  }

  /**
   * Lists all known VMs, including this one.
   *
   * @returns their records, in the order in which the VMs became known
   */
  listVms(): readonly Vm[] {
    return this.#vms.list();
  }

  /**
   * Finds a backend server by its identifier.
   *
   * @param id - the server's identifier
   * @returns its latest announcement; undefined if it is unknown or gone
   */
  findServer(id: ServerId): AnnouncedServer | undefined {
    return this.#serversById.get(id);
  }

  /**
   * Finds the route that matches a request.
   *
   * @param host - host in lower case, without a port
   * @param path - path without query
   * @returns the route; undefined if none matches
   */
  findHostRoute(host: string, path: string): HostRoute | undefined {
    return this.#routes.findRoute(host, path);
  }

  override readConfiguration(): Configuration | undefined {
    if (this.#active === undefined) {
      return undefined;
    }
    const { version, routes, teams, keys } = this.#active.configuration;
    this.#cachedConfiguration ??= {
      version: toId<ConfigurationVersion>(version),
      services: [],
      servers: [...this.#serversById.values()].map((server) => ({
        ...server,
        connections: Infinity,
      })),
      routes,
      teams,
      keys,
    };
    return this.#cachedConfiguration;
  }

  override findTeamOfKey(key: KeyHash): TeamId | undefined {
    return this.#teamByKey.get(key);
  }

  override findTeam(team: TeamId): PrioritizedTeam | undefined {
    return this.#teams.get(team);
  }

  override findRoute(): Route | undefined {
    // Routes of a fleet configuration are looked up by host and path.
    return undefined;
  }

  override findRouteById(id: RouteId): Route | undefined {
    return this.#active?.configuration.routes.find((route) => route.id === id);
  }

  override isServerLeaving(id: ServerId): boolean {
    return this.#serversById.get(id)?.state !== SERVER_STATE.active;
  }

  override isInForce(): boolean {
    return this.#active !== undefined;
  }

  override subscribe(listener: () => void): void {
    this.#listeners.push(listener);
  }
}
