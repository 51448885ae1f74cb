/** Schedules the background work of shards and limits its concurrency. */

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
import type { PreferredHolders } from "./preferred_holders.ts";
import type { PromiseExchange, SharedShards } from "./promise_exchange.ts";
import type { ShardHandover } from "./shard_handover.ts";
import { isOwnShard, type ShardWorker } from "./shard_worker.ts";

/** Interval at which a draining VM retries handovers, in milliseconds. */
const DRAIN_POLL_MS = 50;
/** Polls after which a drain gives up: 10 s, besides the handovers' calls. */
const MAX_DRAIN_POLLS = 200;
/** Polls after which a drain names standbys that have not answered: 5 s. */
const ANSWER_POLLS = 100;

/** Dependencies of a {@link ShardScheduler}. */
export interface ShardSchedulerOptions {
  readonly clock: Clock;
  readonly timers: Timers;
  readonly fleet: FleetView;
  readonly log: ObservedLog;
  readonly settings: OwnershipSettings;
  readonly directory: OwnershipDirectory;
  readonly preferredHolders: PreferredHolders;
  readonly worker: ShardWorker;
  readonly exchange: PromiseExchange;
  readonly handover: ShardHandover;
  readonly shards: ReadonlyMap<ShardId, OwnedShard>;
  readonly openShard: (shard: ShardId) => OwnedShard;
}

/**
 * Runs the background work of shard ownership on a timer: promise renewal,
 * polling, ownership changes, checkpoints and rebalancing.
 */
export class ShardScheduler {
  readonly #options: ShardSchedulerOptions;
  readonly #inProgress = new Set<ShardId>();
  readonly #pollRequests = new Set<ShardId>();
  readonly #updateRequests = new Set<ShardId>();
  readonly #lookupAtMs = new Map<ShardId, number>();
  readonly #leaving = new Set<string>();
  #cancelTimer: (() => void) | undefined;
  #startedAtMs = 0;
  #renewedAtMs = -Infinity;
  #rebalancedAtMs = 0;
  #isDraining = false;
  #isStopped = false;

  /**
   * Creates the scheduler; no work runs before {@link start}.
   *
   * @param options - shards, timers and the parts that execute the work
   */
  constructor(options: ShardSchedulerOptions) {
    this.#options = options;
  }

  /** Starts the timer that schedules the work of all shards. */
  start(): void {
    this.#startedAtMs = this.#readNow();
    const { timers, settings } = this.#options;
    this.#cancelTimer = scheduleRepeatedly(timers, settings.tickMs, () => {
      this.#runTick();
    });
  }

  /** Stops the timer; work in progress finishes, no more is started. */
  stop(): void {
    this.#cancelTimer?.();
    this.#isStopped = true;
  }

  /**
   * Hands all held shards over to their standbys and waits until this VM is
   * neither holder nor standby of any shard, until no other VM is left, or
   * until the time limit of a drain is reached.
   */
  async drain(): Promise<void> {
    this.#isDraining = true;
    for (let poll = 0; poll < MAX_DRAIN_POLLS; poll += 1) {
      await Promise.all(this.#listHeld().map((shard) => this.#release(shard)));
      if (!this.#hasRole() || this.#isOnlyMember()) {
        return;
      }
      if (poll >= ANSWER_POLLS) {
        await this.#setUnheardStandbys();
      }
      await waitFor(this.#options.timers, DRAIN_POLL_MS);
    }
  }

  /**
   * Requests a read of a shard's stream at the next tick.
   *
   * @param shard - shard to read
   */
  schedulePoll(shard: OwnedShard): void {
    this.#pollRequests.add(shard.shard);
  }

  /**
   * Requests an update of a shard's ownership as soon as possible.
   *
   * @param shard - shard whose holder has resigned
   */
  scheduleUpdate(shard: OwnedShard): void {
    this.#updateRequests.add(shard.shard);
    this.#runWork(shard);
  }

  /**
   * Requests a read of a shard whose owner is not known to this VM. Limited to
   * one read per shard in `standbyPollMs`.
   *
   * @param shard - shard to read
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
   * Records that a VM has announced that it is about to stop.
   *
   * @param vm - incarnation of the VM
   */
  markLeaving(vm: VmIncarnation): void {
    this.#leaving.add(formatIncarnation(vm));
  }

  /**
   * Checks whether a VM has announced that it is about to stop.
   *
   * @param vm - incarnation of the VM
   * @returns true if it has, in this run of its process
   */
  isLeaving(vm: VmIncarnation): boolean {
    return this.#leaving.has(formatIncarnation(vm));
  }

  #runTick(): void {
    const nowMs = this.#readNow();
    const { fleet, preferredHolders, settings } = this.#options;
    preferredHolders.update(fleet.listMembers());
    this.#detectDroppedPeers(nowMs);
    if (this.#renewedAtMs + settings.renewMs <= nowMs) {
      this.#renewedAtMs = nowMs;
      this.#renewPromises();
    }
    if (this.#startedAtMs + settings.startupDelayMs <= nowMs) {
      this.#openUnownedShards();
    }
    for (const shard of this.#options.shards.values()) {
      this.#runWork(shard);
    }
    this.#runRebalance(nowMs);
  }

  #detectDroppedPeers(atMs: number): void {
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
      for (const partner of this.#listPromisingPeers(shard)) {
        const name = formatIncarnation(partner.incarnation);
        const group = groups.get(name) ?? { partner, shards: [] };
        group.shards.push(shard);
        groups.set(name, group);
      }
    }
    return [...groups.values()];
  }

  // If the log's reply to an ownership record was lost, the record may already
  // be in force. The holder also needs the promise of the standby named in it;
  // otherwise it could not act until the log can be read.
  #listPromisingPeers(shard: OwnedShard): readonly Vm[] {
    const { replica } = shard;
    const partner = findPartner(shard);
    const peers = isHolder(replica)
      ? listPossibleSuccessors(replica)
      : partner === undefined || isSame(partner, replica.gonePeer)
      ? []
      : [partner];
    return peers.flatMap((peer) => this.#options.fleet.findVm(peer) ?? []);
  }

  // Opens the shards that have no known holder and whose preferred holder is
  // this VM, so that it claims them.
  #openUnownedShards(): void {
    if (this.#isDraining) {
      return;
    }
    const { preferredHolders, directory, fleet, settings } = this.#options;
    const self = fleet.readSelf().incarnation;
    for (let index = 0; index < settings.shardCount; index += 1) {
      const shard = toId<ShardId>(index);
      const shouldClaim = directory.findOwnership(shard) === undefined &&
        preferredHolders.isPreferred(shard, self);
      if (shouldClaim && !this.#options.shards.has(shard)) {
        this.#options.openShard(shard);
      }
      this.#pollAssigned(shard);
    }
  }

  // A holder that could not reach this VM may have named it as standby.
  #pollAssigned(shard: ShardId): void {
    const { directory, fleet, log, openShard } = this.#options;
    const fact = directory.findFact(shard);
    if (
      isSame(fact?.standby, fleet.readSelf().incarnation) &&
      openShard(shard).replica.ownership.epoch < (fact?.epoch ?? 0) &&
      !log.isUnavailable()
    ) {
      this.#pollRequests.add(shard);
    }
  }

  #runWork(shard: OwnedShard): void {
    const { settings } = this.#options;
    if (
      this.#isStopped || this.#inProgress.has(shard.shard) ||
      this.#inProgress.size >= settings.concurrentChanges
    ) {
      return;
    }
    const work = this.#chooseWork(shard);
    if (work === undefined) {
      return;
    }
    this.#inProgress.add(shard.shard);
    void work().finally(() => {
      this.#inProgress.delete(shard.shard);
    });
  }

  #chooseWork(shard: OwnedShard): (() => Promise<unknown>) | undefined {
    const { worker, settings } = this.#options;
    const nowMs = this.#readNow();
    const isRequested = this.#updateRequests.delete(shard.shard);
    if (isRequested || this.#isUpdateDue(shard, nowMs)) {
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

  #isUpdateDue(shard: OwnedShard, nowMs: number): boolean {
    const { worker, settings, log } = this.#options;
    const isStarting = this.#startedAtMs + settings.startupDelayMs > nowMs;
    // A draining holder must record its takeover and name a standby, since it can
    // hand the shard over to no other VM.
    const mayOnlyFinish = isStarting ||
      (this.#isDraining && !isHolder(shard.replica));
    if (mayOnlyFinish) {
      return shard.replica.pending !== undefined;
    }
    const isRetryEarly = log.isUnavailable() &&
      this.#renewedAtMs !== nowMs;
    return !isRetryEarly && worker.shouldAppendRecord(shard);
  }

  #runRebalance(nowMs: number): void {
    const { settings, worker, log } = this.#options;
    const isEarly = this.#rebalancedAtMs + settings.rebalanceMs > nowMs;
    if (isEarly || log.isUnavailable() || this.#isDraining) {
      return;
    }
    const shard = this.#listHeld().find((item) =>
      !this.#inProgress.has(item.shard) &&
      worker.findBetterHolder(item) !== undefined
    );
    const target = shard && worker.findBetterHolder(shard);
    if (shard === undefined || target === undefined) {
      return;
    }
    this.#rebalancedAtMs = nowMs;
    this.#inProgress.add(shard.shard);
    const { standby } = shard.replica.ownership;
    const work = isSame(standby, target.incarnation)
      ? this.#release(shard)
      : worker.setStandby(shard, target);
    void work.finally(() => {
      this.#inProgress.delete(shard.shard);
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

  // Without a standby, the next holder might miss claims and run no new key.
  async #setUnheardStandbys(): Promise<void> {
    const alone = this.#listHeld().filter(({ replica }) => {
      const { standby } = replica.ownership;
      return standby === undefined || isSame(standby, replica.self);
    });
    await Promise.all(
      alone.map((shard) => this.#options.worker.setUnheardStandby(shard)),
    );
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

  // Without another member there is no VM that could take over a shard.
  #isOnlyMember(): boolean {
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
