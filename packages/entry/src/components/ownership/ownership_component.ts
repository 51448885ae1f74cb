/** Shard ownership of this VM: who holds what, and whether it may act. */

import type { FactBus } from "@limpetford/core/gossip/fact_bus";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import { isSame } from "@limpetford/core/ownership/ownership_fold";
import {
  OwnershipView,
  type ShardOwnership,
} from "@limpetford/core/ownership/ownership_view";
import type { ShardComponent } from "@limpetford/core/ownership/shard_component";
import {
  isHolder,
  mayActAsHolder,
  mayKeepClaims,
} from "@limpetford/core/ownership/shard_replica";
import type { Clock } from "@limpetford/core/time/clock";
import type { Timers } from "@limpetford/core/time/timers";
import type { ShardId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import type { Vm, VmIncarnation } from "@limpetford/domain/vm";
import type {
  PromiseReply,
  PromiseRequest,
  RecordClaimsReply,
  RecordClaimsRequest,
  ResignReply,
  ResignRequest,
} from "@limpetford/peer/generated/ownership";
import {
  convertIncarnation,
  type OwnershipCalls,
  OwnershipHandlers,
} from "@limpetford/peer/ownership_handlers";
import type { LogService } from "@limpetford/platform/log_service";

import type { VmComponent } from "../../ports/vm_component.ts";
import { ObservedLog } from "../configuration/observed_log.ts";
import { OwnedShard } from "./owned_shard.ts";
import { OwnershipDirectory } from "./ownership_directory.ts";
import {
  DEFAULT_OWNERSHIP_SETTINGS,
  type OwnershipSettings,
} from "./ownership_settings.ts";
import { PromiseExchange } from "./promise_exchange.ts";
import { ShardChoice } from "./shard_choice.ts";
import { ShardHandover } from "./shard_handover.ts";
import { decodeClaimItem } from "./shard_record_codec.ts";
import { ShardScheduler } from "./shard_scheduler.ts";
import { isOwnShard, ShardWorker } from "./shard_worker.ts";

/** What an {@link OwnershipComponent} needs. */
export interface OwnershipOptions {
  readonly clock: Clock;
  readonly timers: Timers;
  readonly fleet: FleetView;
  readonly facts: FactBus;
  readonly log: LogService;
  readonly calls: OwnershipCalls;
  /** Differences from the default settings. */
  readonly settings?: Partial<OwnershipSettings>;
}

/**
 * Holds and stands by for shards.
 */
export class OwnershipComponent extends OwnershipView implements VmComponent {
  /** Answers the calls of other VMs. */
  readonly handlers: OwnershipHandlers;
  /** The log, with a record of whether it answers. */
  readonly log: ObservedLog;
  /** Settings in force. */
  readonly settings: OwnershipSettings;
  readonly #options: OwnershipOptions;
  readonly #self: VmIncarnation;
  readonly #shards = new Map<ShardId, OwnedShard>();
  readonly #directory: OwnershipDirectory;
  readonly #choice: ShardChoice;
  readonly #exchange: PromiseExchange;
  readonly #worker: ShardWorker;
  readonly #handover: ShardHandover;
  readonly #scheduler: ShardScheduler;

  /**
   * Creates the component; nothing runs before {@link start}.
   *
   * @param options - the VM's other mechanisms
   */
  constructor(options: OwnershipOptions) {
    super();
    this.#options = options;
    this.#self = options.fleet.readSelf().incarnation;
    this.settings = { ...DEFAULT_OWNERSHIP_SETTINGS, ...options.settings };
    this.#choice = new ShardChoice(this.settings.shardCount);
    this.log = new ObservedLog(options.log);
    this.#directory = new OwnershipDirectory(options.facts, options.fleet);
    const { clock, timers, fleet, calls } = options;
    const { settings, log } = this;
    this.#exchange = new PromiseExchange({
      self: this.#self,
      clock,
      calls,
      log,
      settings,
      openShard: (shard) => this.openShard(shard),
      isStaying: (peer) => this.#worker.isStaying(peer),
      notifyOutdated: (shard) => {
        this.#scheduler.schedulePoll(shard);
      },
      notifyLeaving: (peer) => {
        this.#worker.refuseStandby(peer);
        this.#scheduler.markLeaving(peer);
      },
    });
    this.#worker = new ShardWorker({
      clock,
      fleet,
      settings,
      exchange: this.#exchange,
      choice: this.#choice,
      isLeaving: (vm) => this.#scheduler.isLeaving(vm),
    });
    this.#handover = new ShardHandover({ fleet, calls, settings });
    this.#scheduler = new ShardScheduler({
      clock,
      timers,
      fleet,
      log,
      settings,
      directory: this.#directory,
      choice: this.#choice,
      worker: this.#worker,
      exchange: this.#exchange,
      handover: this.#handover,
      shards: this.#shards,
      openShard: (shard) => this.openShard(shard),
    });
    this.handlers = new ComponentHandlers({
      exchange: this.#exchange,
      receiveClaims: (request) => this.#receiveClaims(request),
      receiveResignation: (request) => this.#receiveResignation(request),
    });
  }

  /**
   * Registers a mechanism that keeps state at the holder. Called before
   * {@link start}.
   *
   * @param component - the mechanism
   */
  registerShardComponent(component: ShardComponent): void {
    this.#handover.register(component);
  }

  override findOwnership(shard: ShardId): ShardOwnership | undefined {
    if (this.isOwnHolder(shard)) {
      return this.#describeOwn(shard);
    }
    const found = this.#directory.findOwnership(shard);
    if (found === undefined) {
      this.#scheduler.scheduleLookup(shard);
    }
    return found;
  }

  override mayAct(shard: ShardId): boolean {
    const owned = this.#shards.get(shard);
    return owned !== undefined &&
      mayActAsHolder(owned.replica, this.#options.clock.readMonotonicMs()) &&
      !this.#options.fleet.isDropped(this.#self);
  }

  /**
   * Checks whether this VM is the holder, with or without a promise.
   *
   * @param shard - the shard
   * @returns true if no other VM can be the holder
   */
  isOwnHolder(shard: ShardId): boolean {
    const owned = this.#shards.get(shard);
    return owned !== undefined && isHolder(owned.replica);
  }

  /**
   * Finds a shard's state, and creates it if this VM has none.
   *
   * @param shard - the shard
   * @returns the state
   */
  openShard(shard: ShardId): OwnedShard {
    const known = this.#shards.get(shard);
    if (known !== undefined) {
      return known;
    }
    const created = new OwnedShard({
      shard,
      self: this.#self,
      clock: this.#options.clock,
      log: this.log,
      settings: this.settings,
      notifyChange: (changed) => {
        this.#applyChange(changed);
      },
    });
    this.#shards.set(shard, created);
    return created;
  }

  /**
   * Lists the shards of which this VM is holder or standby.
   *
   * @returns the shards
   */
  listOwnShards(): readonly OwnedShard[] {
    return [...this.#shards.values()].filter(isOwnShard);
  }

  start(): Promise<void> {
    this.#scheduler.start();
    return Promise.resolve();
  }

  async drain(): Promise<void> {
    this.#exchange.startLeaving();
    await this.#scheduler.drain();
  }

  stop(): Promise<void> {
    this.#scheduler.stop();
    return Promise.resolve();
  }

  #describeOwn(shard: ShardId): ShardOwnership {
    const { replica } = this.openShard(shard);
    const { fleet } = this.#options;
    const { epoch, standby } = replica.ownership;
    const isStandbyOther = standby !== undefined &&
      !isSame(standby, replica.self) && !isSame(standby, replica.gonePeer);
    return {
      shard,
      epoch,
      holder: fleet.readSelf(),
      standby: isStandbyOther ? this.#findVm(standby) : undefined,
    };
  }

  #findVm(incarnation: VmIncarnation): Vm | undefined {
    return this.#options.fleet.findVm(incarnation);
  }

  #applyChange(shard: OwnedShard): void {
    this.#handover.applyChange(shard);
    const { epoch, holder, standby } = shard.replica.ownership;
    if (holder !== undefined) {
      this.#directory.publish({
        kind: "shard-ownership",
        shard: shard.shard,
        epoch,
        holder,
        standby,
      });
    }
  }

  // Claims are kept only while this VM could not yet act for the shard itself;
  // ends of claims are true at any time.
  #receiveClaims(request: RecordClaimsRequest): RecordClaimsReply {
    const shard = this.openShard(toId<ShardId>(request.shard));
    const isStandby = this.#isMeant(request) &&
      mayKeepClaims(shard.replica, request.epoch);
    const items = request.records.flatMap((bytes) =>
      decodeClaimItem(bytes) ?? []
    );
    const isWhole = items.length === request.records.length;
    if (isWhole && isStandby) {
      shard.addItems(items);
      return { isRecorded: true };
    }
    shard.addItems(items.filter((item) => item.kind === "settled"));
    return { isRecorded: false };
  }

  // A new process at the address of an old one must not answer for it.
  #isMeant(request: RecordClaimsRequest | ResignRequest): boolean {
    return isSame(convertIncarnation(request.receiver), this.#self);
  }

  async #receiveResignation(request: ResignRequest): Promise<ResignReply> {
    const from = convertIncarnation(request.sender);
    const shard = this.openShard(toId<ShardId>(request.shard));
    if (from === undefined || !this.#isMeant(request)) {
      return { isAccepted: false };
    }
    if (shard.replica.ownership.epoch < request.epoch) {
      await shard.poll();
    }
    this.#handover.keepStates(shard, request);
    shard.send({
      type: "resignation-received",
      from,
      epoch: request.epoch,
    });
    const isAccepted = isSame(shard.replica.gonePeer, from);
    if (isAccepted) {
      this.#scheduler.scheduleChange(shard);
    }
    return { isAccepted };
  }
}

class ComponentHandlers extends OwnershipHandlers {
  readonly #parts: {
    readonly exchange: PromiseExchange;
    readonly receiveClaims: (r: RecordClaimsRequest) => RecordClaimsReply;
    readonly receiveResignation: (r: ResignRequest) => Promise<ResignReply>;
  };

  constructor(parts: {
    readonly exchange: PromiseExchange;
    readonly receiveClaims: (r: RecordClaimsRequest) => RecordClaimsReply;
    readonly receiveResignation: (r: ResignRequest) => Promise<ResignReply>;
  }) {
    super();
    this.#parts = parts;
  }

  override handlePromise(request: PromiseRequest): PromiseReply {
    return this.#parts.exchange.handlePromise(request);
  }

  override handleRecordClaims(request: RecordClaimsRequest): RecordClaimsReply {
    return this.#parts.receiveClaims(request);
  }

  override async handleResign(request: ResignRequest): Promise<ResignReply> {
    return await this.#parts.receiveResignation(request);
  }
}
