/** State of the other VMs, and choice of each zone's leaders. */

import { decideLeaderCount } from "@limpetford/core/fleet/leader_count";
import {
  chooseLeader,
  type LeaderCandidate,
  sortLeaders,
} from "@limpetford/core/fleet/leader_selection";
import { VmReachTable } from "@limpetford/core/reach/vm_reach_table";
import type { Clock } from "@limpetford/core/time/clock";
import type { VmId, ZoneId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import type { LeadClaim, SyncMessage } from "@limpetford/peer/fleet_sync";

import type { FleetState } from "./fleet_state.ts";

/** How long a starting VM discovers leaders before it may become one. */
const LEADER_DISCOVERY_MS = 250;
/** How long the computed list of leaders is cached. */
const LEADERS_CACHE_MS = 25;
/** Lifetime of a leader's claim, counted from the VM's own last message. */
const CLAIM_VALID_MS = 2_000;
/** How long a VM that did not answer counts as unavailable. */
const SUSPECTED_FOR_MS = 1_500;

/** State of one other VM, as last reported. */
export interface PeerState {
  readonly vm: VmId;
  /** Monotonic time since which this start of the VM is known. */
  readonly knownSinceMs: number;
  /** Monotonic time of its last message; -Infinity without one. */
  heardAtMs: number;
  /** Monotonic time until which it counts as unavailable. */
  suspectedUntilMs: number;
  isLeaving: boolean;
  /** Wall-clock time since which it is a leader; undefined if it is not. */
  leaderSinceMs: number | undefined;
  /** Monotonic time at which `leaderSinceMs` was last true. */
  leaderKnownAtMs: number;
  /** Load that its callers are to it; 0 unless it is a leader. */
  requestsPerSecond: number;
  /** Version of its configuration; -1 without one, undefined if not known. */
  configurationVersion: number | undefined;
  /** True if it runs an earlier version whose messages are read in part. */
  isOutdated: boolean;
  /** Revision of this VM's servers that it has; undefined if not known. */
  serversSeen: number | undefined;
  /** Revision of its servers that this VM has. */
  serversRevision: number;
  /** Number of VMs that it knows, itself included. */
  vmCount: number;
  /** Digest of its list of VMs; undefined if it has sent none. */
  vmListDigest: number | undefined;
  /** Version of compressed messages that it reads; undefined if none. */
  codec: number | undefined;
  /** Its monotonic clock at its last message; undefined without one. */
  clockMs: number | undefined;
  /** True if it has this VM's record. */
  hasOwnRecord: boolean;
  /** Revision of this VM's suspicions that it has; undefined if it has none. */
  suspicionsSeen: number | undefined;
  /** Revision of its suspicions that this VM has. */
  suspicionsRevision: number;
  /** Wall-clock time of its start; a restarted VM is a new peer. */
  startedAtMs: number;
}

/**
 * Keeps the state that other VMs report of themselves and of the leaders, and
 * chooses the leaders of each zone: the VMs that its callers use.
 */
export class FleetPeers {
  readonly #self: Vm;
  readonly #state: FleetState;
  readonly #clock: Clock;
  readonly #peers = new Map<VmId, PeerState>();
  readonly #startedAtMs: number;
  /** Which VMs reach the backend servers. */
  readonly reach = new VmReachTable();
  /** Load that callers are to this VM, in requests per second. */
  ownRequestsPerSecond = 0;
  readonly #leaderCounts = new Map<ZoneId, number>();
  #leaders: readonly Vm[] = [];
  #leadersComputedAtMs = -Infinity;
  /** Wall-clock time since which this VM is a leader; else undefined. */
  ownLeaderSinceMs: number | undefined;
  isLeaving = false;

  /**
   * Creates the table without any peer state.
   *
   * @param self - this VM
   * @param state - holds the records of all known VMs
   * @param clock - its time of creation starts the discovery of leaders
   */
  constructor(self: Vm, state: FleetState, clock: Clock) {
    this.#self = self;
    this.#state = state;
    this.#clock = clock;
    this.#startedAtMs = clock.readMonotonicMs();
  }

  /**
   * Time left for discovering the current leaders after the start.
   *
   * @returns milliseconds; 0 once this VM may become a leader
   */
  get discoveryLeftMs(): number {
    const nowMs = this.#clock.readMonotonicMs();
    return Math.max(0, this.#startedAtMs + LEADER_DISCOVERY_MS - nowMs);
  }

  /**
   * Returns a VM's state, and creates it after the VM's start or restart.
   *
   * @param vm - the VM
   * @returns the mutable state of this start of the VM
   */
  getPeer(vm: Vm): PeerState {
    const { vm: id, startedAtMs } = vm.incarnation;
    const known = this.#peers.get(id);
    if (known?.startedAtMs === startedAtMs) {
      return known;
    }
    const created: PeerState = {
      vm: id,
      knownSinceMs: this.#clock.readMonotonicMs(),
      heardAtMs: -Infinity,
      suspectedUntilMs: 0,
      isLeaving: false,
      leaderSinceMs: undefined,
      leaderKnownAtMs: -Infinity,
      requestsPerSecond: 0,
      configurationVersion: undefined,
      isOutdated: false,
      serversSeen: undefined,
      serversRevision: 0,
      vmCount: 0,
      vmListDigest: undefined,
      codec: undefined,
      clockMs: undefined,
      hasOwnRecord: false,
      suspicionsSeen: undefined,
      suspicionsRevision: 0,
      startedAtMs,
    };
    this.#peers.set(id, created);
    return created;
  }

  /**
   * Updates the state of a message's sender and of the leaders that it names.
   *
   * @param message - message from another VM
   */
  applyMessage(message: SyncMessage): void {
    if (message.record !== undefined) {
      this.#state.putVm(message.record);
    }
    const from = this.#state.findVm(message.from);
    if (from === undefined) {
      return;
    }
    const peer = this.getPeer(from);
    if (peer.startedAtMs !== message.startedAtMs) {
      // The sender has restarted. Its next message carries its new record.
      return;
    }
    peer.hasOwnRecord = message.knowsReceiver &&
      this.#isForThisProcess(message);
    peer.heardAtMs = this.#clock.readMonotonicMs();
    peer.suspectedUntilMs = 0;
    peer.isLeaving = message.isLeaving;
    if (message.storeEra !== undefined) {
      peer.configurationVersion = message.configurationVersion;
    }
    peer.vmCount = message.vmCount;
    peer.vmListDigest = message.vmListDigest;
    peer.codec = message.codec;
    peer.clockMs = message.clockMs;
    const ownClaim = message.leads.find(({ vm }) => vm === message.from);
    peer.leaderSinceMs = ownClaim?.sinceMs;
    peer.requestsPerSecond = ownClaim?.requestsPerSecond ?? 0;
    peer.leaderKnownAtMs = peer.heardAtMs;
    for (const claim of message.leads) {
      this.#applyClaim(claim);
    }
    this.#leadersComputedAtMs = -Infinity;
  }

  // The sender may know only an earlier process of this VM, whose record it
  // keeps until this one has sent its own.
  #isForThisProcess({ echo }: SyncMessage): boolean {
    return echo?.startedAtMs === this.#self.incarnation.startedAtMs;
  }

  /**
   * Marks a VM that did not answer as unavailable for a while and not a leader.
   *
   * @param vm - the VM
   */
  markSuspected(vm: Vm): void {
    const peer = this.getPeer(vm);
    peer.suspectedUntilMs = this.#clock.readMonotonicMs() + SUSPECTED_FOR_MS;
    peer.leaderSinceMs = undefined;
    peer.leaderKnownAtMs = this.#clock.readMonotonicMs();
    this.#leadersComputedAtMs = -Infinity;
  }

  /**
   * Counts the VMs that are suspected because they did not answer recently.
   *
   * @returns number of suspected VMs
   */
  countSuspected(): number {
    const nowMs = this.#clock.readMonotonicMs();
    let count = 0;
    for (const { suspectedUntilMs } of this.#peers.values()) {
      count += suspectedUntilMs > nowMs ? 1 : 0;
    }
    return count;
  }

  /**
   * Chooses the first leader of a zone.
   *
   * @param zone - availability zone of the callers
   * @returns the leader's record; undefined if no VM of the zone is available
   */
  chooseLeader(zone: ZoneId): Vm | undefined {
    const vms = this.#state.listVms();
    const chosen = chooseLeader(
      zone,
      vms.map((vm) => this.#buildCandidate(vm)),
    );
    return chosen === undefined
      ? undefined
      : vms.find((vm) => vm.incarnation.vm === chosen.id);
  }

  /**
   * Lists the leaders of all zones, those of this VM's own zone first.
   *
   * @returns their records; the list is cached for `LEADERS_CACHE_MS`
   */
  listLeaders(): readonly Vm[] {
    const nowMs = this.#clock.readMonotonicMs();
    if (nowMs - this.#leadersComputedAtMs > LEADERS_CACHE_MS) {
      this.#leaders = this.#chooseLeaders();
      this.#leadersComputedAtMs = nowMs;
    }
    return this.#leaders;
  }

  /**
   * Lists the leaders of one zone. Their number depends on the zone's load.
   *
   * @param zone - availability zone of the callers
   * @returns their records, in order of preference
   */
  listZoneLeaders(zone: ZoneId): readonly Vm[] {
    return this.listLeaders().filter((vm) => vm.zone === zone);
  }

  #chooseLeaders(): readonly Vm[] {
    const vms = this.#state.listVms();
    const byId = new Map(vms.map((vm) => [vm.incarnation.vm, vm]));
    const candidates = vms.map((vm) => this.#buildCandidate(vm));
    const zones = new Set([this.#self.zone, ...vms.map(({ zone }) => zone)]);
    return [...zones].flatMap((zone) => {
      const sorted = sortLeaders(zone, candidates);
      const count = decideLeaderCount(
        this.#leaderCounts.get(zone) ?? 1,
        this.#sumLoad(sorted),
        sorted.map(({ cores }) => cores),
      );
      this.#leaderCounts.set(zone, count);
      return sorted.slice(0, count).flatMap(({ id }) => byId.get(id) ?? []);
    });
  }

  #sumLoad(leaders: readonly LeaderCandidate[]): number {
    return leaders.reduce((sum, { id, leaderSinceMs }) => {
      const load = id === this.#self.incarnation.vm
        ? this.ownRequestsPerSecond
        : this.#peers.get(id)?.requestsPerSecond ?? 0;
      return leaderSinceMs === undefined ? sum : sum + load;
    }, 0);
  }

  /**
   * Reads a VM's current claim to be a leader.
   *
   * @param vm - any VM, this one included
   * @returns the claim; undefined if it is not a leader or its claim expired
   */
  readClaim(vm: Vm): LeadClaim | undefined {
    const { vm: id } = vm.incarnation;
    if (this.#isSelf(vm)) {
      return this.ownLeaderSinceMs === undefined ? undefined : {
        vm: id,
        sinceMs: this.ownLeaderSinceMs,
        ageMs: 0,
        requestsPerSecond: this.ownRequestsPerSecond,
      };
    }
    const { leaderSinceMs, leaderKnownAtMs, requestsPerSecond } = this.getPeer(
      vm,
    );
    const ageMs = this.#clock.readMonotonicMs() - leaderKnownAtMs;
    return leaderSinceMs === undefined || ageMs > CLAIM_VALID_MS ? undefined : {
      vm: id,
      sinceMs: leaderSinceMs,
      ageMs: Math.round(ageMs),
      requestsPerSecond,
    };
  }

  // Other VMs repeat claims they have received, so a claim older than the state
  // known here is ignored.
  #applyClaim(claim: LeadClaim): void {
    const vm = this.#state.findVm(claim.vm);
    if (vm === undefined || this.#isSelf(vm)) {
      return;
    }
    const peer = this.getPeer(vm);
    const knownAtMs = this.#clock.readMonotonicMs() - claim.ageMs;
    if (knownAtMs > peer.leaderKnownAtMs) {
      peer.leaderSinceMs = claim.sinceMs;
      peer.leaderKnownAtMs = knownAtMs;
      peer.requestsPerSecond = claim.requestsPerSecond;
    }
  }

  /**
   * Checks whether another VM serves requests, as far as is known.
   *
   * @param vm - the VM
   * @returns false if it is leaving or did not answer lately
   */
  isAvailable(vm: Vm): boolean {
    const { isLeaving, suspectedUntilMs } = this.getPeer(vm);
    return !isLeaving && suspectedUntilMs <= this.#clock.readMonotonicMs();
  }

  #buildCandidate(vm: Vm): LeaderCandidate {
    const { vm: id } = vm.incarnation;
    const nowMs = this.#clock.readMonotonicMs();
    const reach = this.reach.find(id, nowMs);
    if (this.#isSelf(vm)) {
      return {
        id,
        zone: vm.zone,
        reach,
        isAvailable: !this.isLeaving && this.#state.mayServe() &&
          this.discoveryLeftMs === 0,
        leaderSinceMs: this.ownLeaderSinceMs,
        cores: vm.weight,
        mayTakeOver: true,
      };
    }
    return {
      id,
      zone: vm.zone,
      reach,
      isAvailable: this.isAvailable(vm),
      leaderSinceMs: this.readClaim(vm)?.sinceMs,
      cores: vm.weight,
      mayTakeOver: false,
    };
  }

  #isSelf(vm: Vm): boolean {
    return vm.incarnation.vm === this.#self.incarnation.vm;
  }
}
