/** Reads a shard's log stream and appends ownership records that are due. */

import type { FleetView } from "@limpetford/core/membership/fleet_view";
import {
  isPairMember,
  isSame,
} from "@limpetford/core/ownership/ownership_fold";
import {
  type PlanContext,
  planOwnership,
} from "@limpetford/core/ownership/ownership_plan";
import {
  isHolder,
  mayActAsHolder,
} from "@limpetford/core/ownership/shard_replica";
import { chooseStandby } from "@limpetford/core/ownership/standby_choice";
import type { Clock } from "@limpetford/core/time/clock";
import {
  formatIncarnation,
  type Vm,
  type VmIncarnation,
} from "@limpetford/domain/vm";

import type { OwnedShard } from "./owned_shard.ts";
import type { OwnershipSettings } from "./ownership_settings.ts";
import type { PreferredHolders } from "./preferred_holders.ts";
import type { PromiseExchange } from "./promise_exchange.ts";

/** Dependencies of a {@link ShardWorker}. */
export interface ShardWorkerOptions {
  readonly clock: Clock;
  readonly fleet: FleetView;
  readonly settings: OwnershipSettings;
  readonly exchange: PromiseExchange;
  readonly preferredHolders: PreferredHolders;
  /** Returns true if a VM has announced that it is about to stop. */
  readonly isLeaving: (vm: VmIncarnation) => boolean;
}

/**
 * Executes ownership changes of a shard: reads the stream, requests the promise
 * of the new standby, appends the record and reads it back.
 */
export class ShardWorker {
  readonly #options: ShardWorkerOptions;
  readonly #excludedUntilMs = new Map<string, number>();
  #lastRecordNumber = 0;

  /**
   * Creates the worker; it excludes no VM as standby yet.
   *
   * @param options - clock, membership view, settings and promise exchange
   */
  constructor(options: ShardWorkerOptions) {
    this.#options = options;
  }

  /**
   * Excludes a VM as standby for `standbyCooldownMs`.
   *
   * @param vm - incarnation of the VM
   */
  refuseStandby(vm: Vm["incarnation"]): void {
    const untilMs = this.#options.clock.readMonotonicMs() +
      this.#options.settings.standbyCooldownMs;
    this.#excludedUntilMs.set(formatIncarnation(vm), untilMs);
  }

  /**
   * Checks whether a VM is a member of the fleet that is not about to stop.
   *
   * @param vm - incarnation of the VM
   * @returns false if it is leaving or gone
   */
  isActiveMember(vm: VmIncarnation): boolean {
    const { fleet, isLeaving } = this.#options;
    return !isLeaving(vm) &&
      fleet.listMembers().some((member) => isSame(member.incarnation, vm));
  }

  /**
   * Checks whether an ownership record is pending or due, given the records
   * that have been read so far.
   *
   * @param shard - shard to check
   * @returns true if {@link updateOwnership} would append a record
   */
  shouldAppendRecord(shard: OwnedShard): boolean {
    return shard.replica.pending !== undefined ||
      planOwnership(shard.replica, this.#buildContext(shard)) !== undefined;
  }

  /**
   * Reads the shard's stream and appends the ownership record that is due, if
   * any. If a record is pending, only that one is appended again.
   *
   * @param shard - shard to update
   */
  async updateOwnership(shard: OwnedShard): Promise<void> {
    if (!await shard.poll()) {
      return;
    }
    if (shard.replica.pending !== undefined) {
      await shard.appendPending();
      return;
    }
    if (await this.#prepareStandby(shard)) {
      await this.#appendPlannedRecord(shard);
    }
  }

  /**
   * Appends a checkpoint of ownership and claims.
   *
   * @param shard - shard that this VM holds
   */
  async writeCheckpoint(shard: OwnedShard): Promise<void> {
    const { ownership, self } = shard.replica;
    if (ownership.holder === undefined) {
      return;
    }
    await shard.appendCheckpoint({
      kind: "ownership",
      change: "checkpoint",
      id: this.#buildRecordId(),
      proposer: self,
      basedOn: ownership.epoch,
      epoch: ownership.epoch,
      holder: ownership.holder,
      standby: ownership.standby,
      unknownUntilMs: ownership.unknownUntilMs,
    });
  }

  /**
   * Finds the VM to which rebalancing should move a shard that is held here.
   *
   * @param shard - shard to check
   * @returns the preferred holder; undefined if that is this VM, if this VM may
   * not act as holder, or if a record is pending
   */
  findBetterHolder(shard: OwnedShard): Vm | undefined {
    const nowMs = this.#options.clock.readMonotonicMs();
    const preferred = this.#options.preferredHolders.findPreferred(shard.shard);
    const { replica } = shard;
    const shouldMove = preferred !== undefined &&
      mayActAsHolder(replica, nowMs) &&
      isSame(replica.ownership.holder, replica.self) &&
      !isSame(preferred.incarnation, replica.self) &&
      replica.pending === undefined;
    return shouldMove ? preferred : undefined;
  }

  /**
   * Replaces the standby of a shard, so that the shard can be handed over to
   * the new one.
   *
   * @param shard - shard that this VM holds
   * @param standby - the shard's preferred holder
   */
  async setStandby(shard: OwnedShard, standby: Vm): Promise<void> {
    const shared = { partner: standby, shards: [shard] };
    if (
      await shard.poll() && await this.#options.exchange.fetchPromises(shared)
    ) {
      await this.#appendRecord(shard, {
        ...this.#buildContext(shard),
        standbyChoice: standby.incarnation,
        isMember: (vm) => isSame(vm, standby.incarnation),
      });
    }
  }

  /**
   * Names a standby that has made no promise, so that the claims of a shard have
   * a successor. This VM may not act for the shard until that VM promises.
   *
   * @param shard - shard that this VM holds without a standby
   */
  async setUnheardStandby(shard: OwnedShard): Promise<void> {
    if (await shard.poll()) {
      const { fleet } = this.#options;
      const standbyChoice = this.#chooseStandby(shard, (vm) =>
        !fleet.isSuspected(vm)) ??
        this.#chooseStandby(shard, () => true);
      const context = this.#buildContext(shard);
      await this.#appendRecord(shard, { ...context, standbyChoice });
    }
  }

  // The new standby's promise is requested before the record is appended, so
  // that the holder may act as soon as the record is in the log.
  async #prepareStandby(shard: OwnedShard): Promise<boolean> {
    const context = this.#buildContext(shard);
    const record = planOwnership(shard.replica, context);
    if (record?.standby === undefined) {
      return record !== undefined;
    }
    const partner = this.#options.fleet.findVm(record.standby);
    if (partner === undefined) {
      return false;
    }
    if (
      await this.#options.exchange.fetchPromises({ partner, shards: [shard] })
    ) {
      return true;
    }
    this.refuseStandby(partner.incarnation);
    return false;
  }

  async #appendPlannedRecord(shard: OwnedShard): Promise<void> {
    await this.#appendRecord(shard, this.#buildContext(shard));
  }

  async #appendRecord(shard: OwnedShard, context: PlanContext): Promise<void> {
    const record = planOwnership(shard.replica, context);
    if (record === undefined) {
      return;
    }
    shard.send({ type: "append-sent", record });
    await shard.appendPending();
  }

  #buildContext(shard: OwnedShard): PlanContext {
    const { clock, fleet, settings, preferredHolders } = this.#options;
    return {
      nowMs: clock.readMonotonicMs(),
      wallMs: clock.readWallMs(),
      isDropped: (vm) => fleet.isDropped(vm),
      isMember: (vm) => this.isActiveMember(vm),
      isFirstChoice: preferredHolders.isPreferred(
        shard.shard,
        shard.replica.self,
      ),
      standbyChoice: this.#chooseStandby(
        shard,
        (vm) => this.#isStandbyAllowed(vm),
      ),
      replaceAfterMs: settings.replaceAfterMs,
      resendHorizonMs: settings.resendHorizonMs,
      recordId: this.#buildRecordId(),
    };
  }

  // Chooses the VM that would replace the current standby. Excludes the
  // current pair and VMs that are leaving.
  #chooseStandby(
    shard: OwnedShard,
    isAllowed: (vm: VmIncarnation) => boolean,
  ): VmIncarnation | undefined {
    const { fleet, isLeaving } = this.#options;
    const { ownership } = shard.replica;
    const chosen = chooseStandby(
      fleet.readSelf(),
      fleet.listMembers(),
      ({ incarnation }) =>
        !isSame(incarnation, ownership.holder) &&
        !isSame(incarnation, ownership.standby) &&
        !isLeaving(incarnation) && isAllowed(incarnation),
    );
    return chosen?.incarnation;
  }

  #isStandbyAllowed(vm: VmIncarnation): boolean {
    const { clock, fleet } = this.#options;
    const untilMs = this.#excludedUntilMs.get(formatIncarnation(vm));
    return (untilMs ?? -Infinity) <= clock.readMonotonicMs() &&
      !fleet.isSuspected(vm);
  }

  #buildRecordId(): string {
    this.#lastRecordNumber += 1;
    const { incarnation } = this.#options.fleet.readSelf();
    return `${formatIncarnation(incarnation)}/${this.#lastRecordNumber}`;
  }
}

/**
 * Checks whether this VM is holder or standby of a shard, or has a pending
 * ownership record for it. State that was only created to reply to a promise
 * request or a lookup doesn't count.
 *
 * @param shard - shard to check
 * @returns true if this VM has a role for the shard
 */
export function isOwnShard(shard: OwnedShard): boolean {
  const { replica } = shard;
  return replica.pending !== undefined || isHolder(replica) ||
    isPairMember(replica.ownership, replica.self);
}
