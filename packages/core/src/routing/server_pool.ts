/** The servers of a service as one VM uses them, and the choice among them. */

import type { ServerId, VmId, ZoneId } from "@limpetford/domain/ids";
import type { BackendServer, Service } from "@limpetford/domain/service";

import {
  type EjectionDecision,
  isNewerDecision,
  isOutOfRotation,
  SERVER_MODE,
  type ServerDecision,
} from "../ejection/ejection_decision.ts";
import { selectEjectable } from "../ejection/floor.ts";
import type { LocalAvoidance } from "../ejection/local_avoidance.ts";
import type { RandomSource } from "../time/random_source.ts";
import { computeHomeSlots, selectSubset, type SlotUser } from "./home_slots.ts";
import type { RoutingRequest } from "./routing_request.ts";
import { ServerLoad } from "./server_load.ts";

const SUBSET_SIZE = 12;
const STALE_DECISION_MS = 30_000;
const OPEN_TRIAL_MS = 10_000;
const TRIAL_PAUSE_MS = 100;
const CHECK_PAUSE_MS = 500;
const ZONE_FAILURE_FACTOR = 20;
const BORROWING_FACTOR = 1.5;

/** A server chosen for an attempt. */
export interface ServerChoice {
  readonly load: ServerLoad;
  readonly isTrial: boolean;
}

/** Settings of {@link ServerPool}. */
export interface ServerPoolOptions {
  readonly self: SlotUser;
  readonly random: RandomSource;
  readonly avoidance: LocalAvoidance;
}

/**
 * Chooses servers within slots, limits, ejections and the floor.
 */
export class ServerPool {
  readonly #self: SlotUser;
  readonly #random: RandomSource;
  readonly #avoidance: LocalAvoidance;
  readonly #loads = new Map<ServerId, ServerLoad>();
  readonly #triedAtMs = new Map<ServerId, number>();
  #service: Service | undefined;
  #servers: readonly BackendServer[] = [];
  #subset: readonly ServerLoad[] = [];
  #vmCount = 1;
  #decision: EjectionDecision | undefined;
  #heardAtMs = 0;
  #decidedAtMs = 0;

  /**
   * Starts without servers.
   *
   * @param options - this VM, random numbers and what it avoids
   */
  constructor(options: ServerPoolOptions) {
    this.#self = options.self;
    this.#random = options.random;
    this.#avoidance = options.avoidance;
  }

  /**
   * Sets the servers. Those no longer listed get nothing new.
   *
   * @param service - the service's record
   * @param servers - its servers without those that are leaving
   * @param nowMs - monotonic time
   */

  setServers(
    service: Service,
    servers: readonly BackendServer[],
    nowMs: number,
  ): void {
    const isFirst = this.#loads.size === 0;
    this.#service = service;
    this.#servers = servers;
    const wanted = new Set(servers.map((server) => server.id));
    for (const id of [...this.#loads.keys()]) {
      if (!wanted.has(id)) {
        this.#loads.delete(id);
      }
    }
    for (const server of servers) {
      const known = this.#loads.get(server.id);
      if (known !== undefined) {
        known.server = server;
        continue;
      }
      const load = new ServerLoad(server);
      if (!isFirst) {
        load.beginRamp(nowMs);
      }
      this.#loads.set(server.id, load);
    }
  }

  /**
   * Shares the slots out anew after a change of servers or fleet.
   *
   * @param users - all VMs of the fleet
   */
  updateHomeSlots(users: readonly SlotUser[]): void {
    this.#vmCount = Math.max(1, users.length);
    const homes = computeHomeSlots(this.#servers, users, this.#self.vm);
    for (const [id, load] of this.#loads) {
      load.homeSlots = homes.get(id) ?? 0;
    }
    const chosen = new Set([
      ...homes.keys(),
      ...selectSubset(this.#servers, this.#self.vm, SUBSET_SIZE),
    ]);
    this.#subset = [...this.#loads.values()]
      .filter((load) => chosen.has(load.server.id));
  }

  /**
   * Applies a decision of the holder if it is newer than the one in force.
   *
   * @param decision - the decision
   * @param nowMs - monotonic time
   */
  applyDecision(decision: EjectionDecision, nowMs: number): void {
    this.#heardAtMs = nowMs;
    if (!isNewerDecision(decision, this.#decision)) {
      return;
    }
    this.#decision = decision;
    this.#decidedAtMs = nowMs;
    for (const entry of decision.servers) {
      if (entry.mode === SERVER_MODE.ramping) {
        this.#loads.get(entry.server)?.beginRamp(nowMs - entry.ageMs);
      }
    }
  }

  /**
   * Records that the holder has been heard from.
   *
   * @param nowMs - monotonic time
   */
  recordContact(nowMs: number): void {
    this.#heardAtMs = nowMs;
  }

  /**
   * Reads the decision in force.
   *
   * @returns the decision, or undefined before the first
   */
  readDecision(): EjectionDecision | undefined {
    return this.#decision;
  }

  /**
   * Finds a server's load.
   *
   * @param server - the server
   * @returns the load, or undefined if it is no longer used
   */
  findLoad(server: ServerId): ServerLoad | undefined {
    return this.#loads.get(server);
  }

  /**
   * Checks whether there is any server.
   *
   * @returns true if so
   */
  hasServers(): boolean {
    return this.#loads.size > 0;
  }

  /**
   * Lists all servers with their load.
   *
   * @returns the loads
   */
  listLoads(): readonly ServerLoad[] {
    return [...this.#loads.values()];
  }

  /**
   * Counts the requests that this VM may count on running at one time.
   *
   * @returns its own slots, or what it runs now if that is more
   */
  countSlots(): number {
    let home = 0;
    let inFlight = 0;
    for (const load of this.#loads.values()) {
      home += load.homeSlots;
      inFlight += load.countInFlight();
    }
    return Math.max(1, home, inFlight);
  }

  /**
   * Computes how many connections this VM may keep to a server, from the
   * server's total over all VMs.
   *
   * @param server - the server
   * @returns at least 1, at most the server's slots
   */
  computeConnectionLimit(server: BackendServer): number {
    const share = Math.floor(server.connections / this.#vmCount);
    return Math.max(1, Math.min(server.slots, share));
  }

  /**
   * Lists the servers that this VM leaves out, never more than the floor
   * allows: those ejected by the holder, worst first, then those avoided here.
   *
   * @returns the servers
   */
  listLeftOut(): ReadonlySet<ServerId> {
    const ejected = (this.#decision?.servers ?? [])
      .filter(isOutOfRotation)
      .map((entry) => entry.server);
    const candidates = [...ejected, ...this.#avoidance.listAvoided()];
    const floor = this.#service?.floor ?? 1;
    return candidates.length === 0
      ? new Set()
      : selectEjectable(this.#servers, candidates, floor);
  }

  /**
   * Chooses a server for an attempt.
   *
   * @param request - the attempt
   * @param nowMs - monotonic time
   * @returns the server, or undefined if none has room
   */
  choose(request: RoutingRequest, nowMs: number): ServerChoice | undefined {
    const leftOut = this.listLeftOut();
    const trial = this.#chooseTrial(request, { leftOut, nowMs });
    if (trial !== undefined) {
      return { load: trial, isTrial: leftOut.has(trial.server.id) };
    }
    const isUsable = (load: ServerLoad): boolean =>
      !leftOut.has(load.server.id) &&
      !request.tried.includes(load.server.id);
    const home = this.#subset.filter((load) =>
      isUsable(load) && load.hasHomeSlot(nowMs)
    );
    const near = this.#subset.filter((load) =>
      isUsable(load) && load.mayBorrow(nowMs)
    );
    const all = near.length > 0
      ? near
      : this.listLoads().filter((load) =>
        isUsable(load) && load.mayBorrow(nowMs)
      );
    const load = this.#chooseOfTwo({ home, all }, nowMs);
    return load === undefined ? undefined : { load, isTrial: false };
  }

  #chooseOfTwo(
    candidates: {
      readonly home: readonly ServerLoad[];
      readonly all: readonly ServerLoad[];
    },
    nowMs: number,
  ): ServerLoad | undefined {
    const first = this.#pickRamped(candidates.home, nowMs) ??
      this.#pickRamped(candidates.all, nowMs);
    const second = this.#pickRamped(candidates.all, nowMs);
    if (first === undefined || second === undefined) {
      return first ?? second;
    }
    const isFirstHome = first.hasHomeSlot(nowMs);
    const margin = isFirstHome && !second.hasHomeSlot(nowMs)
      ? BORROWING_FACTOR
      : 1;
    const firstCost = this.#computeCost(first, nowMs);
    return firstCost <= margin * this.#computeCost(second, nowMs)
      ? first
      : second;
  }

  #pickRamped(
    loads: readonly ServerLoad[],
    nowMs: number,
  ): ServerLoad | undefined {
    if (loads.length === 0) {
      return undefined;
    }
    const picked = loads[this.#random.pickIndex(loads.length)];
    const share = picked?.computeRampShare(nowMs) ?? 1;
    if (share >= 1 || this.#random.sampleUniform() < share) {
      return picked;
    }
    return loads[this.#random.pickIndex(loads.length)];
  }

  #computeCost(load: ServerLoad, nowMs: number): number {
    const zone = load.server.zone;
    const cost = load.computeCost(nowMs, zone === this.#self.zone);
    const failures = this.#computeZoneFailures(zone);
    return cost * (1 + ZONE_FAILURE_FACTOR * failures);
  }

  #computeZoneFailures(zone: ZoneId): number {
    let sum = 0;
    let count = 0;
    for (const load of this.#subset) {
      if (load.server.zone === zone) {
        sum += load.readFailures();
        count += 1;
      }
    }
    return count < 2 ? 0 : sum / count;
  }

  #chooseTrial(
    request: RoutingRequest,
    bounds: {
      readonly leftOut: ReadonlySet<ServerId>;
      readonly nowMs: number;
    },
  ): ServerLoad | undefined {
    if (!request.isIdempotent || request.attempt > 1 || request.isHedge) {
      return undefined;
    }
    for (const id of this.#listToTry(bounds.leftOut)) {
      const load = this.#loads.get(id);
      const lastMs = this.#triedAtMs.get(id) ?? Number.NEGATIVE_INFINITY;
      if (
        load?.countInFlight() === 0 &&
        bounds.nowMs - lastMs >= this.#computePauseMs(bounds.leftOut, id) &&
        this.#mayTry(id, bounds.nowMs)
      ) {
        this.#triedAtMs.set(id, bounds.nowMs);
        if (bounds.leftOut.has(id)) {
          this.#avoidance.beginTrial(id);
        }
        return load;
      }
    }
    return undefined;
  }

  #listToTry(leftOut: ReadonlySet<ServerId>): readonly ServerId[] {
    const checked = (this.#decision?.servers ?? [])
      .filter((entry) => entry.mode === SERVER_MODE.checking)
      .map((entry) => entry.server);
    return [...checked, ...leftOut];
  }

  #computePauseMs(leftOut: ReadonlySet<ServerId>, server: ServerId): number {
    return leftOut.has(server) ? TRIAL_PAUSE_MS : CHECK_PAUSE_MS;
  }

  #mayTry(server: ServerId, nowMs: number): boolean {
    const entry = this.#decision?.servers.find((candidate) =>
      candidate.server === server && candidate.mode !== SERVER_MODE.ramping
    );
    if (entry === undefined) {
      return this.#avoidance.mayTry(server, nowMs);
    }
    if (entry.mode === SERVER_MODE.checking) {
      return isProber(entry, this.#self.vm) &&
        !this.#avoidance.listAvoided().includes(server);
    }
    const silentMs = nowMs - this.#heardAtMs;
    if (entry.mode === SERVER_MODE.ejected) {
      return silentMs > STALE_DECISION_MS;
    }
    return isProber(entry, this.#self.vm) ||
      entry.ageMs + nowMs - this.#decidedAtMs > OPEN_TRIAL_MS;
  }
}

function isProber(entry: ServerDecision, vm: VmId): boolean {
  return entry.probers.includes(vm);
}
