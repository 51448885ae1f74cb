/** Maps teams and services to shards, and shards to VMs, by hashing. */

import type { ServiceId, ShardId, TeamId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import murmurhash from "murmurhash";

import { findVmHash, hashNumber } from "./vm_hash.ts";

/** Number of shards of a fleet; must be equal on every VM. */
export const SHARD_COUNT = 256;

const UINT32_RANGE = 0x1_0000_0000;

/**
 * Finds the shard of a team.
 *
 * @param team - name of the team
 * @param shardCount - number of shards of the fleet
 * @returns shard whose holder keeps the team's token bucket and claims
 */
export function findTeamShard(
  team: TeamId,
  shardCount: number = SHARD_COUNT,
): ShardId {
  return toId<ShardId>(murmurhash.v3(`team:${team}`) % shardCount);
}

/**
 * Finds the shard of a service.
 *
 * @param service - name of the service
 * @param shardCount - number of shards of the fleet
 * @returns shard whose holder aggregates the evidence on the service's servers
 */
export function findServiceShard(
  service: ServiceId,
  shardCount: number = SHARD_COUNT,
): ShardId {
  return toId<ShardId>(murmurhash.v3(`service:${service}`) % shardCount);
}

/**
 * Sorts VMs by weighted rendezvous hashing for a shard.
 *
 * @param shard - number of the shard
 * @param vms - candidates, in any order
 * @returns the candidates, starting with the one that should hold the shard
 */
export function sortByRendezvous(
  shard: ShardId,
  vms: readonly Vm[],
): readonly Vm[] {
  return vms
    .map((vm) => ({ vm, score: computeScore(shard, vm) }))
    .sort(compareScored)
    .map((scored) => scored.vm);
}

/**
 * Selects the first VMs in the order of {@link sortByRendezvous}, in one pass.
 *
 * @param shard - number of the shard
 * @param vms - candidates, in any order
 * @param count - largest number of VMs to return
 * @returns at most `count` VMs, starting with the one that should hold the
 * shard
 */
export function selectByRendezvous(
  shard: ShardId,
  vms: readonly Vm[],
  count: number,
): readonly Vm[] {
  const best: ScoredVm[] = [];
  for (const vm of vms) {
    const scored = { vm, score: computeScore(shard, vm) };
    const last = best.at(-1);
    const isFull = best.length === count;
    if (isFull && (last === undefined || compareScored(scored, last) > 0)) {
      continue;
    }
    if (isFull) {
      best.pop();
    }
    const place = best.findIndex((other) => compareScored(scored, other) < 0);
    best.splice(place < 0 ? best.length : place, 0, scored);
  }
  return best.map((scored) => scored.vm);
}

interface ScoredVm {
  readonly vm: Vm;
  readonly score: number;
}

function compareScored(a: ScoredVm, b: ScoredVm): number {
  return b.score - a.score ||
    a.vm.incarnation.vm.localeCompare(b.vm.incarnation.vm);
}

// Weighted rendezvous score: a VM scores highest for a share of the shards that
// is proportional to its weight.
function computeScore(shard: ShardId, vm: Vm): number {
  const hash = hashNumber(findVmHash(vm) ^ hashNumber(shard + 1));
  const uniform = (hash + 1) / (UINT32_RANGE + 1);
  return -vm.weight / Math.log(uniform);
}
