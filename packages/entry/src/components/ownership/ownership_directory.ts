/** Looks up shard ownership from facts that are gossiped between VMs. */

import type { FactBus } from "@limpetford/core/gossip/fact_bus";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import type { ShardOwnership } from "@limpetford/core/ownership/ownership_view";
import type { ShardId } from "@limpetford/domain/ids";
import type { MonotoneFact } from "@limpetford/domain/monotone_fact";
import type { VmIncarnation } from "@limpetford/domain/vm";

/** Fact that names holder and standby of a shard by their incarnations. */
export type OwnershipFact = Extract<MonotoneFact, { kind: "shard-ownership" }>;

/**
 * Keeps the ownership fact with the highest epoch of each shard. Facts may be
 * out of date, so they are only hints for routing requests.
 */
export class OwnershipDirectory {
  readonly #facts = new Map<ShardId, OwnershipFact>();
  readonly #bus: FactBus;
  readonly #fleet: FleetView;

  /**
   * Creates an empty directory and subscribes to ownership facts.
   *
   * @param bus - bus on which facts from other VMs arrive
   * @param fleet - membership view used to resolve incarnations to VMs
   */
  constructor(bus: FactBus, fleet: FleetView) {
    this.#bus = bus;
    this.#fleet = fleet;
    bus.subscribe((fact) => {
      if (fact.kind === "shard-ownership") {
        this.#store(fact);
      }
    });
  }

  /**
   * Publishes ownership that this VM has read from the log. Facts with an
   * epoch that is not newer than the known one are ignored.
   *
   * @param fact - ownership of one shard
   */
  publish(fact: OwnershipFact): void {
    if (this.#store(fact)) {
      this.#bus.publish(fact);
    }
  }

  /**
   * Finds the newest fact of a shard.
   *
   * @param shard - shard to look up
   * @returns the fact with the highest epoch, or undefined if none is known
   */
  findFact(shard: ShardId): OwnershipFact | undefined {
    return this.#facts.get(shard);
  }

  /**
   * Finds holder and standby of a shard. If the holder has been dropped from
   * the VM list, the standby is returned as holder.
   *
   * @param shard - shard to look up
   * @returns the ownership, or undefined if neither VM is a known member
   */
  findOwnership(shard: ShardId): ShardOwnership | undefined {
    const fact = this.#facts.get(shard);
    if (fact === undefined) {
      return undefined;
    }
    const standby = this.#findActiveVm(fact.standby);
    const holder = this.#findActiveVm(fact.holder) ?? standby;
    return holder === undefined ? undefined : {
      shard,
      epoch: fact.epoch,
      holder,
      standby: holder === standby ? undefined : standby,
    };
  }

  #findActiveVm(incarnation: VmIncarnation | undefined) {
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
