/** Which VMs of this VM's zone hear it, and may not grant for themselves. */

import type { ZoneContacts } from "@limpetford/core/limits/side_share";
import type { TeamShares } from "@limpetford/core/limits/team_shares";
import type { Clock } from "@limpetford/core/time/clock";
import type { VmId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

import type { FleetPeers } from "./fleet_peers.ts";
import type { FleetState } from "./fleet_state.ts";

/** Time after which a VM counts as silent if it has confirmed no later message. */
const SILENT_AFTER_MS = 1_500;
/** How long the counts are cached. */
const CACHE_MS = 25;
/** A VM that has been silent for this long counts as gone from the fleet. */
const GONE_AFTER_MS = 600_000;

/** What a leader needs to know of its own zone and of the others. */
export interface CountedContacts extends ZoneContacts {
  /** Zones of which no leader is known although they have VMs. */
  readonly zonesWithoutLeader: number;
}

/** Dependencies of a {@link ZoneContactTable}. */
export interface ZoneContactTableOptions {
  readonly self: Vm;
  readonly state: FleetState;
  readonly peers: FleetPeers;
  readonly clock: Clock;
  /** The shares of the leaders, which leave a silent leader its own for a while. */
  readonly shares: Pick<TeamShares, "hasShare">;
}

/**
 * Follows which VMs have received messages of this VM. A VM that is heard but does
 * not hear counts as silent, as in a one-way partition.
 */
export class ZoneContactTable {
  readonly #options: ZoneContactTableOptions;
  readonly #startedAtMs: number;
  /** Monotonic time of the last message that each VM has confirmed. */
  readonly #confirmedAtMs = new Map<VmId, number>();
  #counted: CountedContacts | undefined;
  #countedAtMs = -Infinity;

  /**
   * Creates a table in which no VM has confirmed a message.
   *
   * @param options - this VM and its view of the others
   */
  constructor(options: ZoneContactTableOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.readMonotonicMs();
  }

  /**
   * Records which message of this VM another VM has applied.
   *
   * @param vm - the other VM
   * @param sentAtMs - monotonic time at which it was built; undefined if it has
   * applied none of this process
   */
  recordConfirmation(vm: VmId, sentAtMs: number | undefined): void {
    const known = this.#confirmedAtMs.get(vm) ?? -Infinity;
    this.#confirmedAtMs.set(vm, Math.max(known, sentAtMs ?? -Infinity));
  }

  /**
   * Counts the VMs of this zone and the zones without a leader. Only the zone's
   * first leader exchanges messages with all of its VMs; any other leader counts
   * none as silent.
   *
   * @returns numbers of VMs and zones, cached for `CACHE_MS`
   */
  countContacts(): CountedContacts {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (this.#counted === undefined || nowMs - this.#countedAtMs > CACHE_MS) {
      this.#counted = this.#countNow();
      this.#countedAtMs = nowMs;
    }
    return this.#counted;
  }

  #countNow(): CountedContacts {
    const { self, state, peers } = this.#options;
    const vms = state.listVms();
    const present = vms.filter((vm) => this.#isSelf(vm) || this.#isPresent(vm));
    const zoneVms = present.filter(({ zone }) => zone === self.zone);
    const [first] = peers.listZoneLeaders(self.zone);
    const isFirst = first !== undefined && this.#isSelf(first);
    const ledZones = new Set(peers.listLeaders().map(({ zone }) => zone));
    const zones = new Set(present.map(({ zone }) => zone));
    return {
      zoneVms: zoneVms.length,
      silentVms: isFirst
        ? zoneVms.filter((vm) => !this.#isSelf(vm) && this.#isSilent(vm)).length
        : 0,
      fleetVms: vms.length,
      zonesWithoutLeader:
        [...zones].filter((zone) => !ledZones.has(zone)).length,
    };
  }

  #isPresent(vm: Vm): boolean {
    const { peers, clock } = this.#options;
    const { isLeaving, heardAtMs } = peers.getPeer(vm);
    const presentAtMs = Math.max(heardAtMs, this.#startedAtMs);
    return !isLeaving && clock.readMonotonicMs() - presentAtMs < GONE_AFTER_MS;
  }

  #isSilent(vm: Vm): boolean {
    const { peers, clock, shares } = this.#options;
    const { vm: id } = vm.incarnation;
    const nowMs = clock.readMonotonicMs();
    const confirmedAtMs = this.#confirmedAtMs.get(id) ?? -Infinity;
    const isHeard = peers.isAvailable(vm) &&
      nowMs - confirmedAtMs <= SILENT_AFTER_MS;
    return !isHeard && !shares.hasShare(id, nowMs);
  }

  #isSelf(vm: Vm): boolean {
    return vm.incarnation.vm === this.#options.self.incarnation.vm;
  }
}
