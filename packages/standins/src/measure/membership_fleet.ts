/** A fleet of VMs that run membership and gossip in virtual time. */

import { formatFactKey } from "@limpetford/core/gossip/fact_store";
import {
  type RegionId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { MonotoneFact } from "@limpetford/domain/monotone_fact";
import { formatIncarnation, type Vm } from "@limpetford/domain/vm";

import { MeteredLinks } from "./metered_links.ts";
import { VirtualMember } from "./virtual_member.ts";
import { VirtualTime } from "./virtual_time.ts";

const DEFAULT_ZONE_COUNT = 3;
/** Interval at which the VMs read the platform's VM list. */
const LIST_INTERVAL_MS = 2_000;
const PEER_PORT = 7_100;
const CALLER_PORT = 7_000;

/** Options of {@link MembershipFleet}. */
export interface MembershipFleetOptions {
  /** Number of VMs. */
  readonly size: number;
  /** Seed of all random numbers. */
  readonly seed: number;
  /** Number of availability zones; default 3. */
  readonly zoneCount?: number;
}

/**
 * Runs the VMs, which discover each other from the platform's VM list.
 */
export class MembershipFleet {
  readonly time = new VirtualTime();
  readonly links = new MeteredLinks(this.time);
  readonly members: readonly VirtualMember[];
  readonly #byName = new Map<string, VirtualMember>();
  /** Stopped VMs that the platform's list still shows. */
  readonly #listedAfterStop = new Set<string>();

  /**
   * Creates the fleet and starts every VM.
   *
   * @param options - number of VMs and zones, and the seed
   */
  constructor(options: MembershipFleetOptions) {
    const zoneCount = options.zoneCount ?? DEFAULT_ZONE_COUNT;
    this.members = Array.from(
      { length: options.size },
      (_, index) =>
        new VirtualMember({
          vm: makeVm(index, index % zoneCount),
          fleet: this,
          seed: options.seed * 1_000 + index,
        }),
    );
    for (const member of this.members) {
      this.#byName.set(formatIncarnation(member.vm.incarnation), member);
    }
    for (const member of this.members) {
      member.start();
    }
    this.#updateLists();
  }

  /**
   * Finds the simulated process of a VM.
   *
   * @param vm - compared by its incarnation
   * @returns the member, running or not; undefined if the fleet has no such VM
   */
  findMember(vm: Vm): VirtualMember | undefined {
    return this.#byName.get(formatIncarnation(vm.incarnation));
  }

  /**
   * Lists the members whose processes run.
   *
   * @returns the running members, in the order of their start
   */
  listRunning(): readonly VirtualMember[] {
    return this.members.filter((member) => member.isRunning);
  }

  /**
   * Stops a member's process; the platform's list drops it later.
   *
   * @param member - the member to stop
   * @param listLagMs - time for which the list still shows it
   */
  stopMember(member: VirtualMember, listLagMs: number): void {
    const name = formatIncarnation(member.vm.incarnation);
    member.isRunning = false;
    this.#listedAfterStop.add(name);
    this.time.schedule(listLagMs, () => {
      this.#listedAfterStop.delete(name);
    });
  }

  /**
   * Measures how long a fact takes to reach every running VM.
   *
   * @param fact - published at the first running VM
   * @param limitMs - virtual time after which to give up
   * @returns virtual milliseconds; undefined if a VM did not receive it in time
   */
  measurePropagationMs(
    fact: MonotoneFact,
    limitMs: number,
  ): number | undefined {
    const key = formatFactKey(fact);
    const startMs = this.time.readMonotonicMs();
    this.listRunning()[0]?.facts.publish(fact);
    for (let stepMs = 1; stepMs <= limitMs; stepMs += 1) {
      this.time.advanceTo(startMs + stepMs);
      if (this.listRunning().every((m) => m.facts.findFact(key))) {
        return stepMs;
      }
    }
    return undefined;
  }

  #updateLists(): void {
    const rows = this.members
      .filter((member) =>
        member.isRunning ||
        this.#listedAfterStop.has(formatIncarnation(member.vm.incarnation))
      )
      .map((member) => ({ vm: member.vm, isLeaving: false }));
    for (const member of this.listRunning()) {
      member.membership.applyList(rows);
    }
    this.time.schedule(LIST_INTERVAL_MS, () => {
      this.#updateLists();
    });
  }
}

function makeVm(index: number, zone: number): Vm {
  const host = `127.0.${index >> 8}.${index & 0xff}`;
  return {
    incarnation: { vm: toId<VmId>(`vm-${index}`), startedAtMs: 1 },
    zone: toId<ZoneId>(`zone-${zone}`),
    region: toId<RegionId>("region-1"),
    callerAddress: { host, port: CALLER_PORT },
    peerAddress: { host, port: PEER_PORT },
    weight: 1,
  };
}
