/** Counts each team's requests against one bucket for the whole fleet. */

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
import { StandbyTokens } from "./standby_tokens.ts";
import { TokenCalls } from "./token_calls.ts";
import { TokenRecall } from "./token_recall.ts";

const SWEEP_INTERVAL_MS = 200;
const EVICT_EVERY_SWEEPS = 50;
const NO_HOLDER_RETRY_MS = 1_000;
const MAX_ASKS = 2;
const HANDOVER_WAIT_MS = 20;
/** When to come back if other requests took the tokens that were granted. */
const CONTENDED_RETRY_MS = 100;

/** Without a predecessor no grant can be out, so that buckets start full. */
const FIRST_HOLDER_LIMITS: HandoverLimits = {
  heldForMs: 24 * 3_600_000,
  buckets: [],
};

/** What the component works with. */
export interface RateLimiterComponentOptions {
  readonly configuration: ConfigurationSource;
  readonly ownership: OwnershipView;
  readonly fleet: FleetView;
  readonly calls: LimitsCalls;
  readonly clock: Clock;
  readonly timers: Timers;
  /** Sizes grants; default by demand. */
  readonly policy?: GrantPolicy;
}

/**
 * Keeps the buckets of the shards held here, and grants of those that other
 * VMs hold.
 */
export class RateLimiterComponent extends RateLimiter
  implements ShardComponent, VmComponent, LimitsHandlers {
  readonly componentName = "limits";
  readonly #options: RateLimiterComponentOptions;
  readonly #policy: GrantPolicy;
  readonly #holder: LimitHolder;
  readonly #wallets = new Map<TeamId, TeamTokenCache>();
  readonly #calls: TokenCalls;
  readonly #recall: TokenRecall;
  readonly #standby: StandbyTokens;
  #stopSweeps: (() => void) | undefined;
  #sweepCount = 0;

  /**
   * Creates the component; it answers calls before {@link start} too.
   *
   * @param options - the parts it works with
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
    this.#calls = new TokenCalls({ calls, clock, vm: name });
    this.#recall = new TokenRecall({
      calls,
      clock,
      fleet,
      holder: this.#holder,
    });
    this.#standby = new StandbyTokens({
      calls,
      clock,
      fleet,
      ownership: options.ownership,
      findWallet: (team) => this.#findWallet(team),
    });
  }

  override async acquire(
    team: TeamId,
    request: RequestContext,
  ): Promise<RateVerdict> {
    const { clock } = this.#options;
    const wallet = this.#findWallet(team);
    wallet.recordRequest(clock.readMonotonicMs());
    let isHolderMissing = false;
    for (let ask = 0; ask <= MAX_ASKS; ask += 1) {
      const nowMs = clock.readMonotonicMs();
      if (wallet.spend(nowMs)) {
        this.#fetchAhead(team, wallet);
        return { kind: "granted" };
      }
      const verdict = this.#isHeldHere(team)
        ? await this.#spendHere(team)
        : undefined;
      if (verdict !== undefined) {
        return verdict;
      }
      const refusalMs = wallet.computeBackoffMs(nowMs);
      if (refusalMs > 0) {
        return { kind: "over-rate", retryAfterMs: refusalMs };
      }
      if (ask === MAX_ASKS || nowMs >= request.deadlineAtMs) {
        break;
      }
      if (!await this.#fetchFromHolder(team, wallet)) {
        // A handover takes a few milliseconds, a takeover far longer.
        await this.#waitForHandover();
        isHolderMissing = true;
      } else {
        isHolderMissing = false;
      }
    }
    if (isHolderMissing) {
      return this.#buildNoHolder();
    }
    return { kind: "over-rate", retryAfterMs: CONTENDED_RETRY_MS };
  }

  acquireShard(shard: ShardId, origin: OwnershipOrigin): void {
    if (origin.kind === "takeover") {
      this.#holder.acquireShard(shard);
      return;
    }
    const state = origin.kind === "first"
      ? FIRST_HOLDER_LIMITS
      : decodeHandoverLimits(origin.state);
    this.#holder.acquireShard(shard, state);
    for (const { team } of state.buckets) {
      const reports = this.#wallets.get(team)?.takeAll() ?? [];
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
    this.#standby.drain();
    await Promise.all(
      [...this.#wallets].map(async ([team, wallet]) => {
        await this.#sendReturns(team, wallet, wallet.takeAll());
      }),
    );
  }

  stop(): Promise<void> {
    this.#stopSweeps?.();
    return Promise.resolve();
  }

  #isHeldHere(team: TeamId): boolean {
    return this.#isShardHeldHere(findTeamShard(team));
  }

  #isShardHeldHere(shard: ShardId): boolean {
    const { ownership } = this.#options;
    const owned = ownership.findOwnership(shard);
    return owned !== undefined && this.#isSelf(owned.holder) &&
      ownership.mayAct(shard);
  }

  #isSelf(vm: Vm): boolean {
    const self = this.#options.fleet.readSelf();
    return isSameIncarnation(vm.incarnation, self.incarnation);
  }

  async #spendHere(team: TeamId): Promise<RateVerdict | undefined> {
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
    if (!isRecalled || !this.#isHeldHere(team)) {
      return { kind: "over-rate", retryAfterMs: verdict.retryAfterMs };
    }
    const second = this.#holder.spend(team);
    return second.kind === "granted"
      ? { kind: "granted" }
      : { kind: "over-rate", retryAfterMs: verdict.retryAfterMs };
  }

  /**
   * Asks the holder for tokens; those granted are in the wallet afterwards.
   *
   * @param team - the team
   * @param wallet - its wallet
   * @returns true if a holder answered, whether or not it had tokens
   */
  async #fetchFromHolder(
    team: TeamId,
    wallet: TeamTokenCache,
  ): Promise<boolean> {
    const owned = this.#options.ownership.findOwnership(findTeamShard(team));
    if (owned === undefined || this.#isSelf(owned.holder)) {
      return false;
    }
    const to = owned.holder.peerAddress;
    const reply = await this.#calls.fetchTokens({ team, wallet, to });
    return reply?.isHeld === true;
  }

  async #waitForHandover(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#options.timers.schedule(HANDOVER_WAIT_MS, resolve);
    });
  }

  #fetchAhead(team: TeamId, wallet: TeamTokenCache): void {
    if (wallet.shouldPrefetch(this.#options.clock.readMonotonicMs())) {
      void this.#fetchFromHolder(team, wallet);
    }
  }

  #findWallet(team: TeamId): TeamTokenCache {
    const known = this.#wallets.get(team);
    if (known !== undefined) {
      return known;
    }
    const created = new TeamTokenCache(this.#policy);
    this.#wallets.set(team, created);
    return created;
  }

  #runSweep(): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const [team, wallet] of this.#wallets) {
      void this.#sendReturns(team, wallet, wallet.takeReturns(nowMs));
      if (wallet.isIdle(nowMs)) {
        this.#wallets.delete(team);
      }
    }
    this.#standby.renewDue();
    this.#sweepCount += 1;
    if (this.#sweepCount % EVICT_EVERY_SWEEPS === 0) {
      this.#holder.evictFull();
    }
  }

  async #sendReturns(
    team: TeamId,
    wallet: TeamTokenCache,
    returns: ReturnType<TeamTokenCache["takeAll"]>,
  ): Promise<void> {
    const owned = this.#options.ownership.findOwnership(findTeamShard(team));
    if (owned !== undefined && returns.some((entry) => entry.unspent > 0)) {
      const to = owned.holder.peerAddress;
      await this.#calls.sendReturns({ team, wallet, to }, returns);
    }
  }

  async handleAcquireTokens(
    request: AcquireTokensRequest,
  ): Promise<AcquireTokensReply> {
    const team = toId<TeamId>(request.team);
    if (!this.#isHeldHere(team)) {
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
    if (!isRecalled || !this.#isHeldHere(team)) {
      return buildReply(verdict);
    }
    return buildReply(this.#holder.grant({ ...request, team, reports: [] }));
  }

  handleRecallTokens(request: RecallTokensRequest): RecallTokensReply {
    const wallet = this.#wallets.get(toId<TeamId>(request.team));
    return { reports: [...wallet?.takeAll() ?? []] };
  }

  handleStandbyTokens(request: StandbyTokensRequest): StandbyTokensReply {
    for (const { team, reports } of request.reports) {
      this.#holder.applyReports(toId<TeamId>(team), reports);
    }
    const grants = request.shards
      .map((shard) => toId<ShardId>(shard))
      .filter((shard) => this.#isShardHeldHere(shard))
      .flatMap((shard) => this.#holder.grantStandby(shard, request.vm))
      .map(({ team, grant }) => ({ team, ...grant }));
    return { grants };
  }

  #buildNoHolder(): RateVerdict {
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
