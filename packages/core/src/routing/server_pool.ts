/**
 * Load balancing among a service's servers at one VM: power of two choices over
 * a subset of the servers, with ejected and avoided servers excluded.
 */

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

/** Servers used beyond those with home slots. */
const SUBSET_SIZE = 12;
/** After this long without the holder, this VM tries ejected servers itself. */
const STALE_DECISION_MS = 30_000;
/** After this long in trial mode, VMs that are not probers may also try. */
const OPEN_TRIAL_MS = 10_000;
/** Shortest time between trial requests to a server out of rotation. */
const TRIAL_PAUSE_MS = 100;
/** Shortest time between requests that check a server in full use. */
const CHECK_PAUSE_MS = 500;
/** Weight of a zone's mean failure share in the cost of its servers. */
const ZONE_FAILURE_FACTOR = 20;
/** A home slot is preferred up to this multiple of a borrowed slot's cost. */
const BORROWING_FACTOR = 1.5;

/** A server chosen for an attempt. */
export interface ServerChoice {
  readonly load: ServerLoad;
  /** True if the server is out of rotation and gets this request as a trial. */
  readonly isTrial: boolean;
}

/** Settings of {@link ServerPool}. */
export interface ServerPoolOptions {
  readonly self: SlotUser;
  readonly random: RandomSource;
  readonly avoidance: LocalAvoidance;
}

/**
 * Tracks the servers of a service and chooses one for each attempt. The floor is
 * the share of slots that must stay in use whatever is ejected or avoided.
 */
export class ServerPool {
  readonly #self: SlotUser;
  readonly #random: RandomSource;
  readonly #avoidance: LocalAvoidance;
  readonly #loads = new Map<ServerId, ServerLoad>();
  readonly #lastTrialAtMs = new Map<ServerId, number>();
  #service: Service | undefined;
  #servers: readonly BackendServer[] = [];
  #subset: readonly ServerLoad[] = [];
  #vmCount = 1;
  #decision: EjectionDecision | undefined;
  #lastContactAtMs = 0;
  #decisionReceivedAtMs = 0;

  /**
   * Starts without servers.
   *
   * @param options - this VM, source of randomness and locally avoided servers
   */
  constructor(options: ServerPoolOptions) {
    this.#self = options.self;
    this.#random = options.random;
    this.#avoidance = options.avoidance;
  }

  /**
   * Sets the servers. Servers no longer listed get no new requests. Servers added
   * later than the first ones start with a ramp.
   *
   * @param service - configuration of the service
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
   * Recomputes home slots and subset after a change of the servers or the fleet.
   *
   * @param users - all VMs of the fleet
   */
  updateHomeSlots(users: readonly SlotUser[]): void {
    this.#vmCount = Math.max(1, users.length);
    const homeSlots = computeHomeSlots(this.#servers, users, this.#self.vm);
    for (const [id, load] of this.#loads) {
      load.homeSlots = homeSlots.get(id) ?? 0;
    }
    const chosen = new Set([
      ...homeSlots.keys(),
      ...selectSubset(this.#servers, this.#self.vm, SUBSET_SIZE),
    ]);
    this.#subset = [...this.#loads.values()]
      .filter((load) => chosen.has(load.server.id));
  }

  /**
   * Applies the holder's ejection decision if it is newer than the one in force.
   *
   * @param decision - decision as received
   * @param nowMs - monotonic time
   */
  applyDecision(decision: EjectionDecision, nowMs: number): void {
    this.#lastContactAtMs = nowMs;
    if (!isNewerDecision(decision, this.#decision)) {
      return;
    }
    this.#decision = decision;
    this.#decisionReceivedAtMs = nowMs;
    for (const entry of decision.servers) {
      if (entry.mode === SERVER_MODE.ramping) {
        this.#loads.get(entry.server)?.beginRamp(nowMs - entry.ageMs);
      }
    }
  }

  /**
   * Records a reply from the holder.
   *
   * @param nowMs - monotonic time
   */
  recordContact(nowMs: number): void {
    this.#lastContactAtMs = nowMs;
  }

  /**
   * Reads the ejection decision in force.
   *
   * @returns the newest decision received; undefined before the first
   */
  readDecision(): EjectionDecision | undefined {
    return this.#decision;
  }

  /**
   * Finds a server's load.
   *
   * @param server - id of the server
   * @returns its load; undefined if it is no longer listed
   */
  findLoad(server: ServerId): ServerLoad | undefined {
    return this.#loads.get(server);
  }

  /**
   * Checks whether the service has any servers.
   *
   * @returns true if it has, even if none has a free slot
   */
  hasServers(): boolean {
    return this.#loads.size > 0;
  }

  /**
   * Lists the loads of all servers.
   *
   * @returns one load per server, left-out servers included
   */
  listLoads(): readonly ServerLoad[] {
    return [...this.#loads.values()];
  }

  /**
   * Counts the requests that this VM can expect to run concurrently.
   *
   * @returns its home slots or requests in flight, whichever is more; at least 1
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
   * Computes how many connections this VM may keep open to a server, as an even
   * share of the server's limit for the whole fleet.
   *
   * @param server - configuration of the server
   * @returns at least 1, at most the server's slots
   */
  computeConnectionLimit(server: BackendServer): number {
    const share = Math.floor(server.connections / this.#vmCount);
    return Math.max(1, Math.min(server.slots, share));
  }

  /**
   * Lists the servers that get no ordinary requests from this VM: those ejected
   * by the holder, worst first, then those avoided locally, as far as the floor
   * allows.
   *
   * @returns ids of the servers out of rotation at this VM
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
   * Chooses a server for an attempt: one whose trial or check is due, or else the
   * cheaper of two random servers with a free slot, one with a home slot if any.
   *
   * @param request - attempt that needs a slot
   * @param nowMs - monotonic time
   * @returns the choice; undefined if no server has a free slot
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
    const inSubset = this.#subset.filter((load) =>
      isUsable(load) && load.mayBorrow(nowMs)
    );
    // Servers outside the subset are used only if it has no free slot.
    const all = inSubset.length > 0
      ? inSubset
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
    for (const id of this.#listTrialCandidates(bounds.leftOut)) {
      const load = this.#loads.get(id);
      const lastMs = this.#lastTrialAtMs.get(id) ?? Number.NEGATIVE_INFINITY;
      if (
        load?.countInFlight() === 0 &&
        bounds.nowMs - lastMs >= this.#computePauseMs(bounds.leftOut, id) &&
        this.#mayTry(id, bounds.nowMs)
      ) {
        this.#lastTrialAtMs.set(id, bounds.nowMs);
        if (bounds.leftOut.has(id)) {
          this.#avoidance.beginTrial(id);
        }
        return load;
      }
    }
    return undefined;
  }

  #listTrialCandidates(leftOut: ReadonlySet<ServerId>): readonly ServerId[] {
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
    const sinceContactMs = nowMs - this.#lastContactAtMs;
    if (entry.mode === SERVER_MODE.ejected) {
      return sinceContactMs > STALE_DECISION_MS;
    }
    return isProber(entry, this.#self.vm) ||
      entry.ageMs + nowMs - this.#decisionReceivedAtMs > OPEN_TRIAL_MS;
  }
}

function isProber(entry: ServerDecision, vm: VmId): boolean {
  return entry.probers.includes(vm);
}
