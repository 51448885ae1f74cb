/** Renews the promises between this VM and its partners. */

import { isSame } from "@limpetford/core/ownership/ownership_fold";
import {
  computeReceivedEnd,
  findPromiseEnd,
} from "@limpetford/core/ownership/promise";
import { isHolder, mayPromise } from "@limpetford/core/ownership/shard_replica";
import type { Clock } from "@limpetford/core/time/clock";
import type { ShardId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import {
  formatIncarnation,
  isSameIncarnation,
  type Vm,
  type VmIncarnation,
} from "@limpetford/domain/vm";
import type {
  PromiseReply,
  PromiseRequest,
} from "@limpetford/peer/generated/ownership";
import {
  convertIncarnation,
  type OwnershipCalls,
} from "@limpetford/peer/ownership_handlers";

import type { ObservedLog } from "../configuration/observed_log.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { OwnershipSettings } from "./ownership_settings.ts";

/** What a {@link PromiseExchange} needs. */
export interface PromiseExchangeOptions {
  readonly self: VmIncarnation;
  readonly clock: Clock;
  readonly calls: OwnershipCalls;
  readonly log: ObservedLog;
  readonly settings: OwnershipSettings;
  /** Finds a shard, and opens it if this VM has no state of it. */
  readonly openShard: (shard: ShardId) => OwnedShard;
  /** Told of a shard whose newer epoch a partner knows. */
  readonly notifyOutdated: (shard: OwnedShard) => void;
  /** Tells whether a VM stays, so that it need not be replaced. */
  readonly isStaying: (peer: VmIncarnation) => boolean;
  /** Told of a partner that is about to stop. */
  readonly notifyLeaving: (peer: VmIncarnation) => void;
}

/** A partner and the shards that this VM shares with it. */
export interface SharedShards {
  readonly partner: Vm;
  readonly shards: readonly OwnedShard[];
}

/**
 * Asks partners for promises, one message per partner, and answers theirs.
 */
export class PromiseExchange {
  readonly #options: PromiseExchangeOptions;
  readonly #underWay = new Set<string>();
  #isLeaving = false;

  /**
   * Creates the exchange.
   *
   * @param options - clock, calls and shards
   */
  constructor(options: PromiseExchangeOptions) {
    this.#options = options;
  }

  /** Tells partners from now on that this VM is about to stop. */
  startLeaving(): void {
    this.#isLeaving = true;
  }

  /**
   * Renews the promises of a partner; does nothing while a call is under way.
   *
   * @param shared - the partner and the shards
   */
  async renew(shared: SharedShards): Promise<void> {
    const name = formatIncarnation(shared.partner.incarnation);
    if (this.#underWay.has(name)) {
      return;
    }
    this.#underWay.add(name);
    await this.fetchPromises(shared);
    this.#underWay.delete(name);
  }

  /**
   * Asks a VM for promises.
   *
   * @param shared - the VM and the shards
   * @returns true if it promised for all of them
   */
  async fetchPromises({ partner, shards }: SharedShards): Promise<boolean> {
    const { clock, settings, calls, self } = this.#options;
    const lengthMs = this.#options.log.isUnavailable()
      ? settings.longPromiseMs
      : settings.promiseMs;
    const sentAtMs = clock.readMonotonicMs();
    const reply = await calls.sendPromise({
      sender: self,
      shards: shards.map((shard) => ({
        shard: shard.shard,
        epoch: shard.replica.ownership.epoch,
      })),
      lengthMs,
      isLeaving: this.#isLeaving,
      receiver: partner.incarnation,
    }, { to: partner.peerAddress, timeoutMs: settings.callTimeoutMs });
    if (!reply.ok) {
      return false;
    }
    const untilMs = computeReceivedEnd(sentAtMs, lengthMs);
    this.#applyReply(reply.value, {
      shards,
      peer: partner.incarnation,
      untilMs,
    });
    return reply.value.promised.length === shards.length;
  }

  /**
   * Answers a partner's wish.
   *
   * @param request - the shards and the length of the promise
   * @returns the shards that are promised
   */
  handlePromise(request: PromiseRequest): PromiseReply {
    const peer = convertIncarnation(request.sender);
    const receiver = convertIncarnation(request.receiver);
    if (peer === undefined || !isSame(receiver, this.#options.self)) {
      return { promised: [], outdated: [] };
    }
    if (request.isLeaving) {
      this.#options.notifyLeaving(peer);
    }
    const promised: number[] = [];
    const outdated: number[] = [];
    for (const wish of request.shards) {
      const shard = this.#options.openShard(toId<ShardId>(wish.shard));
      const known = shard.replica.ownership.epoch;
      if (known > wish.epoch) {
        outdated.push(wish.shard);
      } else if (this.#shouldPromise(shard, { peer, epoch: wish.epoch })) {
        this.#recordPromise(shard, peer, request.lengthMs);
        promised.push(wish.shard);
      }
      if (known < wish.epoch) {
        this.#options.notifyOutdated(shard);
      }
    }
    return { promised, outdated };
  }

  #recordPromise(
    shard: OwnedShard,
    peer: VmIncarnation,
    lengthMs: number,
  ): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    shard.send({ type: "promise-given", peer, untilMs: nowMs + lengthMs });
  }

  #applyReply(
    reply: PromiseReply,
    asked: {
      readonly shards: readonly OwnedShard[];
      readonly peer: VmIncarnation;
      readonly untilMs: number;
    },
  ): void {
    const promised = new Set(reply.promised);
    const outdated = new Set(reply.outdated);
    for (const shard of asked.shards) {
      if (promised.has(shard.shard)) {
        const { peer, untilMs } = asked;
        shard.send({ type: "promise-received", peer, untilMs });
      }
      if (outdated.has(shard.shard)) {
        this.#options.notifyOutdated(shard);
      }
    }
  }

  // A holder whose standby no longer promises, or is leaving, must become free
  // to replace it, so it lets its own promise run out. With the log away
  // nothing could be replaced.
  #shouldPromise(
    shard: OwnedShard,
    wish: { readonly peer: VmIncarnation; readonly epoch: number },
  ): boolean {
    const { replica } = shard;
    if (!mayPromise(replica, wish)) {
      return false;
    }
    const { standby } = replica.ownership;
    const isOwnStandby = isHolder(replica) && standby !== undefined &&
      isSameIncarnation(standby, wish.peer);
    if (!isOwnStandby || this.#options.log.isUnavailable()) {
      return true;
    }
    const { clock, settings, isStaying } = this.#options;
    if (!isStaying(wish.peer)) {
      return false;
    }
    const end = findPromiseEnd(replica.received, wish.peer);
    return end === undefined ||
      end + settings.replaceAfterMs > clock.readMonotonicMs();
  }
}
