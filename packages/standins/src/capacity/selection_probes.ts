/**
 * Probes of the processor time spent on selecting heartbeat partners, entry VMs,
 * home slots and shard holders.
 */

import { sortEntries } from "@limpetford/core/entries/entry_order";
import { choosePartners } from "@limpetford/core/membership/partner_rings";
import { computeHomeSlots } from "@limpetford/core/routing/home_slots";
import { selectByRendezvous } from "@limpetford/core/sharding/shard_hash";
import { type ShardId, type TeamId, toId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

import type { CapacityProbe } from "./capacity_probe.ts";
import { buildLargeConfiguration } from "./large_configuration.ts";
import { buildFleet } from "./large_fleet.ts";
import { measureCpuMs } from "./resource_usage.ts";
import { SizedProbe } from "./sized_probe.ts";
import { TARGET_LIMIT, TARGET_SIZE } from "./target_size.ts";

const FLEET_SIZES = [44, 190, TARGET_SIZE.vms];
/** Runs per measurement. */
const REPEATS = 200;
/** Runs per measurement of home slots, which take far longer. */
const HOME_SLOT_REPEATS = 3;
const MS_PER_SECOND = 1_000;
/** A caller's list of VMs is valid for 5 s; then the caller asks again. */
const LIST_VALID_SECONDS = 5;

function findFirstVm(fleet: readonly Vm[]): Vm {
  const [first] = fleet;
  if (first === undefined) {
    throw new Error("the fleet is empty, but the probe needs at least one VM");
  }
  return first;
}

function measurePartnerCores(vms: number): number {
  const fleet = buildFleet(vms);
  const self = findFirstVm(fleet);
  const perRoundMs = measureCpuMs(() => {
    choosePartners(self, fleet);
  }, REPEATS);
  return perRoundMs / MS_PER_SECOND;
}

function measureEntryListCores(vms: number): number {
  const fleet = buildFleet(vms);
  const asked = findFirstVm(fleet);
  const perResponseMs = measureCpuMs(() => {
    sortEntries({
      team: toId<TeamId>("team-1"),
      ratePerSecond: 10,
      ownership: undefined,
      candidates: fleet,
      asked,
      jitter: 0.5,
    });
  }, REPEATS);
  const responsesPerSecond = TARGET_SIZE.teams / LIST_VALID_SECONDS /
    TARGET_SIZE.vms;
  return perResponseMs * responsesPerSecond / MS_PER_SECOND;
}

function measureHomeSlotMs(vms: number): number {
  const fleet = buildFleet(vms);
  const users = fleet.map((vm) => ({ vm: vm.incarnation.vm, zone: vm.zone }));
  const servers = buildLargeConfiguration({
    services: 1,
    servers: Math.ceil(TARGET_SIZE.servers / TARGET_SIZE.services),
    routes: 0,
    teams: 0,
  }).servers;
  const self = findFirstVm(fleet).incarnation.vm;
  const perServiceMs = measureCpuMs(() => {
    computeHomeSlots(servers, users, self);
  }, HOME_SLOT_REPEATS);
  return perServiceMs * TARGET_SIZE.services;
}

function measureShardSelectionMs(shards: number): number {
  const fleet = buildFleet(TARGET_SIZE.vms);
  return measureCpuMs(() => {
    for (let shard = 0; shard < shards; shard += 1) {
      selectByRendezvous(toId<ShardId>(shard), fleet, 1);
    }
  }, 1);
}

/**
 * Builds the selection probes.
 *
 * @returns one probe per selection
 */
export function buildSelectionProbes(): readonly CapacityProbe[] {
  const cores = { unit: "cores", limit: TARGET_LIMIT.controlCoreShare };
  const fleet = { sizeUnit: "VMs", targetSize: TARGET_SIZE.vms };
  return [
    new SizedProbe(
      {
        ...cores,
        ...fleet,
        id: "partner-cpu-by-vms",
        role: "VM, for control",
        resource: "choice of heartbeat partners, once a second",
        mechanism: "three rings; chosen again only if the members change",
      },
      FLEET_SIZES,
      measurePartnerCores,
    ),
    new SizedProbe(
      {
        ...cores,
        ...fleet,
        id: "entries-cpu-by-vms",
        role: "VM as entry",
        resource: "answers that lead callers, each team asking every 5 s",
        mechanism: "rendezvous over the members",
      },
      FLEET_SIZES,
      measureEntryListCores,
    ),
    new SizedProbe(
      {
        ...fleet,
        id: "home-slot-stall-by-vms",
        role: "VM, for control",
        resource: "sharing of all services' slots after a change of the fleet",
        unit: "ms",
        limit: undefined,
        mechanism: "computed once per change of members or servers",
      },
      FLEET_SIZES,
      measureHomeSlotMs,
    ),
    new SizedProbe(
      {
        id: "shard-choice-stall-by-shards",
        role: "VM as holder and standby",
        resource: "first of 570 VMs for every shard after a change",
        unit: "ms",
        sizeUnit: "shards",
        targetSize: 2_048,
        limit: undefined,
        mechanism: "256 shards today; 2,048 would give each VM 3.6",
      },
      [256, 512, 1_024],
      measureShardSelectionMs,
    ),
  ];
}
