/** Notifies components when this VM acquires or releases a shard. */

import type { FleetView } from "@limpetford/core/membership/fleet_view";
import { isSame } from "@limpetford/core/ownership/ownership_fold";
import type {
  OwnershipOrigin,
  ShardComponent,
} from "@limpetford/core/ownership/shard_component";
import { isHolder } from "@limpetford/core/ownership/shard_replica";
import type { ShardId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import type { ResignRequest } from "@limpetford/peer/generated/ownership";
import type { OwnershipCalls } from "@limpetford/peer/ownership_handlers";

import type { OwnedShard } from "./owned_shard.ts";
import type { OwnershipSettings } from "./ownership_settings.ts";

const MAX_RESIGN_ATTEMPTS = 5;
const FIRST_EPOCH = 1;

/** Dependencies of a {@link ShardHandover}. */
export interface ShardHandoverOptions {
  readonly fleet: FleetView;
  readonly calls: OwnershipCalls;
  readonly settings: OwnershipSettings;
}

/** Component states that the previous holder sent with its resignation. */
interface ReceivedState {
  readonly epoch: number;
  readonly states: ReadonlyMap<string, Uint8Array>;
}

/**
 * Tracks which shards this VM's components have acquired, and transfers their
 * state to the standby in a planned handover.
 */
export class ShardHandover {
  readonly #options: ShardHandoverOptions;
  readonly #components: ShardComponent[] = [];
  readonly #acquired = new Set<ShardId>();
  readonly #heldBefore = new Set<ShardId>();
  readonly #received = new Map<ShardId, ReceivedState>();

  /**
   * Creates the handover without components or shards.
   *
   * @param options - membership view, RPC client and settings
   */
  constructor(options: ShardHandoverOptions) {
    this.#options = options;
  }

  /**
   * Registers a component that keeps state at the holder of a shard.
   *
   * @param component - component to notify of all shards
   */
  register(component: ShardComponent): void {
    this.#components.push(component);
  }

  /**
   * Lets the components acquire a shard when this VM has become its holder, and
   * release it when this VM no longer is.
   *
   * @param shard - shard whose ownership state may have changed
   */
  applyChange(shard: OwnedShard): void {
    const id = shard.shard;
    const isHeld = isHolder(shard.replica);
    if (isHeld && !this.#acquired.has(id)) {
      this.#acquired.add(id);
      this.#acquire(shard);
    } else if (!isHeld && this.#acquired.delete(id)) {
      this.#received.delete(id);
      for (const component of this.#components) {
        component.releaseShard(id);
      }
    }
  }

  /**
   * Stores the component states that a resigning holder has sent, until this VM
   * acquires the shard.
   *
   * @param shard - shard that is handed over
   * @param request - resignation with the epoch and the component states
   */
  storeStates(shard: OwnedShard, request: ResignRequest): void {
    this.#received.set(shard.shard, {
      epoch: request.epoch,
      states: new Map(
        request.states.map((item) => [item.component, item.state]),
      ),
    });
  }

  /**
   * Stops acting as holder of a shard and hands it over to its standby.
   *
   * @param shard - shard that this VM holds, without a pending record
   * @param standby - standby of the shard
   * @returns true if the standby has accepted the handover
   */
  async release(shard: OwnedShard, standby: Vm): Promise<boolean> {
    const { self, ownership } = shard.replica;
    const states = this.#components.map((component) => ({
      component: component.componentName,
      state: Buffer.from(component.prepareHandover(shard.shard)),
    }));
    shard.send({ type: "resigned" });
    for (let attempt = 0; attempt < MAX_RESIGN_ATTEMPTS; attempt += 1) {
      const reply = await this.#options.calls.sendResign({
        sender: self,
        shard: shard.shard,
        epoch: ownership.epoch,
        states,
        receiver: standby.incarnation,
      }, {
        to: standby.peerAddress,
        timeoutMs: this.#options.settings.callTimeoutMs,
      });
      if (reply.ok && reply.value.isAccepted) {
        return true;
      }
    }
    return false;
  }

  #acquire(shard: OwnedShard): void {
    const received = this.#received.get(shard.shard);
    const wasHeldBefore = this.#heldBefore.has(shard.shard);
    this.#heldBefore.add(shard.shard);
    const states = received?.epoch === shard.replica.ownership.epoch
      ? received.states
      : undefined;
    for (const component of this.#components) {
      const state = states?.get(component.componentName);
      const origin: OwnershipOrigin = state === undefined
        ? describeOrigin(shard, wasHeldBefore)
        : { kind: "handover", state };
      component.acquireShard(shard.shard, origin);
    }
  }
}

// In the first epoch the holder that claimed the shard has no predecessor.
function describeOrigin(
  shard: OwnedShard,
  wasHeldBefore: boolean,
): OwnershipOrigin {
  const { ownership, self } = shard.replica;
  const isFirst = !wasHeldBefore && ownership.epoch === FIRST_EPOCH &&
    isSame(ownership.holder, self);
  return { kind: isFirst ? "first" : "takeover" };
}
