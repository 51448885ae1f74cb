/** What this VM knows of the other VMs as peers. */

import {
  chooseLeader,
  type LeaderCandidate,
  sortLeaders,
} from "@limpetford/core/fleet/leader_election";
import { decideLeaderCount } from "@limpetford/core/fleet/leader_count";
import type { Clock } from "@limpetford/core/time/clock";
import type { VmId, ZoneId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import type { LeadClaim, SyncMessage } from "@limpetford/peer/fleet_sync";

import type { FleetState } from "./fleet_state.ts";

/** Time in which a started VM learns who leads before it may do so itself. */
const LEARNING_MS = 250;
/** How long the list of leads is used before it is computed again. */
const LEADS_VALID_MS = 25;
/** A claim to lead holds for this long after the VM itself was heard. */
const CLAIM_VALID_MS = 2_000;
/** A VM that did not answer is left alone for this long. */
const SUSPECTED_FOR_MS = 1_500;

/** What is known of one other VM. */
export interface PeerKnowledge {
  /** Monotonic time of its last message; -Infinity without one. */
  heardAtMs: number;
  suspectedUntilMs: number;
  isLeaving: boolean;
  leadSinceMs: number | undefined;
  /** Monotonic time up to which it is known whether it leads. */
  leadKnownAtMs: number;
  /** What callers send to it, while it leads. */
  requestsPerSecond: number;
  configurationOffset: number;
  serversOffset: number;
  vmCount: number;
  /** Its clock as of its last message. */
  clockMs: number | undefined;
  /** True if it knows this VM's record. */
  hasOwnRecord: boolean;
  startedAtMs: number;
}

/**
 * Keeps what other VMs say of themselves and of the leads, and chooses the lead
 * of each zone from it.
 */
export class FleetPeers {
  readonly #self: Vm;
  readonly #state: FleetState;
  readonly #clock: Clock;
  readonly #known = new Map<VmId, PeerKnowledge>();
  readonly #startedAtMs: number;
  /** Requests per second that callers send to this VM. */
  ownRequestsPerSecond = 0;
  readonly #leadCounts = new Map<ZoneId, number>();
  #leads: readonly Vm[] = [];
  #leadsAtMs = -Infinity;
  /** Wall-clock time since which this VM leads; undefined if it does not. */
  ownLeadSinceMs: number | undefined;
  isLeaving = false;

  /**
   * Starts without knowledge.
   *
   * @param self - this VM
   * @param state - the list of VMs
   * @param clock - the clock
   */
  constructor(self: Vm, state: FleetState, clock: Clock) {
    this.#self = self;
    this.#state = state;
    this.#clock = clock;
    this.#startedAtMs = clock.readMonotonicMs();
  }

  /**
   * How much longer this VM learns who leads.
   *
   * @returns milliseconds; 0 once it may lead itself
   */
  get learningLeftMs(): number {
    const nowMs = this.#clock.readMonotonicMs();
    return Math.max(0, this.#startedAtMs + LEARNING_MS - nowMs);
  }

  /**
   * Finds what is known of a VM.
   *
   * @param vm - the VM
   * @returns the knowledge, empty at first
   */
  getPeer(vm: Vm): PeerKnowledge {
    const { vm: id, startedAtMs } = vm.incarnation;
    const known = this.#known.get(id);
    if (known?.startedAtMs === startedAtMs) {
      return known;
    }
    const created: PeerKnowledge = {
      heardAtMs: -Infinity,
      suspectedUntilMs: 0,
      isLeaving: false,
      leadSinceMs: undefined,
      leadKnownAtMs: -Infinity,
      requestsPerSecond: 0,
      configurationOffset: -1,
      serversOffset: 0,
      vmCount: 0,
      clockMs: undefined,
      hasOwnRecord: false,
      startedAtMs,
    };
    this.#known.set(id, created);
    return created;
  }

  /**
   * Takes in a message.
   *
   * @param message - what the other VM says
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
      // The sender has started anew and sends its record with its next message.
      return;
    }
    peer.hasOwnRecord = message.knowsReceiver;
    peer.heardAtMs = this.#clock.readMonotonicMs();
    peer.suspectedUntilMs = 0;
    peer.isLeaving = message.isLeaving;
    peer.configurationOffset = message.configurationOffset;
    peer.serversOffset = message.serversOffset;
    peer.vmCount = message.vmCount;
    peer.clockMs = message.clockMs;
    const ownClaim = message.leads.find(({ vm }) => vm === message.from);
    peer.leadSinceMs = ownClaim?.sinceMs;
    peer.requestsPerSecond = ownClaim?.requestsPerSecond ?? 0;
    peer.leadKnownAtMs = peer.heardAtMs;
    for (const claim of message.leads) {
      this.#applyClaim(claim);
    }
    this.#leadsAtMs = -Infinity;
  }

  /**
   * Notes that a VM did not answer.
   *
   * @param vm - the VM
   */
  markSuspected(vm: Vm): void {
    const peer = this.getPeer(vm);
    peer.suspectedUntilMs = this.#clock.readMonotonicMs() + SUSPECTED_FOR_MS;
    peer.leadSinceMs = undefined;
    peer.leadKnownAtMs = this.#clock.readMonotonicMs();
    this.#leadsAtMs = -Infinity;
  }

  /**
   * Counts the VMs that did not answer lately.
   *
   * @returns the number
   */
  countSuspected(): number {
    const nowMs = this.#clock.readMonotonicMs();
    let count = 0;
    for (const { suspectedUntilMs } of this.#known.values()) {
      count += suspectedUntilMs > nowMs ? 1 : 0;
    }
    return count;
  }

  /**
   * Chooses the lead of a zone.
   *
   * @param zone - the zone
   * @returns the lead's record, or undefined if no VM of the zone is available
   */
  chooseLead(zone: ZoneId): Vm | undefined {
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
   * Lists the leads of all zones, this VM's own zone first.
   *
   * @returns their records
   */
  listLeads(): readonly Vm[] {
    const nowMs = this.#clock.readMonotonicMs();
    if (nowMs - this.#leadsAtMs > LEADS_VALID_MS) {
      this.#leads = this.#chooseLeads();
      this.#leadsAtMs = nowMs;
    }
    return this.#leads;
  }

  /**
   * Lists the leads of one zone, as many as its load asks for.
   *
   * @param zone - the zone
   * @returns their records, the first lead first
   */
  listZoneLeads(zone: ZoneId): readonly Vm[] {
    return this.listLeads().filter((vm) => vm.zone === zone);
  }

  #chooseLeads(): readonly Vm[] {
    const vms = this.#state.listVms();
    const byId = new Map(vms.map((vm) => [vm.incarnation.vm, vm]));
    const candidates = vms.map((vm) => this.#buildCandidate(vm));
    const zones = new Set([this.#self.zone, ...vms.map(({ zone }) => zone)]);
    return [...zones].flatMap((zone) => {
      const sorted = sortLeaders(zone, candidates);
      const count = decideLeaderCount(
        this.#leadCounts.get(zone) ?? 1,
        this.#sumLoad(sorted),
        sorted.map(({ cores }) => cores),
      );
      this.#leadCounts.set(zone, count);
      return sorted.slice(0, count).flatMap(({ id }) => byId.get(id) ?? []);
    });
  }

  #sumLoad(leads: readonly LeaderCandidate[]): number {
    return leads.reduce((sum, { id, leaderSinceMs: leadSinceMs }) => {
      const load = id === this.#self.incarnation.vm
        ? this.ownRequestsPerSecond
        : this.#known.get(id)?.requestsPerSecond ?? 0;
      return leadSinceMs === undefined ? sum : sum + load;
    }, 0);
  }

  /**
   * Reads whether a VM leads.
   *
   * @param vm - the VM
   * @returns its claim, or undefined if it does not, as far as is known
   */
  readClaim(vm: Vm): LeadClaim | undefined {
    const { vm: id } = vm.incarnation;
    if (this.#isSelf(vm)) {
      return this.ownLeadSinceMs === undefined ? undefined : {
        vm: id,
        sinceMs: this.ownLeadSinceMs,
        ageMs: 0,
        requestsPerSecond: this.ownRequestsPerSecond,
      };
    }
    const { leadSinceMs, leadKnownAtMs, requestsPerSecond } = this.getPeer(vm);
    const ageMs = this.#clock.readMonotonicMs() - leadKnownAtMs;
    return leadSinceMs === undefined || ageMs > CLAIM_VALID_MS ? undefined : {
      vm: id,
      sinceMs: leadSinceMs,
      ageMs: Math.round(ageMs),
      requestsPerSecond,
    };
  }

  // What is older than this VM's own knowledge is an echo.
  #applyClaim(claim: LeadClaim): void {
    const vm = this.#state.findVm(claim.vm);
    if (vm === undefined || this.#isSelf(vm)) {
      return;
    }
    const peer = this.getPeer(vm);
    const knownAtMs = this.#clock.readMonotonicMs() - claim.ageMs;
    if (knownAtMs > peer.leadKnownAtMs) {
      peer.leadSinceMs = claim.sinceMs;
      peer.leadKnownAtMs = knownAtMs;
      peer.requestsPerSecond = claim.requestsPerSecond;
    }
  }

  #buildCandidate(vm: Vm): LeaderCandidate {
    const { vm: id } = vm.incarnation;
    if (this.#isSelf(vm)) {
      return {
        id,
        zone: vm.zone,
        isAvailable: !this.isLeaving && this.#state.isInForce() &&
          this.learningLeftMs === 0,
        leaderSinceMs: this.ownLeadSinceMs,
        cores: vm.weight,
      };
    }
    const peer = this.getPeer(vm);
    const nowMs = this.#clock.readMonotonicMs();
    return {
      id,
      zone: vm.zone,
      isAvailable: !peer.isLeaving && peer.suspectedUntilMs <= nowMs,
      leaderSinceMs: this.readClaim(vm)?.sinceMs,
      cores: vm.weight,
    };
  }

  #isSelf(vm: Vm): boolean {
    return vm.incarnation.vm === this.#self.incarnation.vm;
  }
}
