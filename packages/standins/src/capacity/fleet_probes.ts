/**
 * Probes of leader selection and server selection at a VM that coordinates
 * through the platform's store.
 */

import {
  chooseLeader,
  type LeaderCandidate,
} from "@limpetford/core/fleet/leader_selection";
import type { PlacementDemand } from "@limpetford/core/placement/placement_demand";
import { chooseServer } from "@limpetford/core/placement/server_choice";
import { TrackedServer } from "@limpetford/core/placement/tracked_server";
import { REACH } from "@limpetford/core/reach/vm_reach_table";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import {
  type RouteId,
  type ServerId,
  type ServiceId,
  toId,
  type ZoneId,
} from "@limpetford/domain/ids";

import type { CapacityProbe } from "./capacity_probe.ts";
import { buildFleet } from "./large_fleet.ts";
import { measureCpuMs } from "./resource_usage.ts";
import { SizedProbe } from "./sized_probe.ts";
import { TARGET_LIMIT, TARGET_SIZE } from "./target_size.ts";

const FLEET_SIZES = [44, 190, TARGET_SIZE.vms];
const SERVER_COUNTS = [18, 54, 120];
const REPEATS = 200;
const MS_PER_SECOND = 1_000;
/** A follower chooses the leader of its zone at each tick. */
const SELECTIONS_PER_SECOND = 4;
const REQUESTS_PER_SECOND = TARGET_SIZE.requestsPerSecond / TARGET_SIZE.vms;

function measureLeaderSelectionCores(vms: number): number {
  const candidates = buildFleet(vms).map((vm): LeaderCandidate => ({
    id: vm.incarnation.vm,
    zone: vm.zone,
    isAvailable: true,
    leaderSinceMs: undefined,
    reach: REACH.unknown,
    cores: 1,
    mayTakeOver: false,
  }));
  const zones = [...new Set(candidates.map(({ zone }) => zone))];
  const perChoiceMs = measureCpuMs(() => {
    for (const zone of zones) {
      chooseLeader(zone, candidates);
    }
  }, REPEATS);
  return perChoiceMs * SELECTIONS_PER_SECOND / MS_PER_SECOND;
}

function measurePlacementCores(count: number): number {
  const servers = Array.from({ length: count }, (_, index) =>
    new TrackedServer(
      {
        id: toId<ServerId>(`server-${index}`),
        service: toId<ServiceId>("service"),
        zone: toId<ZoneId>(`zone-${index % TARGET_SIZE.zones}`),
        address: { host: "10.0.0.1", port: 80 },
        slots: 3,
        state: "active",
        warmUpLeftMs: 0,
        startedAtMs: 1,
        sequence: 1,
      },
      0.1,
      0,
    ));
  const demand: PlacementDemand = {
    team: undefined,
    route: toId<RouteId>("route"),
    isIdempotent: false,
    isSuspect: false,
    tried: [],
    mayRetry: false,
    priority: 1,
    targetAtMs: 600,
    deadlineAtMs: 2_000,
  };
  const random = new SeededRandomSource(1);
  const perChoiceMs = measureCpuMs(() => {
    chooseServer(servers, demand, {
      zone: toId<ZoneId>("zone-0"),
      grayShare: 0.1,
      nowMs: 100,
      random,
      mayProbe: true,
      mayRetryShed: true,
      expectedBytes: 1_000,
      mayWait: true,
    });
  }, REPEATS);
  return perChoiceMs * REQUESTS_PER_SECOND / MS_PER_SECOND;
}

/**
 * Builds the probes of a VM that uses the platform's store.
 *
 * @returns probes of leader selection and server selection
 */
export function buildFleetProbes(): readonly CapacityProbe[] {
  return [
    new SizedProbe(
      {
        id: "lead-cpu-by-vms",
        role: "VM on the store, for control",
        resource: "choice of the leads of all zones, four times a second",
        unit: "cores",
        limit: TARGET_LIMIT.controlCoreShare,
        sizeUnit: "VMs",
        targetSize: TARGET_SIZE.vms,
        mechanism: "one pass for each zone, kept for 25 ms",
      },
      FLEET_SIZES,
      measureLeaderSelectionCores,
    ),
    new SizedProbe(
      {
        id: "placement-cpu-by-servers",
        role: "VM on the store, for requests",
        resource: "choice of a server for 281 requests/s",
        unit: "cores",
        limit: undefined,
        sizeUnit: "servers of a service",
        targetSize: Math.ceil(TARGET_SIZE.servers / TARGET_SIZE.services),
        mechanism: "one pass over the service's servers",
      },
      SERVER_COUNTS,
      measurePlacementCores,
    ),
  ];
}
