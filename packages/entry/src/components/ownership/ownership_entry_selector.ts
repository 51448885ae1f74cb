/** Leads callers to the VM that holds their team's shard. */

import { sortEntries } from "@limpetford/core/entries/entry_order";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import type { OwnershipView } from "@limpetford/core/ownership/ownership_view";
import { findTeamShard } from "@limpetford/core/sharding/shard_hash";
import type { RandomSource } from "@limpetford/core/time/random_source";
import type { TeamId } from "@limpetford/domain/ids";

import type { ConfigurationSource } from "../../ports/configuration_source.ts";
import { type EntryList, EntrySelector } from "../../ports/entry_selector.ts";

/** How long callers may keep an answer, in milliseconds. */
export const ENTRIES_VALID_MS = 10_000;

const UNCERTAIN_VALID_MS = 2_000;

/** What the selector works with. */
export interface OwnershipEntrySelectorOptions {
  readonly configuration: ConfigurationSource;
  readonly ownership: OwnershipView;
  readonly fleet: FleetView;
  readonly random: RandomSource;
}

/**
 * Orders entries by ownership, zone and the state of the VMs.
 */
export class OwnershipEntrySelector extends EntrySelector {
  readonly #options: OwnershipEntrySelectorOptions;

  /**
   * Creates the selector.
   *
   * @param options - the parts it works with
   */
  constructor(options: OwnershipEntrySelectorOptions) {
    super();
    this.#options = options;
  }

  override listEntries(team: TeamId): EntryList {
    const { configuration, ownership, fleet, random } = this.#options;
    const owned = ownership.findOwnership(findTeamShard(team));
    const candidates = fleet.listMembers().filter((vm) =>
      !fleet.isSuspected(vm.incarnation)
    );
    const entries = sortEntries({
      team,
      ratePerSecond: configuration.findTeam(team)?.ratePerSecond ?? 0,
      ownership: owned,
      candidates,
      asked: fleet.readSelf(),
      unit: random.sampleUniform(),
    });
    const isCertain = owned !== undefined &&
      candidates.some((vm) => vm === owned.holder);
    return {
      addresses: entries.map((vm) => vm.callerAddress),
      validForMs: isCertain ? ENTRIES_VALID_MS : UNCERTAIN_VALID_MS,
    };
  }
}
