/** Enforces each team's rate limit with one token bucket for the whole fleet. */

import {
  DemandGrantPolicy,
  type GrantPolicy,
} from "@limpetford/core/limits/grant_policy";
import type { ReceivedGrant } from "@limpetford/core/limits/held_grants";
import {
  type HandoverLimits,
  type HolderVerdict,
  LimitHolder,
} from "@limpetford/core/limits/limit_holder";
import { TeamTokenCache } from "@limpetford/core/limits/team_token_cache";
import type { FleetView } from "@limpetford/core/membership/fleet_view";
import type { OwnershipView } from "@limpetford/core/ownership/ownership_view";
import type {
  OwnershipOrigin,
  ShardComponent,
} from "@limpetford/core/ownership/shard_component";
import { findTeamShard } from "@limpetford/core/sharding/shard_hash";
import type { Clock } from "@limpetford/core/time/clock";
import { scheduleRepeatedly, type Timers } from "@limpetford/core/time/timers";
import { type ShardId, type TeamId, toId } from "@limpetford/domain/ids";
import {
  formatIncarnation,
  isSameIncarnation,
  type Vm,
} from "@limpetford/domain/vm";
import {
  type AcquireTokensReply,
  type AcquireTokensRequest,
  type RecallTokensReply,
  type RecallTokensRequest,
  type StandbyTokensReply,
  type StandbyTokensRequest,
} from "@limpetford/peer/generated/limits";
import {
  decodeHandoverLimits,
  encodeHandoverLimits,
} from "@limpetford/peer/limits_codec";
import type {
  LimitsCalls,
  LimitsHandlers,
} from "@limpetford/peer/limits_handlers";

import type { ConfigurationSource } from "../../ports/configuration_source.ts";
import { RateLimiter, type RateVerdict } from "../../ports/rate_limiter.ts";
import type { RequestContext } from "../../ports/request_context.ts";
import type { VmComponent } from "../../ports/vm_component.ts";
import { StandbyGrantRenewer } from "./standby_grant_renewer.ts";
import { TokenClient } from "./token_client.ts";
import { TokenRecall } from "./token_recall.ts";

const SWEEP_INTERVAL_MS = 200;
const SWEEPS_PER_EVICTION = 50;
const NO_HOLDER_RETRY_MS = 1_000;
const MAX_FETCHES = 2;
const HANDOVER_WAIT_MS = 20;
/** Retry delay if concurrent requests took the tokens that were granted. */
const CONTENDED_RETRY_MS = 100;

/** The first holder starts with full buckets: no earlier grant can exist. */
const INITIAL_LIMITS: HandoverLimits = {
  heldForMs: 24 * 3_600_000,
  buckets: [],
};

/** Dependencies of a {@link RateLimiterComponent}. */
export interface RateLimiterComponentOptions {
  readonly configuration: ConfigurationSource;
  readonly ownership: OwnershipView;
  readonly fleet: FleetView;
  readonly calls: LimitsCalls;
  readonly clock: Clock;
  readonly timers: Timers;
  /** Decides the size of grants; default {@link DemandGrantPolicy}. */
  readonly policy?: GrantPolicy;
}

/**
 * Keeps the token buckets of the shards that this VM holds, and caches tokens
 * granted by the holders of other shards.
 */
export class RateLimiterComponent extends RateLimiter
  implements ShardComponent, VmComponent, LimitsHandlers {
  readonly componentName = "limits";
  readonly #options: RateLimiterComponentOptions;
  readonly #policy: GrantPolicy;
  readonly #holder: LimitHolder;
  readonly #tokenCaches = new Map<TeamId, TeamTokenCache>();
  readonly #client: TokenClient;
  readonly #recall: TokenRecall;
  readonly #standbyRenewer: StandbyGrantRenewer;
  #stopSweeps: (() => void) | undefined;
  #sweepCount = 0;

  /**
   * Creates the component. It handles calls even before {@link start}.
   *
   * @param options - the dependencies and the grant policy
   */
  constructor(options: RateLimiterComponentOptions) {
    super();
    this.#options = options;
    this.#policy = options.policy ?? new DemandGrantPolicy();
    const { fleet, calls, clock, configuration } = options;
    const name = formatIncarnation(fleet.readSelf().incarnation);
    this.#holder = new LimitHolder({
      clock,
      policy: this.#policy,
      name,
      findLimits: (team) => configuration.findTeam(team),
    });
    this.#client = new TokenClient({ calls, clock, vm: name });
    this.#recall = new TokenRecall({
      calls,
      clock,
      fleet,
      holder: this.#holder,
    });
    this.#standbyRenewer = new StandbyGrantRenewer({
      calls,
      clock,
      fleet,
      ownership: options.ownership,
      findTokenCache: (team) => this.#findTokenCache(team),
    });
  }

  override async acquire(
    team: TeamId,
    request: RequestContext,
  ): Promise<RateVerdict> {
    const { clock } = this.#options;
    const cache = this.#findTokenCache(team);
    cache.recordRequest(clock.readMonotonicMs());
    let isHolderMissing = false;
    for (let fetchCount = 0; fetchCount <= MAX_FETCHES; fetchCount += 1) {
      const nowMs = clock.readMonotonicMs();
      if (cache.spend(nowMs)) {
        this.#fetchAhead(team, cache);
        return { kind: "granted" };
      }
      const verdict = this.#isHolderOfTeam(team)
        ? await this.#spendLocally(team)
        : undefined;
      if (verdict !== undefined) {
        return verdict;
      }
      const refusalMs = cache.computeBackoffMs(nowMs);
      if (refusalMs > 0) {
        return { kind: "over-rate", retryAfterMs: refusalMs };
      }
      if (fetchCount === MAX_FETCHES || nowMs >= request.deadlineAtMs) {
        break;
      }
      if (!await this.#fetchFromHolder(team, cache)) {
        // Waits out a handover, which takes a few milliseconds. A takeover takes
        // far longer and is refused with `no-holder`.
        await this.#waitForHandover();
        isHolderMissing = true;
      } else {
        isHolderMissing = false;
      }
    }
    if (isHolderMissing) {
      return this.#buildNoHolderVerdict();
    }
    return { kind: "over-rate", retryAfterMs: CONTENDED_RETRY_MS };
  }

  acquireShard(shard: ShardId, origin: OwnershipOrigin): void {
    if (origin.kind === "takeover") {
      this.#holder.acquireShard(shard);
      return;
    }
    const state = origin.kind === "first"
      ? INITIAL_LIMITS
      : decodeHandoverLimits(origin.state);
    this.#holder.acquireShard(shard, state);
    for (const { team } of state.buckets) {
      const reports = this.#tokenCaches.get(team)?.takeAll() ?? [];
      this.#holder.applyReports(team, reports);
    }
  }

  prepareHandover(shard: ShardId): Uint8Array {
    return encodeHandoverLimits(this.#holder.prepareHandover(shard));
  }

  releaseShard(shard: ShardId): void {
    this.#holder.releaseShard(shard);
  }

  start(): Promise<void> {
    this.#stopSweeps = scheduleRepeatedly(
      this.#options.timers,
      SWEEP_INTERVAL_MS,
      () => {
        this.#runSweep();
      },
    );
    return Promise.resolve();
  }

  async drain(): Promise<void> {
    this.#standbyRenewer.drain();
    await Promise.all(
      [...this.#tokenCaches].map(async ([team, cache]) => {
        await this.#returnTokens(team, cache, cache.takeAll());
      }),
    );
  }

  stop(): Promise<void> {
    this.#stopSweeps?.();
    return Promise.resolve();
  }

  #isHolderOfTeam(team: TeamId): boolean {
    return this.#isHolderOfShard(findTeamShard(team));
  }

  #isHolderOfShard(shard: ShardId): boolean {
    const { ownership } = this.#options;
    const owned = ownership.findOwnership(shard);
    return owned !== undefined && this.#isSelf(owned.holder) &&
      ownership.mayAct(shard);
  }

  #isSelf(vm: Vm): boolean {
    const self = this.#options.fleet.readSelf();
    return isSameIncarnation(vm.incarnation, self.incarnation);
  }

  async #spendLocally(team: TeamId): Promise<RateVerdict | undefined> {
    const verdict = this.#holder.spend(team);
    if (verdict.kind === "granted") {
      return { kind: "granted" };
    }
    if (verdict.kind === "not-held") {
      return undefined;
    }
    const isRecalled = await this.#recall.withdrawGrants(
      team,
      verdict.grantedTo,
    );
    if (!isRecalled || !this.#isHolderOfTeam(team)) {
      return { kind: "over-rate", retryAfterMs: verdict.retryAfterMs };
    }
    const second = this.#holder.spend(team);
    return second.kind === "granted"
      ? { kind: "granted" }
      : { kind: "over-rate", retryAfterMs: verdict.retryAfterMs };
  }

  /**
   * Fetches tokens from the shard's holder into the cache.
   *
   * @param team - team that has no cached token left
   * @param cache - the team's token cache
   * @returns true if the holder replied, even if it granted no token
   */
  async #fetchFromHolder(
    team: TeamId,
    cache: TeamTokenCache,
  ): Promise<boolean> {
    const owned = this.#options.ownership.findOwnership(findTeamShard(team));
    if (owned === undefined || this.#isSelf(owned.holder)) {
      return false;
    }
    const to = owned.holder.peerAddress;
    const reply = await this.#client.fetchTokens({ team, cache, to });
    return reply?.isHeld === true;
  }

  async #waitForHandover(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#options.timers.schedule(HANDOVER_WAIT_MS, resolve);
    });
  }

  #fetchAhead(team: TeamId, cache: TeamTokenCache): void {
    if (cache.shouldPrefetch(this.#options.clock.readMonotonicMs())) {
      void this.#fetchFromHolder(team, cache);
    }
  }

  #findTokenCache(team: TeamId): TeamTokenCache {
    const known = this.#tokenCaches.get(team);
    if (known !== undefined) {
      return known;
    }
    const created = new TeamTokenCache(this.#policy);
    this.#tokenCaches.set(team, created);
    return created;
  }

  #runSweep(): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const [team, cache] of this.#tokenCaches) {
      void this.#returnTokens(team, cache, cache.takeReturns(nowMs));
      if (cache.isIdle(nowMs)) {
        this.#tokenCaches.delete(team);
      }
    }
    this.#standbyRenewer.renewDue();
    this.#sweepCount += 1;
    if (this.#sweepCount % SWEEPS_PER_EVICTION === 0) {
      this.#holder.evictFull();
    }
  }

  async #returnTokens(
    team: TeamId,
    cache: TeamTokenCache,
    returns: ReturnType<TeamTokenCache["takeAll"]>,
  ): Promise<void> {
    const owned = this.#options.ownership.findOwnership(findTeamShard(team));
    if (owned !== undefined && returns.some((entry) => entry.unspent > 0)) {
      const to = owned.holder.peerAddress;
      await this.#client.returnTokens({ team, cache, to }, returns);
    }
  }

  async handleAcquireTokens(
    request: AcquireTokensRequest,
  ): Promise<AcquireTokensReply> {
    const team = toId<TeamId>(request.team);
    if (!this.#isHolderOfTeam(team)) {
      return buildReply({ kind: "not-held" });
    }
    const verdict = this.#holder.grant({ ...request, team });
    if (verdict.kind !== "short" || request.needed === 0) {
      return buildReply(verdict);
    }
    const isRecalled = await this.#recall.withdrawGrants(
      team,
      verdict.grantedTo,
    );
    if (!isRecalled || !this.#isHolderOfTeam(team)) {
      return buildReply(verdict);
    }
    return buildReply(this.#holder.grant({ ...request, team, reports: [] }));
  }

  handleRecallTokens(request: RecallTokensRequest): RecallTokensReply {
    const cache = this.#tokenCaches.get(toId<TeamId>(request.team));
    return { reports: [...cache?.takeAll() ?? []] };
  }

  handleStandbyTokens(request: StandbyTokensRequest): StandbyTokensReply {
    for (const { team, reports } of request.reports) {
      this.#holder.applyReports(toId<TeamId>(team), reports);
    }
    const grants = request.shards
      .map((shard) => toId<ShardId>(shard))
      .filter((shard) => this.#isHolderOfShard(shard))
      .flatMap((shard) => this.#holder.grantStandby(shard, request.vm))
      .map(({ team, grant }) => ({ team, ...grant }));
    return { grants };
  }

  #buildNoHolderVerdict(): RateVerdict {
    return { kind: "no-holder", retryAfterMs: NO_HOLDER_RETRY_MS };
  }
}

const NO_GRANT: ReceivedGrant = { id: "", tokens: 0, validForMs: 0 };

function buildReply(verdict: HolderVerdict): AcquireTokensReply {
  return {
    isHeld: verdict.kind !== "not-held",
    ...verdict.kind === "granted" ? verdict.grant : NO_GRANT,
    retryAfterMs: verdict.kind === "short" ? verdict.retryAfterMs : 0,
  };
}
