/** Probes of the state that a VM keeps besides the configuration. */

import { ClaimTable } from "@limpetford/core/claims/claim_table";
import { FactStore } from "@limpetford/core/gossip/fact_store";
import { DemandGrantPolicy } from "@limpetford/core/limits/grant_policy";
import { GRANT_VALID_MS } from "@limpetford/core/limits/limit_bucket";
import { LimitHolder } from "@limpetford/core/limits/limit_holder";
import { TeamTokenCache } from "@limpetford/core/limits/team_token_cache";
import {
  findTeamShard,
  SHARD_COUNT,
} from "@limpetford/core/sharding/shard_hash";
import { FakeClock } from "@limpetford/core/time/fake_clock";
import {
  type KeyHash,
  type ShardId,
  type TeamId,
  toId,
} from "@limpetford/domain/ids";
import { DEFAULT_OWNERSHIP_SETTINGS } from "@limpetford/entry/components/ownership/ownership_settings";

import type { CapacityProbe } from "./capacity_probe.ts";
import { measureRetainedBytes } from "./heap_meter.ts";
import { SizedProbe } from "./sized_probe.ts";
import { TARGET_LIMIT, TARGET_SIZE } from "./target_size.ts";

/** Assumed share of requests that run at most once. */
const CLAIMED_SHARE = 0.01;
/** Assumed withdrawals that VMs remember. */
const WITHDRAWN_KEYS = 20_000;
const MS_PER_SECOND = 1_000;
const HASH_DIGITS = 64;
const LIMITS = { ratePerSecond: 10, burst: 20 };

function buildClaims(count: number): ClaimTable {
  const { claimRetentionMs, responseCacheBytes: answerBytes } =
    DEFAULT_OWNERSHIP_SETTINGS;
  const table = new ClaimTable({ retentionMs: claimRetentionMs, answerBytes });
  for (let index = 0; index < count; index += 1) {
    const names = {
      claimId: `vm-${index % 570}@1700000000000/${index}`,
      team: toId<TeamId>(`team-${index % 1_000}`),
      idempotencyKey: `key-${index.toString(16).padStart(32, "0")}`,
    };
    table.apply({
      kind: "claimed",
      ...names,
      fingerprint: index.toString(16).padStart(HASH_DIGITS, "0"),
      claimedAtMs: 1_700_000_000_000 + index,
      supersedes: undefined,
    });
    table.apply({
      kind: "settled",
      ...names,
      outcome: {
        kind: "answered",
        answer: { status: 200, headers: [], body: "" },
      },
    });
  }
  return table;
}

function countKeptClaims(): number {
  const claimsPerSecond = TARGET_SIZE.requestsPerSecond * CLAIMED_SHARE;
  const retentionSeconds = DEFAULT_OWNERSHIP_SETTINGS.claimRetentionMs /
    MS_PER_SECOND;
  const replicas = 2;
  return Math.round(
    claimsPerSecond * retentionSeconds * replicas / TARGET_SIZE.vms,
  );
}

function buildFacts(count: number): FactStore {
  const store = new FactStore();
  for (let index = 0; index < count; index += 1) {
    const digits = (index * 2_654_435_761).toString(16);
    const key = toId<KeyHash>(digits.padStart(HASH_DIGITS, "0"));
    store.publish({ kind: "key-withdrawn", key });
  }
  return store;
}

function buildHolder(teams: number): LimitHolder {
  const holder = new LimitHolder({
    clock: new FakeClock(),
    policy: new DemandGrantPolicy(),
    name: "vm-0",
    findLimits: () => LIMITS,
  });
  for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
    holder.acquireShard(toId<ShardId>(shard));
  }
  for (let index = 0; index < teams; index += 1) {
    const team = toId<TeamId>(`team-${index}`);
    findTeamShard(team);
    holder.spend(team);
    holder.grant({
      team,
      vm: "vm-1",
      needed: 1,
      demandPerSecond: 1,
      reports: [],
    });
  }
  return holder;
}

function buildWallets(teams: number): readonly TeamTokenCache[] {
  const policy = new DemandGrantPolicy();
  return Array.from({ length: teams }, (_, index) => {
    const wallet = new TeamTokenCache(policy);
    wallet.recordRequest(0);
    const id = `vm-1/${index}`;
    wallet.addGrant({ id, tokens: 5, validForMs: GRANT_VALID_MS }, 0);
    wallet.spend(1);
    return wallet;
  });
}

/**
 * Builds the probes of kept state.
 *
 * @returns the probes
 */
export function buildStateProbes(): readonly CapacityProbe[] {
  const memory = { unit: "B", limit: TARGET_LIMIT.controlMemoryBytes };
  return [
    new SizedProbe(
      {
        ...memory,
        id: "claim-memory-by-claims",
        role: "VM as holder and standby",
        resource: "memory of idempotency keys without their answers",
        sizeUnit: "claims",
        targetSize: countKeptClaims(),
        mechanism:
          "keys kept for 2 h at holder and standby; answers in a cache of 1 MiB a shard; figure for 1 % of requests claimed",
      },
      [1_000, 10_000, 40_000],
      (size) => measureRetainedBytes(() => buildClaims(size)),
    ),
    new SizedProbe(
      {
        ...memory,
        id: "bucket-memory-by-teams",
        role: "VM as holder and standby",
        resource: "memory of token buckets and grants",
        sizeUnit: "teams",
        targetSize: Math.ceil(TARGET_SIZE.teams / TARGET_SIZE.vms),
        mechanism: "buckets only of teams held here; full ones are evicted",
      },
      [100, 1_000, 10_000],
      (size) => measureRetainedBytes(() => buildHolder(size)),
    ),
    new SizedProbe(
      {
        ...memory,
        id: "wallet-memory-by-teams",
        role: "VM, for control",
        resource: "memory of grants held, if every team came to one VM",
        sizeUnit: "teams",
        targetSize: TARGET_SIZE.teams,
        mechanism:
          "only teams seen in the last 10 s; callers are led to the holder",
      },
      [1_000, 10_000, TARGET_SIZE.teams],
      (size) => measureRetainedBytes(() => buildWallets(size)),
    ),
    new SizedProbe(
      {
        ...memory,
        id: "fact-memory-by-facts",
        role: "VM, for control",
        resource: "memory of monotone facts",
        sizeUnit: "facts",
        targetSize: WITHDRAWN_KEYS,
        mechanism: "one fact a key, compared by a digest of fixed size",
      },
      [1_000, 5_000, WITHDRAWN_KEYS],
      (size) => measureRetainedBytes(() => buildFacts(size)),
    ),
  ];
}
