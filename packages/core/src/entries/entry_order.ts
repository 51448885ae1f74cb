/** Orders the entry VMs that a caller is directed to. */

import type { ShardId, TeamId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import { isSameIncarnation, type Vm } from "@limpetford/domain/vm";
import murmurhash from "murmurhash";

import type { ShardOwnership } from "../ownership/ownership_view.ts";
import { selectByRendezvous } from "../sharding/shard_hash.ts";

/** Most VMs in one list. */
export const MAX_ENTRIES = 5;

/** Requests per second of a team for each VM that it is spread over. */
const REQUESTS_PER_SECOND_PER_VM = 500;
/** Most VMs that one team is spread over. */
const MAX_SPREAD_VMS = 8;
/** Number of VMs selected near the caller; enough for spread and list. */
const NEAR_VM_COUNT = MAX_SPREAD_VMS + MAX_ENTRIES;

/** Inputs of {@link sortEntries}. */
export interface EntryContext {
  readonly team: TeamId;
  /** Configured requests per second of the team. */
  readonly ratePerSecond: number;
  /** Owner of the team's shard; undefined if it is not known. */
  readonly ownership: ShardOwnership | undefined;
  /** VMs that accept requests and are not suspected of having failed. */
  readonly candidates: readonly Vm[];
  /** The VM that received the query, assumed to be near the caller. */
  readonly asked: Vm;
  /** Random number from 0 to 1 that spreads the callers of a large team. */
  readonly jitter: number;
}

/**
 * Orders entry VMs for a team: the holder of its shard, the standby, VMs in the
 * zone of the queried VM, then others. The callers of a large team are spread
 * over several VMs, which serve them from token grants of the holder.
 *
 * @param context - the team, its shard's owner and the available VMs
 * @returns VMs in order of preference, at most {@link MAX_ENTRIES}
 */
export function sortEntries(context: EntryContext): readonly Vm[] {
  const { ownership, candidates } = context;
  const owners = [ownership?.holder, ownership?.standby]
    .filter((vm): vm is Vm => vm !== undefined)
    .filter((vm) => candidates.some((other) => isSameVm(vm, other)));
  const near = selectNear(context);
  const spread = pickSpreadVm(context, near);
  return removeDuplicates([...spread, ...owners, ...near]).slice(
    0,
    MAX_ENTRIES,
  );
}

function selectNear(context: EntryContext): readonly Vm[] {
  const { team, candidates, asked } = context;
  const hash = hashTeam(team);
  const isNear = (vm: Vm): boolean => vm.zone === asked.zone;
  const near = selectByRendezvous(
    hash,
    candidates.filter(isNear),
    NEAR_VM_COUNT,
  );
  if (near.length === NEAR_VM_COUNT) {
    return near;
  }
  const others = candidates.filter((vm) => !isNear(vm));
  return [...near, ...selectByRendezvous(hash, others, MAX_ENTRIES)];
}

function pickSpreadVm(
  context: EntryContext,
  near: readonly Vm[],
): readonly Vm[] {
  const { ownership, ratePerSecond, jitter } = context;
  const wanted = Math.ceil(ratePerSecond / REQUESTS_PER_SECOND_PER_VM);
  const count = Math.min(MAX_SPREAD_VMS, wanted);
  if (count <= 1 || ownership === undefined) {
    return [];
  }
  const others = near.filter((vm) => !isSameVm(vm, ownership.holder));
  // Index 0 means the holder, which follows the spread VMs in any case.
  const index = Math.floor(jitter * count);
  const picked = index === 0 ? undefined : others[index - 1];
  return picked === undefined ? [] : [picked];
}

function hashTeam(team: TeamId): ShardId {
  return toId<ShardId>(murmurhash.v3(`entries:${team}`));
}

function removeDuplicates(vms: readonly Vm[]): readonly Vm[] {
  return vms.filter((vm, index) =>
    vms.findIndex((other) => isSameVm(vm, other)) === index
  );
}

function isSameVm(a: Vm, b: Vm): boolean {
  return isSameIncarnation(a.incarnation, b.incarnation);
}
