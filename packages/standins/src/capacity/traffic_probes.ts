/**
 * Probes of the control traffic among VMs and to the log, in bytes of encoded
 * messages.
 */

import { EvidenceRecorder } from "@limpetford/core/evidence/evidence_recorder";
import { hashName } from "@limpetford/core/evidence/name_hash";
import { RouteReferences } from "@limpetford/core/evidence/route_references";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import {
  type RouteId,
  type ServerId,
  type TeamId,
  toId,
  type VmId,
} from "@limpetford/domain/ids";
import { encodeShardRecord } from "@limpetford/entry/components/ownership/shard_record_codec";
import { encodeEvidence } from "@limpetford/peer/evidence_codec";
import { ReportRequest } from "@limpetford/peer/generated/evidence";
import { PromiseRequest } from "@limpetford/peer/generated/ownership";

import {
  measureTraffic,
  type TrafficRow,
} from "../measure/together/traffic_figures.ts";
import type { CapacityProbe } from "./capacity_probe.ts";
import { SizedProbe } from "./sized_probe.ts";
import { TARGET_LIMIT, TARGET_SIZE } from "./target_size.ts";

const SEED = 11;
/** Simulated seconds over which evidence is averaged. */
const SAMPLED_SECONDS = 10;
const MS_PER_SECOND = 1_000;
const PROMISE_RENEWALS_PER_SECOND = 2;
const SERVERS_PER_SUBSET = 12;
const ROUTES_PER_SERVICE = Math.ceil(TARGET_SIZE.routes / TARGET_SIZE.services);
/** Assumed share of requests that are claimed to run at most once. */
const CLAIMED_SHARE = 0.01;
const HASH_DIGITS = 64;

// Returns the bytes of evidence about one service that a VM sends after the
// given number of successful requests.
function measureServiceBytes(
  requests: number,
  random: SeededRandomSource,
): number {
  const recorder = new EvidenceRecorder(new RouteReferences());
  for (let index = 0; index < requests; index += 1) {
    const attempt = {
      server: toId<ServerId>(`server-${random.pickIndex(SERVERS_PER_SUBSET)}`),
      route: toId<RouteId>(`route-${random.pickIndex(ROUTES_PER_SERVICE)}`),
      startedAtMs: 0,
    };
    recorder.begin(attempt);
    const totalMs = 5 + random.sampleUniform() * 20;
    recorder.complete(attempt, {
      outcome: "served",
      firstByteMs: totalMs,
      totalMs,
      wasConnectionReused: true,
      answerBytes: 500,
    }, true);
  }
  let bytes = 0;
  for (let nowMs = 0;; nowMs += MS_PER_SECOND) {
    const entries = recorder.takeDue(nowMs);
    if (entries.length === 0) {
      return bytes;
    }
    bytes += ReportRequest.encode({
      service: "service-1",
      vm: "vm-1",
      zone: "zone-1",
      entries: entries.map(encodeEvidence),
      probes: [{ server: hashName("server-1"), isHealthy: true }],
      epoch: 1,
      revision: 1,
    }).finish().length;
  }
}

function measureEvidenceBytes(requestsPerSecond: number): number {
  const random = new SeededRandomSource(SEED);
  let bytes = 0;
  for (let second = 0; second < SAMPLED_SECONDS; second += 1) {
    const counts = new Map<number, number>();
    for (let index = 0; index < requestsPerSecond; index += 1) {
      const service = random.pickIndex(TARGET_SIZE.services);
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    for (const requests of counts.values()) {
      bytes += measureServiceBytes(requests, random);
    }
  }
  return bytes / SAMPLED_SECONDS;
}

function measurePromiseBytes(shardsPerPair: number): number {
  const message = PromiseRequest.encode({
    sender: { vm: "vm-1", startedAtMs: 1_700_000_000_000 },
    shards: Array.from({ length: shardsPerPair }, (_, shard) => ({
      shard,
      epoch: 1_000,
    })),
    lengthMs: 2_500,
    isLeaving: false,
    receiver: { vm: "vm-2", startedAtMs: 1_700_000_000_000 },
  }).finish();
  return message.length * PROMISE_RENEWALS_PER_SECOND;
}

function measureClaimLogBytes(claimsPerSecond: number): number {
  const items = Array.from({ length: claimsPerSecond }, (_, index) => {
    const names = {
      claimId: `vm-1@1700000000000/${index}`,
      team: toId<TeamId>(`team-${index}`),
      idempotencyKey: index.toString(16).padStart(32, "0"),
    };
    return [{
      kind: "claimed" as const,
      ...names,
      fingerprint: index.toString(16).padStart(HASH_DIGITS, "0"),
      claimedAtMs: 1_700_000_000_000,
      supersedes: undefined,
    }, {
      kind: "settled" as const,
      ...names,
      outcome: {
        kind: "answered" as const,
        answer: { status: 200, headers: [], body: "e30=" },
      },
    }];
  }).flat();
  return encodeShardRecord({
    kind: "claims",
    proposer: { vm: toId<VmId>("vm-1"), startedAtMs: 1_700_000_000_000 },
    items,
  }).length;
}

// Runs the traffic measurement once, because one run covers all fleet sizes.
class HeartbeatTraffic {
  #rows: readonly TrafficRow[] | undefined;

  measureBytes(vms: number): number {
    this.#rows ??= measureTraffic(SEED);
    const row = this.#rows.find((candidate) => candidate.size === vms);
    if (row === undefined) {
      throw new Error(`the traffic measurement has no row for ${vms} VMs`);
    }
    return row.largestBytesPerSecond;
  }
}

/**
 * Builds the control traffic probes.
 *
 * @returns one probe per kind of message
 */
export function buildTrafficProbes(): readonly CapacityProbe[] {
  const heartbeats = new HeartbeatTraffic();
  const perVm = { unit: "B/s", limit: TARGET_LIMIT.controlBytesPerSecond };
  return [
    new SizedProbe(
      {
        ...perVm,
        id: "heartbeat-bytes-by-vms",
        role: "VM, for control",
        resource: "heartbeats and gossip of the busiest VM of a quiet fleet",
        sizeUnit: "VMs",
        targetSize: TARGET_SIZE.vms,
        mechanism: "three rings of partners, digests of fixed size",
      },
      [64, 128, 256],
      (size) => heartbeats.measureBytes(size),
    ),
    new SizedProbe(
      {
        ...perVm,
        id: "evidence-bytes-by-requests",
        role: "VM, for control",
        resource: "evidence on backend servers sent to the services' holders",
        sizeUnit: "requests/s",
        targetSize: Math.ceil(TARGET_SIZE.requestsPerSecond / TARGET_SIZE.vms),
        mechanism: "deltas of counts, one report per service and second",
      },
      [70, 140, 280],
      measureEvidenceBytes,
    ),
    new SizedProbe(
      {
        ...perVm,
        id: "promise-bytes-by-shards",
        role: "VM as holder and standby",
        resource: "promises asked of one partner",
        sizeUnit: "shards of a pair",
        targetSize: 2,
        mechanism: "one message per pair for all shards, twice a second",
      },
      [1, 4, 16],
      measurePromiseBytes,
    ),
    new SizedProbe(
      {
        id: "claim-log-bytes-by-claims",
        role: "log",
        resource: "claims and their ends",
        unit: "B/s",
        sizeUnit: "claims/s",
        targetSize: TARGET_SIZE.requestsPerSecond * CLAIMED_SHARE,
        limit: undefined,
        mechanism:
          "many claims an append, one stream a shard; figure for 1 % of requests claimed",
      },
      [100, 400, 1_600],
      measureClaimLogBytes,
    ),
  ];
}
