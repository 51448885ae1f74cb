/** The buckets of all teams whose shards this VM holds. */

import type { ShardId, TeamId } from "@limpetford/domain/ids";

import { findTeamShard } from "../sharding/shard_hash.ts";
import type { Clock } from "../time/clock.ts";
import type { GrantPolicy } from "./grant_policy.ts";
import type { GrantReport, ReceivedGrant } from "./held_grants.ts";
import {
  computeGrantable,
  countGranted,
  createBucket,
  estimateWaitMs,
  grant,
  GRANT_VALID_MS,
  IMMEDIATE_GRANT_VALID_MS,
  type LimitBucket,
  type Limits,
  recordSpent,
  refill,
  renewGrant,
  restore,
  spend,
  updateLimits,
} from "./limit_bucket.ts";

/** Share of the burst that a standby may keep. */
const STANDBY_SHARE = 0.4;
/** Share of the burst that stays at the holder when the standby is served. */
const MIN_LEVEL_SHARE = 0.5;

/** What a VM asks of a team's holder. */
export interface GrantRequest {
  readonly team: TeamId;
  readonly vm: string;
  /** Requests waiting at the VM; 0 to ask ahead or to give back. */
  readonly needed: number;
  readonly demandPerSecond: number;
  /** State of the grants that the VM has. */
  readonly reports: readonly GrantReport[];
}

/** Decision of the holder. */
export type HolderVerdict =
  | { readonly kind: "granted"; readonly grant: ReceivedGrant }
  /** No token now; VMs that may still have some are named. */
  | {
    readonly kind: "short";
    readonly retryAfterMs: number;
    readonly grantedTo: readonly string[];
  }
  /** The shard is not held here, or the team is unknown. */
  | { readonly kind: "not-held" };

/** A grant that a standby keeps. */
export interface TeamGrant {
  readonly team: TeamId;
  readonly grant: ReceivedGrant;
}

/** What is handed over for one team; all times are relative to now. */
export interface HandoverBucket {
  readonly team: TeamId;
  readonly limits: Limits;
  readonly level: number;
  readonly grants: readonly {
    readonly id: string;
    readonly vm: string;
    readonly tokens: number;
    readonly remainingMs: number;
  }[];
  readonly withheld: number;
  readonly withheldRemainingMs: number;
}

/** What is handed over for one shard. */
export interface HandoverLimits {
  /** For how long the shard has been held, in milliseconds. */
  readonly heldForMs: number;
  readonly buckets: readonly HandoverBucket[];
}

/** What the holder works with. */
export interface LimitHolderOptions {
  readonly clock: Clock;
  readonly policy: GrantPolicy;
  /** Distinguishes this VM's grants from those of others. */
  readonly name: string;
  readonly findLimits: (team: TeamId) => Limits | undefined;
}

interface HeldShard {
  readonly heldSinceMs: number;
  readonly buckets: Map<TeamId, LimitBucket>;
}

/**
 * Spends and grants tokens for the shards held here. The caller checks before
 * each call that this VM may act.
 */
export class LimitHolder {
  readonly #options: LimitHolderOptions;
  readonly #shards = new Map<ShardId, HeldShard>();
  #grantCount = 0;

  /**
   * Creates the holder of no shards.
   *
   * @param options - the parts it works with
   */
  constructor(options: LimitHolderOptions) {
    this.#options = options;
  }

  /**
   * Begins to keep the buckets of a shard.
   *
   * @param shard - the shard
   * @param handover - what the predecessor handed over; default nothing
   */
  acquireShard(shard: ShardId, handover?: HandoverLimits): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    this.#shards.set(shard, {
      heldSinceMs: nowMs - (handover?.heldForMs ?? 0),
      buckets: new Map(
        handover?.buckets.map((bucket) => [
          bucket.team,
          decodeBucket(bucket, nowMs),
        ]),
      ),
    });
  }

  /**
   * Lists the state of a shard for a handover and forgets the shard.
   *
   * @param shard - the shard
   * @returns the state; empty if the shard is not held here
   */
  prepareHandover(shard: ShardId): HandoverLimits {
    const nowMs = this.#options.clock.readMonotonicMs();
    const held = this.#shards.get(shard);
    this.#shards.delete(shard);
    return {
      heldForMs: held === undefined ? 0 : nowMs - held.heldSinceMs,
      buckets: [...held?.buckets ?? []].map(([team, bucket]) =>
        encodeBucket(team, refill(bucket, nowMs), nowMs)
      ),
    };
  }

  /**
   * Forgets a shard that is no longer held here.
   *
   * @param shard - the shard
   */
  releaseShard(shard: ShardId): void {
    this.#shards.delete(shard);
  }

  /**
   * Spends one token for a request at this VM.
   *
   * @param team - the team
   * @returns the decision; a grant of one token that is spent already
   */
  spend(team: TeamId): HolderVerdict {
    const bucket = this.#findBucket(team);
    if (bucket === undefined) {
      return { kind: "not-held" };
    }
    const step = spend(bucket, this.#options.clock.readMonotonicMs());
    this.#storeBucket(team, step.bucket);
    return step.isDone
      ? { kind: "granted", grant: { id: "", tokens: 1, validForMs: 0 } }
      : describeShortage(step.bucket, "");
  }

  /**
   * Handles a VM's request for tokens and its report of earlier ones.
   *
   * @param request - the request
   * @returns the decision
   */
  grant(request: GrantRequest): HolderVerdict {
    const { team, vm } = request;
    this.applyReports(team, request.reports);
    const known = this.#findBucket(team);
    if (known === undefined) {
      return { kind: "not-held" };
    }
    const nowMs = this.#options.clock.readMonotonicMs();
    const bucket = refill(known, nowMs);
    const tokens = this.#options.policy.computeTokens({
      needed: request.needed,
      demandPerSecond: request.demandPerSecond,
      grantable: computeGrantable(bucket),
      burst: bucket.limits.burst,
    });
    const id = `${this.#options.name}/${this.#grantCount}`;
    // A grant that is spent on arrival need not be counted for long.
    const validForMs = tokens > request.needed
      ? GRANT_VALID_MS
      : IMMEDIATE_GRANT_VALID_MS;
    const step = grant(bucket, { id, vm, tokens, nowMs, validForMs });
    this.#storeBucket(team, step.bucket);
    if (!step.isDone) {
      return describeShortage(step.bucket, vm);
    }
    this.#grantCount += 1;
    return { kind: "granted", grant: { id, tokens, validForMs } };
  }

  /**
   * Takes back unspent tokens and counts spent ones.
   *
   * @param team - the team
   * @param reports - what a VM tells of its grants
   */
  applyReports(team: TeamId, reports: readonly GrantReport[]): void {
    let bucket = reports.length === 0 ? undefined : this.#findBucket(team);
    if (bucket === undefined) {
      return;
    }
    bucket = refill(bucket, this.#options.clock.readMonotonicMs());
    for (const { id, unspent, isReturned } of reports) {
      bucket = isReturned
        ? restore(bucket, id, unspent)
        : recordSpent(bucket, id, unspent);
    }
    this.#storeBucket(team, bucket);
  }

  /**
   * Grants a part of each team's tokens to the standby of a shard, to be spent
   * while the shard has no holder. A grant that it still has is renewed.
   *
   * @param shard - the shard
   * @param vm - name of the standby
   * @returns the grants made and renewed, those with 0 tokens being renewed
   */
  grantStandby(shard: ShardId, vm: string): readonly TeamGrant[] {
    const nowMs = this.#options.clock.readMonotonicMs();
    const made: TeamGrant[] = [];
    for (const team of [...this.#shards.get(shard)?.buckets.keys() ?? []]) {
      const known = this.#findBucket(team);
      if (known === undefined) {
        continue;
      }
      let bucket = refill(known, nowMs);
      const kept = bucket.grants.filter((other) => other.vm === vm);
      for (const { id } of kept) {
        bucket = renewGrant(bucket, id, nowMs);
        made.push({
          team,
          grant: { id, tokens: 0, validForMs: GRANT_VALID_MS },
        });
      }
      const keptTokens = kept.reduce((sum, other) => sum + other.tokens, 0);
      const { burst } = bucket.limits;
      const wanted = Math.floor(burst * STANDBY_SHARE) - keptTokens;
      // A team in the middle of a burst needs its tokens at the holder.
      const spare = Math.floor(bucket.level - burst * MIN_LEVEL_SHARE);
      const tokens = Math.min(computeGrantable(bucket), wanted, spare);
      const id = `${this.#options.name}/${this.#grantCount}`;
      const step = grant(bucket, { id, vm, tokens, nowMs });
      this.#storeBucket(team, step.bucket);
      if (step.isDone) {
        this.#grantCount += 1;
        made.push({ team, grant: { id, tokens, validForMs: GRANT_VALID_MS } });
      }
    }
    return made;
  }

  /** Evicts full buckets, which are made again when they are needed. */
  evictFull(): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const { buckets } of this.#shards.values()) {
      for (const [team, bucket] of buckets) {
        if (refill(bucket, nowMs).level >= bucket.limits.burst) {
          buckets.delete(team);
        }
      }
    }
  }

  #findBucket(team: TeamId): LimitBucket | undefined {
    const held = this.#shards.get(findTeamShard(team));
    const limits = this.#options.findLimits(team);
    if (held === undefined || limits === undefined) {
      return undefined;
    }
    const known = held.buckets.get(team) ??
      createBucket(limits, held.heldSinceMs);
    const isChanged = known.limits.burst !== limits.burst ||
      known.limits.ratePerSecond !== limits.ratePerSecond;
    return isChanged
      ? updateLimits(known, limits, this.#options.clock.readMonotonicMs())
      : known;
  }

  #storeBucket(team: TeamId, bucket: LimitBucket): void {
    this.#shards.get(findTeamShard(team))?.buckets.set(team, bucket);
  }
}

function describeShortage(bucket: LimitBucket, asker: string): HolderVerdict {
  const grantedTo = new Set(bucket.grants.map((made) => made.vm));
  grantedTo.delete(asker);
  return {
    kind: "short",
    retryAfterMs: estimateWaitMs(bucket),
    grantedTo: countGranted(bucket) < 1 ? [] : [...grantedTo],
  };
}

function encodeBucket(
  team: TeamId,
  bucket: LimitBucket,
  nowMs: number,
): HandoverBucket {
  return {
    team,
    limits: bucket.limits,
    level: bucket.level,
    grants: bucket.grants.map(({ id, vm, tokens, expiresAtMs }) => ({
      id,
      vm,
      tokens,
      remainingMs: expiresAtMs - nowMs,
    })),
    withheld: bucket.withheld,
    withheldRemainingMs: bucket.withheldUntilMs - nowMs,
  };
}

function decodeBucket(state: HandoverBucket, nowMs: number): LimitBucket {
  return {
    limits: state.limits,
    level: state.level,
    refilledAtMs: nowMs,
    grants: state.grants.map(({ id, vm, tokens, remainingMs }) => ({
      id,
      vm,
      tokens,
      expiresAtMs: nowMs + remainingMs,
    })),
    withheld: state.withheld,
    withheldUntilMs: nowMs + state.withheldRemainingMs,
  };
}
