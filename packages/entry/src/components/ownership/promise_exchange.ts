/**
 * Requests and grants the promises that protect a shard's holder. A promise is
 * a lease: until it expires, the VM that granted it appends no ownership record
 * for the shard, unless the other VM is gone. So the holder may act without
 * reading the log.
 */

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

/** Dependencies of a {@link PromiseExchange}. */
export interface PromiseExchangeOptions {
  readonly self: VmIncarnation;
  readonly clock: Clock;
  readonly calls: OwnershipCalls;
  readonly log: ObservedLog;
  readonly settings: OwnershipSettings;
  /** Returns the state of a shard, creating it if this VM has none. */
  readonly openShard: (shard: ShardId) => OwnedShard;
  /** Called for a shard of which a partner knows a newer epoch. */
  readonly notifyOutdated: (shard: OwnedShard) => void;
  /** Returns false if a VM is leaving or gone and must be replaced. */
  readonly isActiveMember: (peer: VmIncarnation) => boolean;
  /** Called for a VM that has announced that it is about to stop. */
  readonly notifyLeaving: (peer: VmIncarnation) => void;
}

/** A partner VM and the shards for which its promise is requested. */
export interface SharedShards {
  readonly partner: Vm;
  readonly shards: readonly OwnedShard[];
}

/**
 * Requests promises from partners, with one message per partner for all shared
 * shards, and handles the requests of other VMs.
 */
export class PromiseExchange {
  readonly #options: PromiseExchangeOptions;
  readonly #inFlight = new Set<string>();
  #isLeaving = false;

  /**
   * Creates the exchange.
   *
   * @param options - clock, RPC client, log and access to the shards
   */
  constructor(options: PromiseExchangeOptions) {
    this.#options = options;
  }

  /** Announces in all further requests that this VM is about to stop. */
  startLeaving(): void {
    this.#isLeaving = true;
  }

  /**
   * Renews the promises of a partner. Has no effect while an earlier renewal
   * with the same partner is in flight.
   *
   * @param shared - partner and the shards to renew
   */
  async renew(shared: SharedShards): Promise<void> {
    const name = formatIncarnation(shared.partner.incarnation);
    if (this.#inFlight.has(name)) {
      return;
    }
    this.#inFlight.add(name);
    await this.fetchPromises(shared);
    this.#inFlight.delete(name);
  }

  /**
   * Requests promises from a VM and records those that it grants.
   *
   * @param shared - the VM and the shards that it shares with this VM
   * @returns true if it granted a promise for every shard
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
   * Handles a promise request from another VM.
   *
   * @param request - shards with the sender's epochs, and promise duration
   * @returns the shards that are promised, and those whose epoch is outdated at
   * the sender
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
    for (const entry of request.shards) {
      const shard = this.#options.openShard(toId<ShardId>(entry.shard));
      const knownEpoch = shard.replica.ownership.epoch;
      if (knownEpoch > entry.epoch) {
        outdated.push(entry.shard);
      } else if (this.#shouldPromise(shard, { peer, epoch: entry.epoch })) {
        this.#recordPromise(shard, peer, request.lengthMs);
        promised.push(entry.shard);
      }
      if (knownEpoch < entry.epoch) {
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
    request: {
      readonly shards: readonly OwnedShard[];
      readonly peer: VmIncarnation;
      readonly untilMs: number;
    },
  ): void {
    const promised = new Set(reply.promised);
    const outdated = new Set(reply.outdated);
    for (const shard of request.shards) {
      if (promised.has(shard.shard)) {
        const { peer, untilMs } = request;
        shard.send({ type: "promise-received", peer, untilMs });
      }
      if (outdated.has(shard.shard)) {
        this.#options.notifyOutdated(shard);
      }
    }
  }

  // A promise to its standby would keep the holder from replacing that standby.
  // So if the standby is leaving or its own promise expired more than
  // `replaceAfterMs` ago, the holder grants no further promise and lets the
  // last one expire. While the log is unavailable no standby can be replaced,
  // so the promise is granted.
  #shouldPromise(
    shard: OwnedShard,
    request: { readonly peer: VmIncarnation; readonly epoch: number },
  ): boolean {
    const { replica } = shard;
    if (!mayPromise(replica, request)) {
      return false;
    }
    const { standby } = replica.ownership;
    const isOwnStandby = isHolder(replica) && standby !== undefined &&
      isSameIncarnation(standby, request.peer);
    if (!isOwnStandby || this.#options.log.isUnavailable()) {
      return true;
    }
    const { clock, settings, isActiveMember } = this.#options;
    if (!isActiveMember(request.peer)) {
      return false;
    }
    const end = findPromiseEnd(replica.received, request.peer);
    return end === undefined ||
      end + settings.replaceAfterMs > clock.readMonotonicMs();
  }
}
