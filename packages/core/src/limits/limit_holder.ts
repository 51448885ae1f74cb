/** Token buckets of the teams whose shards this VM holds. */

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

/** Largest share of the burst that is granted to the shard's standby. */
const STANDBY_SHARE = 0.4;
/** Share of the burst that stays at the holder when it grants to a standby. */
const MIN_LEVEL_SHARE = 0.5;

/** A VM's request for tokens to the holder of the team's shard. */
export interface GrantRequest {
  readonly team: TeamId;
  readonly vm: string;
  /** Requests waiting at the VM; 0 to prefetch or to return tokens. */
  readonly needed: number;
  /** The team's recent requests per second at the VM. */
  readonly demandPerSecond: number;
  /** Reports about the grants that the VM has. */
  readonly reports: readonly GrantReport[];
}

/** The holder's decision on a request for tokens. */
export type HolderVerdict =
  | { readonly kind: "granted"; readonly grant: ReceivedGrant }
  /** No token now. `grantedTo` names VMs that may have unspent ones. */
  | {
    readonly kind: "short";
    readonly retryAfterMs: number;
    readonly grantedTo: readonly string[];
  }
  /** The shard is not held here, or the team is unknown. */
  | { readonly kind: "not-held" };

/** A grant to the standby of a shard. */
export interface TeamGrant {
  readonly team: TeamId;
  readonly grant: ReceivedGrant;
}

/**
 * A team's bucket in a handover. All times are relative to the time of encoding,
 * because the clocks of two VMs differ.
 */
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

/** The buckets of a shard in a handover to its next holder. */
export interface HandoverLimits {
  /** For how long the shard has been held, in milliseconds. */
  readonly heldForMs: number;
  readonly buckets: readonly HandoverBucket[];
}

/** Settings of {@link LimitHolder}. */
export interface LimitHolderOptions {
  readonly clock: Clock;
  readonly policy: GrantPolicy;
  /** Prefix of grant ids, different at each VM. */
  readonly name: string;
  /** Finds a team's limits in the configuration in force. */
  readonly findLimits: (team: TeamId) => Limits | undefined;
}

interface HeldShard {
  readonly heldSinceMs: number;
  readonly buckets: Map<TeamId, LimitBucket>;
}

/**
 * Spends and grants tokens for the shards held here. The caller checks before
 * each call that this VM still holds the shard.
 */
export class LimitHolder {
  readonly #options: LimitHolderOptions;
  readonly #shards = new Map<ShardId, HeldShard>();
  #grantCount = 0;

  /**
   * Starts without shards.
   *
   * @param options - clock, grant policy and the teams' limits
   */
  constructor(options: LimitHolderOptions) {
    this.#options = options;
  }

  /**
   * Starts holding a shard.
   *
   * @param shard - shard that this VM has acquired
   * @param handover - buckets of the previous holder; without them, each bucket
   * starts empty and withholds the tokens that the previous holder may have
   * granted
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
   * Encodes the buckets of a shard for its next holder and drops the shard.
   *
   * @param shard - shard to hand over
   * @returns the buckets; none if the shard is not held here
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
   * Drops a shard that is no longer held here.
   *
   * @param shard - shard to drop; ignored if it is not held
   */
  releaseShard(shard: ShardId): void {
    this.#shards.delete(shard);
  }

  /**
   * Spends one token for a request at this VM.
   *
   * @param team - team that sent the request
   * @returns the decision; `granted` means that the token is already spent
   */
  spend(team: TeamId): HolderVerdict {
    const bucket = this.#findBucket(team);
    if (bucket === undefined) {
      return { kind: "not-held" };
    }
    const step = spend(bucket, this.#options.clock.readMonotonicMs());
    this.#storeBucket(team, step.bucket);
    return step.isAllowed
      ? { kind: "granted", grant: { id: "", tokens: 1, validForMs: 0 } }
      : describeShortage(step.bucket, "");
  }

  /**
   * Handles another VM's request for tokens and its reports on earlier grants.
   *
   * @param request - demand of the VM and its reports
   * @returns the grant, or why there is none
   */
  grant(request: GrantRequest): HolderVerdict {
    const { team, vm } = request;
    this.applyReports(team, request.reports);
    const current = this.#findBucket(team);
    if (current === undefined) {
      return { kind: "not-held" };
    }
    const nowMs = this.#options.clock.readMonotonicMs();
    const bucket = refill(current, nowMs);
    const tokens = this.#options.policy.computeTokens({
      needed: request.needed,
      demandPerSecond: request.demandPerSecond,
      grantable: computeGrantable(bucket),
      burst: bucket.limits.burst,
    });
    const id = `${this.#options.name}/${this.#grantCount}`;
    // A grant for waiting requests is spent on arrival. A short validity lets the
    // bucket refill by its tokens soon.
    const validForMs = tokens > request.needed
      ? GRANT_VALID_MS
      : IMMEDIATE_GRANT_VALID_MS;
    const step = grant(bucket, { id, vm, tokens, nowMs, validForMs });
    this.#storeBucket(team, step.bucket);
    if (!step.isAllowed) {
      return describeShortage(step.bucket, vm);
    }
    this.#grantCount += 1;
    return { kind: "granted", grant: { id, tokens, validForMs } };
  }

  /**
   * Puts returned tokens back into the bucket and records spent ones.
   *
   * @param team - team whose tokens were granted
   * @param reports - a VM's reports on its grants
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
   * while the shard has no holder. Its unexpired grants are renewed.
   *
   * @param shard - shard held here
   * @param vm - name of the standby
   * @returns new and renewed grants; a renewed one has 0 tokens
   */
  grantStandby(shard: ShardId, vm: string): readonly TeamGrant[] {
    const nowMs = this.#options.clock.readMonotonicMs();
    const issued: TeamGrant[] = [];
    for (const team of [...this.#shards.get(shard)?.buckets.keys() ?? []]) {
      const current = this.#findBucket(team);
      if (current === undefined) {
        continue;
      }
      let bucket = refill(current, nowMs);
      const renewed = bucket.grants.filter((other) => other.vm === vm);
      for (const { id } of renewed) {
        bucket = renewGrant(bucket, id, nowMs);
        issued.push({
          team,
          grant: { id, tokens: 0, validForMs: GRANT_VALID_MS },
        });
      }
      const renewedTokens = renewed.reduce(
        (sum, other) => sum + other.tokens,
        0,
      );
      const { burst } = bucket.limits;
      const wanted = Math.floor(burst * STANDBY_SHARE) - renewedTokens;
      // During a burst, the team needs its tokens at the holder.
      const surplus = Math.floor(bucket.level - burst * MIN_LEVEL_SHARE);
      const tokens = Math.min(computeGrantable(bucket), wanted, surplus);
      const id = `${this.#options.name}/${this.#grantCount}`;
      const step = grant(bucket, { id, vm, tokens, nowMs });
      this.#storeBucket(team, step.bucket);
      if (step.isAllowed) {
        this.#grantCount += 1;
        issued.push({
          team,
          grant: { id, tokens, validForMs: GRANT_VALID_MS },
        });
      }
    }
    return issued;
  }

  /** Evicts full buckets; they are created again when they are needed. */
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
    const current = held.buckets.get(team) ??
      createBucket(limits, held.heldSinceMs);
    const isChanged = current.limits.burst !== limits.burst ||
      current.limits.ratePerSecond !== limits.ratePerSecond;
    return isChanged
      ? updateLimits(current, limits, this.#options.clock.readMonotonicMs())
      : current;
  }

  #storeBucket(team: TeamId, bucket: LimitBucket): void {
    this.#shards.get(findTeamShard(team))?.buckets.set(team, bucket);
  }
}

function describeShortage(
  bucket: LimitBucket,
  requester: string,
): HolderVerdict {
  const grantedTo = new Set(bucket.grants.map((issued) => issued.vm));
  grantedTo.delete(requester);
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
