/** Directs callers to the VM that holds their team's shard. */

import { sortEntries } from "@limpetford/core/entries/entry_order";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import type { OwnershipView } from "@limpetford/core/ownership/ownership_view";
import { findTeamShard } from "@limpetford/core/sharding/shard_hash";
import type { RandomSource } from "@limpetford/core/time/random_source";
import type { TeamId } from "@limpetford/domain/ids";

import type { ConfigurationSource } from "../../ports/configuration_source.ts";
import { type EntryList, EntrySelector } from "../../ports/entry_selector.ts";

/**
 * Time for which callers may cache the entry list while the shard's holder is
 * known and reachable, in milliseconds.
 */
export const ENTRIES_VALID_MS = 10_000;

/** The same while the holder is unknown or suspected. */
const UNCERTAIN_ENTRIES_VALID_MS = 2_000;

/** Dependencies of an {@link OwnershipEntrySelector}. */
export interface OwnershipEntrySelectorOptions {
  readonly configuration: ConfigurationSource;
  readonly ownership: OwnershipView;
  readonly fleet: FleetView;
  readonly random: RandomSource;
}

/**
 * Lists the entry VMs for a caller, ordered by shard ownership and zone.
 * Excludes suspected VMs.
 */
export class OwnershipEntrySelector extends EntrySelector {
  readonly #options: OwnershipEntrySelectorOptions;

  /**
   * Creates the selector.
   *
   * @param options - configuration, ownership, membership and random source
   */
  constructor(options: OwnershipEntrySelectorOptions) {
    super();
    this.#options = options;
  }

  override listEntries(team: TeamId): EntryList {
    const { configuration, ownership, fleet, random } = this.#options;
    const shardOwnership = ownership.findOwnership(findTeamShard(team));
    const candidates = fleet.listMembers().filter((vm) =>
      !fleet.isSuspected(vm.incarnation)
    );
    const entries = sortEntries({
      team,
      ratePerSecond: configuration.findTeam(team)?.ratePerSecond ?? 0,
      ownership: shardOwnership,
      candidates,
      asked: fleet.readSelf(),
      jitter: random.sampleUniform(),
    });
    const isHolderReachable = shardOwnership !== undefined &&
      candidates.some((vm) => vm === shardOwnership.holder);
    return {
      addresses: entries.map((vm) => vm.callerAddress),
      validForMs: isHolderReachable
        ? ENTRIES_VALID_MS
        : UNCERTAIN_ENTRIES_VALID_MS,
    };
  }
}
