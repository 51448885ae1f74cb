/**
 * Membership of the fleet, combined from the platform's VM list, gossip and
 * messages received directly.
 */

import type { MonotoneFact } from "@limpetford/domain/monotone_fact";
import {
  formatIncarnation,
  isSameIncarnation,
  type Vm,
  type VmIncarnation,
} from "@limpetford/domain/vm";

import { type FactStore, formatFactKey } from "../gossip/fact_store.ts";
import type { Clock } from "../time/clock.ts";
import { FleetView } from "./fleet_view.ts";

/** Time after its last message for which an unlisted VM counts as a member. */
const UNLISTED_VM_TIMEOUT_MS = 30_000;
/** Time for which a message received from a VM overrides suspicions of it. */
const RECENT_CONTACT_MS = 3_000;
/** Number of dropped VMs that are remembered; the oldest are evicted. */
const MAX_DROPPED_VMS = 4_096;

/** A row of the platform's VM list. */
export interface ListedVm {
  readonly vm: Vm;
  readonly isLeaving: boolean;
}

interface KnownVm {
  vm: Vm;
  isListed: boolean;
  isLeaving: boolean;
  isSuspected: boolean;
  /**
   * Monotonic time of the last message from the VM, in milliseconds; -Infinity
   * before the first.
   */
  lastMessageAtMs: number;
}

/** Dependencies of a {@link FleetMembership}. */
export interface FleetMembershipOptions {
  readonly self: Vm;
  readonly facts: FactStore;
  readonly clock: Clock;
}

/**
 * Combines three sources: the platform's VM list, which lags behind; suspicions
 * and announcements of leaving VMs, spread by gossip; and messages received
 * directly.
 */
export class FleetMembership extends FleetView {
  readonly #self: Vm;
  readonly #facts: FactStore;
  readonly #clock: Clock;
  readonly #known = new Map<string, KnownVm>();
  readonly #dropped = new Set<string>();
  #members: readonly Vm[] | undefined;
  #others: readonly Vm[] | undefined;

  /**
   * Creates the membership, which contains only this VM at first.
   *
   * @param options - this VM, the fact store and the clock
   */
  constructor(options: FleetMembershipOptions) {
    super();
    this.#self = options.self;
    this.#facts = options.facts;
    this.#clock = options.clock;
    this.#addKnown(options.self);
    options.facts.subscribe((fact) => {
      this.#applyFact(fact);
    });
  }

  override readSelf(): Vm {
    return this.#self;
  }

  override listMembers(): readonly Vm[] {
    this.#members ??= [...this.#known.values()]
      .filter((known) => !known.isLeaving && this.#isPresent(known))
      .map((known) => known.vm)
      .sort((a, b) => a.incarnation.vm.localeCompare(b.incarnation.vm));
    return this.#members;
  }

  override findVm(incarnation: VmIncarnation): Vm | undefined {
    return this.#known.get(formatIncarnation(incarnation))?.vm;
  }

  override isSuspected(incarnation: VmIncarnation): boolean {
    const known = this.#known.get(formatIncarnation(incarnation));
    return known !== undefined && known.isSuspected &&
      known.lastMessageAtMs < this.#clock.readMonotonicMs() - RECENT_CONTACT_MS;
  }

  override isDropped(incarnation: VmIncarnation): boolean {
    return this.#dropped.has(formatIncarnation(incarnation));
  }

  /**
   * Lists the other members that are not suspected to have failed.
   *
   * @returns VMs sorted by name, without this one
   */
  listReachable(): readonly Vm[] {
    const others = this.#listOthers();
    return this.#hasSuspicions()
      ? others.filter((vm) => !this.isSuspected(vm.incarnation))
      : others;
  }

  /**
   * Lists the other members that are suspected to have failed.
   *
   * @returns VMs sorted by name, without this one
   */
  listSuspected(): readonly Vm[] {
    return this.#listOthers().filter((vm) => this.isSuspected(vm.incarnation));
  }

  /**
   * Applies a new version of the platform's VM list. VMs that were listed
   * before and no longer are become dropped.
   *
   * @param rows - all rows of the list
   */
  applyList(rows: readonly ListedVm[]): void {
    const listed = new Map(
      rows.map((row) => [formatIncarnation(row.vm.incarnation), row]),
    );
    for (const [key, known] of [...this.#known]) {
      if (known.isListed && !listed.has(key)) {
        this.#dropVm(key, known.vm.incarnation);
      }
    }
    for (const [key, row] of listed) {
      this.#applyRow(this.#known.get(key) ?? this.#addKnown(row.vm), row);
    }
  }

  /**
   * Records that a VM, which may not be listed yet, has sent a message.
   * Messages of dropped VMs are ignored.
   *
   * @param vm - record of the sender, as carried by its message
   */
  recordMessageFrom(vm: Vm): void {
    const key = formatIncarnation(vm.incarnation);
    if (this.#dropped.has(key)) {
      return;
    }
    const known = this.#known.get(key) ?? this.#addKnown(vm);
    known.lastMessageAtMs = this.#clock.readMonotonicMs();
  }

  /** Removes unlisted VMs that have sent no message for the time-out. */
  expireUnlisted(): void {
    for (const [key, known] of [...this.#known]) {
      if (!this.#isPresent(known)) {
        this.#known.delete(key);
        this.#resetMembers();
      }
    }
  }

  #listOthers(): readonly Vm[] {
    this.#others ??= this.listMembers().filter((vm) =>
      vm.incarnation.vm !== this.#self.incarnation.vm
    );
    return this.#others;
  }

  #hasSuspicions(): boolean {
    return [...this.#known.values()].some((known) => known.isSuspected);
  }

  #resetMembers(): void {
    this.#members = undefined;
    this.#others = undefined;
  }

  #isPresent(known: KnownVm): boolean {
    return known.isListed ||
      isSameIncarnation(known.vm.incarnation, this.#self.incarnation) ||
      known.lastMessageAtMs >=
        this.#clock.readMonotonicMs() - UNLISTED_VM_TIMEOUT_MS;
  }

  #addKnown(vm: Vm): KnownVm {
    const key = formatIncarnation(vm.incarnation);
    const leaving = this.#facts.findFact(`vm:${key}`);
    const liveness = this.#facts.findFact(`liveness:${key}`);
    const known: KnownVm = {
      vm,
      isListed: false,
      isLeaving: leaving !== undefined,
      isSuspected: liveness?.kind === "vm-liveness" && liveness.isSuspected,
      lastMessageAtMs: -Infinity,
    };
    this.#known.set(key, known);
    this.#resetMembers();
    return known;
  }

  #applyRow(known: KnownVm, row: ListedVm): void {
    const isLeaving = known.isLeaving || row.isLeaving;
    if (!known.isListed || known.isLeaving !== isLeaving) {
      known.vm = row.vm;
      known.isListed = true;
      known.isLeaving = isLeaving;
      this.#resetMembers();
    }
  }

  #dropVm(key: string, incarnation: VmIncarnation): void {
    this.#known.delete(key);
    this.#resetMembers();
    this.#dropped.add(key);
    if (this.#dropped.size > MAX_DROPPED_VMS) {
      const [oldest] = this.#dropped;
      this.#dropped.delete(oldest ?? key);
    }
    this.#facts.evict(formatFactKey({ kind: "vm-leaving", incarnation }));
    this.#facts.evict(formatFactKey({
      kind: "vm-liveness",
      incarnation,
      counter: 0,
      isSuspected: false,
    }));
  }

  #applyFact(fact: MonotoneFact): void {
    if (fact.kind !== "vm-leaving" && fact.kind !== "vm-liveness") {
      return;
    }
    const known = this.#known.get(formatIncarnation(fact.incarnation));
    if (fact.kind === "vm-leaving") {
      this.#setLeaving(known);
      return;
    }
    if (known !== undefined) {
      known.isSuspected = fact.isSuspected;
    }
    if (
      fact.isSuspected &&
      isSameIncarnation(fact.incarnation, this.#self.incarnation)
    ) {
      this.#facts.publish({
        ...fact,
        counter: fact.counter + 1,
        isSuspected: false,
      });
    }
  }

  #setLeaving(known: KnownVm | undefined): void {
    if (known !== undefined) {
      known.isLeaving = true;
      this.#resetMembers();
    }
  }
}
