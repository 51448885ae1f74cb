/** Replicates claims to the VMs that may become holder of their shard. */

import type { ClaimItem } from "@limpetford/core/claims/claim_record";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import {
  formatIncarnation,
  type Vm,
  type VmIncarnation,
} from "@limpetford/domain/vm";
import type { OwnershipCalls } from "@limpetford/peer/ownership_handlers";

import type { OwnedShard } from "../ownership/owned_shard.ts";
import { encodeClaimItem } from "../ownership/shard_record_codec.ts";

/** Dependencies of a {@link ClaimReplication}. */
export interface ClaimReplicationOptions {
  readonly fleet: FleetView;
  readonly calls: OwnershipCalls;
  readonly callTimeoutMs: number;
}

/** Items of one shard that go to one VM in the same message. */
interface Batch {
  readonly shard: OwnedShard;
  readonly peer: Vm;
  items: ClaimItem[];
  reply: Promise<boolean> | undefined;
}

/**
 * Sends claim items to other VMs. Items that arrive while a message for the
 * same shard and VM is in flight are batched into the next one.
 */
export class ClaimReplication {
  readonly #options: ClaimReplicationOptions;
  readonly #batches = new Map<string, Batch>();
  readonly #inFlight = new Map<string, Promise<boolean>>();

  /**
   * Creates the replication without any messages in flight.
   *
   * @param options - membership view, RPC client and its timeout
   */
  constructor(options: ClaimReplicationOptions) {
    this.#options = options;
  }

  /**
   * Sends items to a VM and waits for its reply.
   *
   * @param shard - shard that the items belong to
   * @param to - incarnation of the receiving VM
   * @param items - claims and outcomes of claims
   * @returns true if the VM has recorded them; false if it refused, did not
   * reply in time, or is not a known member
   */
  async send(
    shard: OwnedShard,
    to: VmIncarnation,
    items: readonly ClaimItem[],
  ): Promise<boolean> {
    const peer = this.#options.fleet.findVm(to);
    if (peer === undefined) {
      return false;
    }
    const key = `${shard.shard} ${formatIncarnation(to)}`;
    const batch = this.#batches.get(key) ??
      { shard, peer, items: [], reply: undefined };
    batch.items.push(...items);
    this.#batches.set(key, batch);
    batch.reply ??= this.#sendBatch(key, batch);
    return await batch.reply;
  }

  async #sendBatch(key: string, batch: Batch): Promise<boolean> {
    await this.#inFlight.get(key);
    this.#batches.delete(key);
    const reply = this.#sendMessage(batch);
    this.#inFlight.set(key, reply);
    const isRecorded = await reply;
    if (this.#inFlight.get(key) === reply) {
      this.#inFlight.delete(key);
    }
    return isRecorded;
  }

  async #sendMessage({ shard, peer, items }: Batch): Promise<boolean> {
    const reply = await this.#options.calls.sendRecordClaims({
      sender: shard.replica.self,
      shard: shard.shard,
      epoch: shard.replica.ownership.epoch,
      records: items.map((item) => Buffer.from(encodeClaimItem(item))),
      receiver: peer.incarnation,
    }, { to: peer.peerAddress, timeoutMs: this.#options.callTimeoutMs });
    return reply.ok && reply.value.isRecorded;
  }
}
