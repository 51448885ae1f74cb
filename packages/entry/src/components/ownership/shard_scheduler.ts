/** Decides when each shard is looked at, and keeps the work bounded. */

import type { FleetView } from "@limpetford/core/membership/fleet_view";
import { isSame } from "@limpetford/core/ownership/ownership_fold";
import { findPromiseEnd } from "@limpetford/core/ownership/promise";
import {
  isHolder,
  listPossibleSuccessors,
} from "@limpetford/core/ownership/shard_replica";
import type { Clock } from "@limpetford/core/time/clock";
import {
  scheduleRepeatedly,
  type Timers,
  waitFor,
} from "@limpetford/core/time/timers";
import type { ShardId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import {
  formatIncarnation,
  type Vm,
  type VmIncarnation,
} from "@limpetford/domain/vm";

import type { ObservedLog } from "../configuration/observed_log.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { OwnershipDirectory } from "./ownership_directory.ts";
import type { OwnershipSettings } from "./ownership_settings.ts";
import type { PromiseExchange, SharedShards } from "./promise_exchange.ts";
import type { ShardChoice } from "./shard_choice.ts";
import type { ShardHandover } from "./shard_handover.ts";
import { isOwnShard, type ShardWorker } from "./shard_worker.ts";

const DRAIN_STEP_MS = 50;
const DRAIN_STEPS = 200;

/** What a {@link ShardScheduler} needs. */
export interface ShardSchedulerOptions {
  readonly clock: Clock;
  readonly timers: Timers;
  readonly fleet: FleetView;
  readonly log: ObservedLog;
  readonly settings: OwnershipSettings;
  readonly directory: OwnershipDirectory;
  readonly choice: ShardChoice;
  readonly worker: ShardWorker;
  readonly exchange: PromiseExchange;
  readonly handover: ShardHandover;
  readonly shards: ReadonlyMap<ShardId, OwnedShard>;
  readonly openShard: (shard: ShardId) => OwnedShard;
}

/**
 * Runs the background work of shard ownership.
 */
export class ShardScheduler {
  readonly #options: ShardSchedulerOptions;
  readonly #busy = new Set<ShardId>();
  readonly #pollRequests = new Set<ShardId>();
  readonly #changeRequests = new Set<ShardId>();
  readonly #lookupAtMs = new Map<ShardId, number>();
  readonly #leaving = new Set<string>();
  #cancelTicks: (() => void) | undefined;
  #startedAtMs = 0;
  #renewedAtMs = -Infinity;
  #rebalancedAtMs = 0;
  #isDraining = false;
  #isStopped = false;

  /**
   * Creates the scheduler.
   *
   * @param options - the parts that do the work
   */
  constructor(options: ShardSchedulerOptions) {
    this.#options = options;
  }

  /** Starts the timer. */
  start(): void {
    this.#startedAtMs = this.#readNow();
    const { timers, settings } = this.#options;
    this.#cancelTicks = scheduleRepeatedly(timers, settings.tickMs, () => {
      this.#runTick();
    });
  }

  /** Stops the timer. */
  stop(): void {
    this.#cancelTicks?.();
    this.#isStopped = true;
  }

  /**
   * Hands all shards over, then waits until this VM stands by for none, or
   * until its time is up.
   */
  async drain(): Promise<void> {
    this.#isDraining = true;
    for (let step = 0; step < DRAIN_STEPS; step += 1) {
      await Promise.all(this.#listHeld().map((shard) => this.#release(shard)));
      if (!this.#hasRole() || this.#isAlone()) {
        return;
      }
      await waitFor(this.#options.timers, DRAIN_STEP_MS);
    }
  }

  /**
   * Requests a read of a shard's stream.
   *
   * @param shard - the shard
   */
  schedulePoll(shard: OwnedShard): void {
    this.#pollRequests.add(shard.shard);
  }

  /**
   * Requests a look at a shard whose pair has changed.
   *
   * @param shard - the shard
   */
  scheduleChange(shard: OwnedShard): void {
    this.#changeRequests.add(shard.shard);
    this.#runWork(shard);
  }

  /**
   * Requests a read of a shard of which no ownership is known here.
   *
   * @param shard - the shard
   */
  scheduleLookup(shard: ShardId): void {
    const nowMs = this.#readNow();
    const last = this.#lookupAtMs.get(shard) ?? -Infinity;
    if (last + this.#options.settings.standbyPollMs > nowMs) {
      return;
    }
    this.#lookupAtMs.set(shard, nowMs);
    this.#pollRequests.add(shard);
    this.#runWork(this.#options.openShard(shard));
  }

  /**
   * Marks a VM as one that is about to stop.
   *
   * @param vm - the run of its process
   */
  markLeaving(vm: VmIncarnation): void {
    this.#leaving.add(formatIncarnation(vm));
  }

  /**
   * Checks whether a VM has said that it is about to stop.
   *
   * @param vm - the run of its process
   * @returns true if it has
   */
  isLeaving(vm: VmIncarnation): boolean {
    return this.#leaving.has(formatIncarnation(vm));
  }

  #runTick(): void {
    const nowMs = this.#readNow();
    const { fleet, choice, settings } = this.#options;
    choice.update(fleet.listMembers());
    this.#detectDropped(nowMs);
    if (this.#renewedAtMs + settings.renewMs <= nowMs) {
      this.#renewedAtMs = nowMs;
      this.#renewPromises();
    }
    if (this.#startedAtMs + settings.settleMs <= nowMs) {
      this.#openOrphans();
    }
    for (const shard of this.#options.shards.values()) {
      this.#runWork(shard);
    }
    this.#runRebalance(nowMs);
  }

  #detectDropped(atMs: number): void {
    for (const shard of this.#options.shards.values()) {
      const peer = findPartner(shard);
      if (
        peer !== undefined && !isSame(peer, shard.replica.gonePeer) &&
        this.#options.fleet.isDropped(peer)
      ) {
        shard.send({ type: "peer-dropped", peer, atMs });
      }
    }
  }

  #renewPromises(): void {
    for (const shared of this.#listSharedShards()) {
      void this.#options.exchange.renew(shared);
    }
  }

  #listSharedShards(): readonly SharedShards[] {
    const groups = new Map<string, { partner: Vm; shards: OwnedShard[] }>();
    for (const shard of this.#options.shards.values()) {
      for (const partner of this.#listPromisers(shard)) {
        const name = formatIncarnation(partner.incarnation);
        const group = groups.get(name) ?? { partner, shards: [] };
        group.shards.push(shard);
        groups.set(name, group);
      }
    }
    return [...groups.values()];
  }

  // A holder also needs the promise of a standby that it has named in a record
  // whose answer was lost, or it could not act until the log can be read.
  #listPromisers(shard: OwnedShard): readonly Vm[] {
    const { replica } = shard;
    const partner = findPartner(shard);
    const peers = isHolder(replica)
      ? listPossibleSuccessors(replica)
      : partner === undefined || isSame(partner, replica.gonePeer)
      ? []
      : [partner];
    return peers.flatMap((peer) => this.#options.fleet.findVm(peer) ?? []);
  }

  // Opens the shards that this VM should claim: nobody is known to hold them.
  #openOrphans(): void {
    if (this.#isDraining) {
      return;
    }
    const { choice, directory, fleet, settings } = this.#options;
    const self = fleet.readSelf().incarnation;
    for (let index = 0; index < settings.shardCount; index += 1) {
      const shard = toId<ShardId>(index);
      const isOrphan = directory.findOwnership(shard) === undefined &&
        choice.isFirst(shard, self);
      if (isOrphan && !this.#options.shards.has(shard)) {
        this.#options.openShard(shard);
      }
    }
  }

  #runWork(shard: OwnedShard): void {
    const { settings } = this.#options;
    if (
      this.#isStopped || this.#busy.has(shard.shard) ||
      this.#busy.size >= settings.concurrentChanges
    ) {
      return;
    }
    const work = this.#chooseWork(shard);
    if (work === undefined) {
      return;
    }
    this.#busy.add(shard.shard);
    void work().finally(() => {
      this.#busy.delete(shard.shard);
    });
  }

  #chooseWork(shard: OwnedShard): (() => Promise<unknown>) | undefined {
    const { worker, settings } = this.#options;
    const nowMs = this.#readNow();
    const isRequested = this.#changeRequests.delete(shard.shard);
    if (isRequested || this.#isChangeDue(shard, nowMs)) {
      return () => worker.updateOwnership(shard);
    }
    const isPollDue = isOwnShard(shard) &&
      shard.polledAtMs + settings.standbyPollMs <= nowMs;
    if (this.#pollRequests.delete(shard.shard) || isPollDue) {
      return () => shard.poll();
    }
    const isCheckpointDue = isHolder(shard.replica) &&
      shard.checkpointAtMs + settings.checkpointMs <= nowMs;
    if (isCheckpointDue) {
      return () => worker.writeCheckpoint(shard);
    }
    return undefined;
  }

  #isChangeDue(shard: OwnedShard, nowMs: number): boolean {
    const { worker, settings, log } = this.#options;
    if (this.#isDraining || this.#startedAtMs + settings.settleMs > nowMs) {
      return shard.replica.pending !== undefined;
    }
    const isRetryEarly = log.isUnavailable() &&
      this.#renewedAtMs !== nowMs;
    return !isRetryEarly && worker.shouldChange(shard);
  }

  #runRebalance(nowMs: number): void {
    const { settings, worker, log } = this.#options;
    const isEarly = this.#rebalancedAtMs + settings.rebalanceMs > nowMs;
    if (isEarly || log.isUnavailable() || this.#isDraining) {
      return;
    }
    const shard = this.#listHeld().find((item) =>
      !this.#busy.has(item.shard) && worker.findBetterHolder(item) !== undefined
    );
    const target = shard && worker.findBetterHolder(shard);
    if (shard === undefined || target === undefined) {
      return;
    }
    this.#rebalancedAtMs = nowMs;
    this.#busy.add(shard.shard);
    const { standby } = shard.replica.ownership;
    const work = isSame(standby, target.incarnation)
      ? this.#release(shard)
      : worker.setStandby(shard, target);
    void work.finally(() => {
      this.#busy.delete(shard.shard);
    });
  }

  async #release(shard: OwnedShard): Promise<void> {
    const { replica } = shard;
    const partner = findPartner(shard);
    const standby = partner && this.#options.fleet.findVm(partner);
    const mayResign = standby !== undefined && replica.pending === undefined &&
      isSame(replica.ownership.holder, replica.self) &&
      !isSame(partner, replica.gonePeer) && !replica.hasResigned &&
      findPromiseEnd(replica.received, standby.incarnation) !== undefined;
    if (mayResign) {
      await this.#options.handover.release(shard, standby);
    }
  }

  #listHeld(): readonly OwnedShard[] {
    return [...this.#options.shards.values()].filter((shard) =>
      isHolder(shard.replica)
    );
  }

  #hasRole(): boolean {
    return [...this.#options.shards.values()].some((shard) =>
      !shard.replica.hasResigned && isOwnShard(shard)
    );
  }

  // Nobody could take anything over.
  #isAlone(): boolean {
    const { fleet } = this.#options;
    const self = fleet.readSelf().incarnation;
    return fleet.listMembers().every((vm) => isSame(vm.incarnation, self));
  }

  #readNow(): number {
    return this.#options.clock.readMonotonicMs();
  }
}

function findPartner(shard: OwnedShard): VmIncarnation | undefined {
  const { ownership, self } = shard.replica;
  if (isSame(ownership.holder, self)) {
    return ownership.standby;
  }
  return isSame(ownership.standby, self) ? ownership.holder : undefined;
}
