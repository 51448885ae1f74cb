/** What this VM has heard about the ownership of all shards. */

import type { FactBus } from "@limpetford/core/gossip/fact_bus";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import type { ShardOwnership } from "@limpetford/core/ownership/ownership_view";
import type { ShardId } from "@limpetford/domain/ids";
import type { MonotoneFact } from "@limpetford/domain/monotone_fact";
import type { VmIncarnation } from "@limpetford/domain/vm";

/** Ownership of a shard by incarnations. */
export type OwnershipFact = Extract<MonotoneFact, { kind: "shard-ownership" }>;

/**
 * Keeps the newest fact of each shard, a hint for where requests go.
 */
export class OwnershipDirectory {
  readonly #facts = new Map<ShardId, OwnershipFact>();
  readonly #board: FactBus;
  readonly #fleet: FleetView;

  /**
   * Subscribes to the facts.
   *
   * @param board - where facts arrive
   * @param fleet - the VMs
   */
  constructor(board: FactBus, fleet: FleetView) {
    this.#board = board;
    this.#fleet = fleet;
    board.subscribe((fact) => {
      if (fact.kind === "shard-ownership") {
        this.#store(fact);
      }
    });
  }

  /**
   * Publishes an epoch that this VM has read in the log.
   *
   * @param fact - the epoch
   */
  publish(fact: OwnershipFact): void {
    if (this.#store(fact)) {
      this.#board.publish(fact);
    }
  }

  /**
   * Finds the newest fact of a shard.
   *
   * @param shard - the shard
   * @returns the fact, or undefined
   */
  findFact(shard: ShardId): OwnershipFact | undefined {
    return this.#facts.get(shard);
  }

  /**
   * Finds holder and standby of a shard. A holder that is gone is left out in
   * favour of its standby.
   *
   * @param shard - the shard
   * @returns the ownership, or undefined if no living holder is known
   */
  findOwnership(shard: ShardId): ShardOwnership | undefined {
    const fact = this.#facts.get(shard);
    if (fact === undefined) {
      return undefined;
    }
    const standby = this.#findLiving(fact.standby);
    const holder = this.#findLiving(fact.holder) ?? standby;
    return holder === undefined ? undefined : {
      shard,
      epoch: fact.epoch,
      holder,
      standby: holder === standby ? undefined : standby,
    };
  }

  #findLiving(incarnation: VmIncarnation | undefined) {
    return incarnation === undefined || this.#fleet.isDropped(incarnation)
      ? undefined
      : this.#fleet.findVm(incarnation);
  }

  #store(fact: OwnershipFact): boolean {
    const known = this.#facts.get(fact.shard);
    if (known !== undefined && known.epoch >= fact.epoch) {
      return false;
    }
    this.#facts.set(fact.shard, fact);
    return true;
  }
}
