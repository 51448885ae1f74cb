/** Distributed rate limiter for teams, divided among the VMs. */

import { ConfirmedDemand } from "@limpetford/core/limits/confirmed_demand";
import {
  SharedBucket,
  type SharedLimit,
} from "@limpetford/core/limits/shared_bucket";
import {
  DemandAverages,
  type TeamDemand,
  TeamShares,
} from "@limpetford/core/limits/team_shares";
import type { Clock } from "@limpetford/core/time/clock";
import { type TeamId, toId, type VmId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";
import type { TokenReply, TokenRequest } from "@limpetford/peer/fleet_sync";

import { RateLimiter, type RateVerdict } from "../ports/rate_limiter.ts";
import type { RequestContext } from "../ports/request_context.ts";
import { AccruedTokens } from "./accrued_tokens.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { FleetPeers } from "./fleet_peers.ts";
import type { FleetState } from "./fleet_state.ts";

/** Teams with fewer requests per second are not reported to other VMs. */
const MIN_REPORTED_RATE = 0.05;
/** Share of the tolerance that all leaders together may grant in advance. */
const RESERVE_SHARE = 0.6;
/** Least divisor of the reserve, so that an additional leader has a share. */
const MIN_RESERVE_DIVISOR = 3;
/**
 * Share of the reserve that a process begins with after a start that is not the
 * first: what was granted before counts in the same window.
 */
const RESTART_RESERVE_SHARE = 0.5;
/**
 * How long after a start that is not the first a VM may not know of all leaders.
 */
const LEARNING_MS = 1_500;
/** Greatest share that a leader claims in this time. */
const MAX_LEARNING_SHARE = 1 / 3;
/** Share of a limit that a VM grants locally while it is not a leader. */
const NON_LEADER_SHARE = 0.02;
/** Greatest retry delay told to a caller. */
const MAX_RETRY_AFTER_MS = 2_000;
/** Least retry delay told to a caller. */
const MIN_RETRY_AFTER_MS = 50;
/** Time in which a VM that may be a leader decides whether it is one. */
const LEADER_CHOICE_MS = 60;

/** Asks another VM for a token; resolves to undefined if the call fails. */
export type TokenCall = (
  vm: Vm,
  request: TokenRequest,
) => Promise<TokenReply | undefined>;

/** Dependencies and bounds of a {@link SharedRateLimiter}. */
export interface SharedRateLimiterOptions {
  readonly self: Vm;
  readonly state: FleetState;
  readonly peers: FleetPeers;
  readonly clock: Clock;
  readonly log: FleetLog;
  readonly sendTokenRequest: TokenCall;
  /** True only when the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** True if the settings name other VMs, so that this one is not alone. */
  readonly hasOtherSeeds: boolean;
  /** Requests that a team may make above its limit in any window. */
  readonly tolerance: number;
}

/**
 * Divides each team's rate and burst among the leaders, which are the VMs that
 * serve callers. A leader without tokens left asks the other leaders for one. A
 * VM that is not a leader always asks first, and then uses a small share.
 */
export class SharedRateLimiter extends RateLimiter {
  readonly #options: SharedRateLimiterOptions;
  readonly #averages = new DemandAverages();
  readonly #confirmed = new ConfirmedDemand();
  readonly #leaderBuckets = new Map<TeamId, SharedBucket>();
  /** Buckets from which this VM grants while it is not a leader. */
  readonly #nonLeaderBuckets = new Map<TeamId, SharedBucket>();
  readonly #shares = new TeamShares();
  readonly #accrued: AccruedTokens;
  readonly #startedAtMs: number;
  #resolveFirstReport: () => void = () => undefined;
  /** Resolves when another VM has reported for the first time. */
  readonly #firstReport = new Promise<void>((resolve) => {
    this.#resolveFirstReport = resolve;
  });
  /**
   * Monotonic time until which other VMs are not asked for a team's tokens,
   * because none of them had any left.
   */
  readonly #exhaustedUntilMs = new Map<TeamId, number>();

  /**
   * Creates a limiter; buckets are created with a team's first request.
   *
   * @param options - dependencies and bounds
   */
  constructor(options: SharedRateLimiterOptions) {
    super();
    this.#options = options;
    this.#startedAtMs = options.clock.readMonotonicMs();
    this.#accrued = new AccruedTokens(options);
    this.#shares.setHasPeers(options.hasOtherSeeds);
  }

  /**
   * Updates the demand of another VM, which determines this VM's share.
   *
   * @param vm - the other VM
   * @param demand - its demand; undefined if it is not a leader
   * @param nowMs - monotonic time
   */
  applyPeer(vm: VmId, demand: TeamDemand | undefined, nowMs: number): void {
    this.#accrued.recordHeard(vm);
    this.#shares.recordPeerDemand(vm, demand, nowMs);
    this.#resolveFirstReport();
  }

  /**
   * Records which of this VM's reports another VM has applied.
   *
   * @param vm - the other VM
   * @param sentAtMs - monotonic time at which the report was built; undefined if
   * it has applied none of this process
   */
  applyConfirmation(vm: VmId, sentAtMs: number | undefined): void {
    this.#confirmed.recordConfirmation(vm, sentAtMs);
  }

  /**
   * Lists this VM's demand, to be reported to another VM at once.
   *
   * @param receiver - the other VM; undefined if it is not known
   * @param nowMs - monotonic time in the report
   * @returns teams and their requests per second, rounded to a tenth
   */
  listDemand(
    receiver: VmId | undefined,
    nowMs: number,
  ): readonly (readonly [string, number])[] {
    const rates = this.#averages.listRates(MIN_REPORTED_RATE, nowMs);
    const rounded = [...rates].map(([team, rate]) =>
      [team, Math.round(rate * 10) / 10] as const
    );
    if (receiver !== undefined) {
      this.#confirmed.recordReport(receiver, new Map(rounded), nowMs);
    }
    return rounded;
  }

  /**
   * Reads the rate at which callers send requests to this VM.
   *
   * @returns requests per second, without those on open routes
   */
  readRequestsPerSecond(): number {
    const nowMs = this.#options.clock.readMonotonicMs();
    return Math.round(this.#averages.sumRates(nowMs));
  }

  /**
   * Takes a token from this VM's own bucket for another VM.
   *
   * @param request - names the team
   * @returns whether a token was granted, and otherwise the time to wait
   */
  handleTokenRequest(request: TokenRequest): TokenReply {
    const team = toId<TeamId>(request.team);
    const limit = this.#findLimit(team);
    if (limit === undefined) {
      return { isGranted: true, retryAfterMs: 0 };
    }
    const waitMs = this.#takeLocal(team, limit);
    return { isGranted: waitMs === 0, retryAfterMs: toRetryAfterMs(waitMs) };
  }

  override async acquire(
    team: TeamId,
    request: RequestContext,
  ): Promise<RateVerdict> {
    const { clock, peers } = this.#options;
    this.#averages.recordRequest(team, clock.readMonotonicMs());
    const limit = this.#findLimit(team);
    if (limit === undefined) {
      return { kind: "granted" };
    }
    if (peers.discoveryLeftMs > 0 && peers.ownLeaderSinceMs === undefined) {
      // Wait until this VM knows whether it is a leader and grants tokens.
      await waitFor(peers.discoveryLeftMs + LEADER_CHOICE_MS);
    }
    await this.#waitForPeers();
    const isLeader = peers.ownLeaderSinceMs !== undefined;
    let waitMs = isLeader ? this.#takeLocal(team, limit) : Infinity;
    if (waitMs > 0) {
      waitMs = Math.min(waitMs, await this.#takeFromLeaders(team));
    }
    if (waitMs === Infinity && !isLeader) {
      // No leader answered. What leaders refuse, this VM refuses too.
      waitMs = this.#takeLocal(team, limit);
    }
    if (waitMs === 0) {
      return { kind: "granted" };
    }
    const retryAfterMs = toRetryAfterMs(waitMs);
    this.#recordRefusal(team, request, retryAfterMs);
    return { kind: "over-rate", retryAfterMs };
  }

  // VMs that start together hear of each other soon. Until then a VM could grant
  // next to nothing.
  async #waitForPeers(): Promise<void> {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (this.#isLearning(nowMs) && this.#shares.isIsolated(nowMs)) {
      const leftMs = this.#startedAtMs + LEARNING_MS - nowMs;
      await Promise.race([this.#firstReport, waitFor(leftMs)]);
    }
  }

  #isLearning(nowMs: number): boolean {
    const { hasOtherSeeds, isFirstStart } = this.#options;
    return !isFirstStart && hasOtherSeeds &&
      nowMs - this.#startedAtMs < LEARNING_MS;
  }

  async #takeFromLeaders(team: TeamId): Promise<number> {
    const { clock, peers, self, sendTokenRequest } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const exhaustedUntilMs = this.#exhaustedUntilMs.get(team) ?? 0;
    if (nowMs < exhaustedUntilMs) {
      return exhaustedUntilMs - nowMs;
    }
    let shortestMs = Infinity;
    for (const vm of peers.listLeaders()) {
      if (vm.incarnation.vm === self.incarnation.vm) {
        continue;
      }
      const reply = await sendTokenRequest(vm, { team });
      if (reply?.isGranted === true) {
        return 0;
      }
      shortestMs = Math.min(shortestMs, reply?.retryAfterMs ?? Infinity);
    }
    if (Number.isFinite(shortestMs)) {
      this.#exhaustedUntilMs.set(team, nowMs + toRetryAfterMs(shortestMs));
    }
    return shortestMs;
  }

  #takeLocal(team: TeamId, limit: SharedLimit): number {
    const nowMs = this.#options.clock.readMonotonicMs();
    const share = this.#computeShare(team, nowMs);
    const isLeader = this.#options.peers.ownLeaderSinceMs !== undefined;
    const buckets = isLeader ? this.#leaderBuckets : this.#nonLeaderBuckets;
    let bucket = buckets.get(team);
    if (bucket === undefined) {
      const tokens = isLeader ? this.#takeFirstTokens(team, limit, share) : 0;
      bucket = new SharedBucket(tokens, nowMs);
      buckets.set(team, bucket);
    } else if (isLeader) {
      bucket.add(this.#accrued.takeRest(team, limit, share));
    }
    return bucket.take(limit, share, nowMs);
  }

  #takeFirstTokens(team: TeamId, limit: SharedLimit, share: number): number {
    return this.#options.isFirstStart
      ? limit.burst * share
      : limit.reserve * RESTART_RESERVE_SHARE +
        this.#accrued.takeFirst(team, limit, share);
  }

  #computeShare(team: TeamId, nowMs: number): number {
    const { peers, self, state } = this.#options;
    if (peers.ownLeaderSinceMs === undefined) {
      return NON_LEADER_SHARE;
    }
    const leaders = peers.listLeaders().map((vm) => vm.incarnation.vm);
    const others = leaders.filter((vm) => vm !== self.incarnation.vm);
    const rate = Math.min(
      this.#averages.readRate(team, nowMs),
      this.#confirmed.readRate(team, others),
    );
    const share = this.#shares.computeShare(
      team,
      {
        rate,
        leaderCount: leaders.length,
        vmCount: state.listVms().length,
      },
      nowMs,
    );
    return this.#isLearning(nowMs)
      ? Math.min(MAX_LEARNING_SHARE, share)
      : share;
  }

  #findLimit(team: TeamId): SharedLimit | undefined {
    const { state, tolerance } = this.#options;
    const found = state.findTeam(team);
    if (found === undefined || found.ratePerSecond === 0) {
      return undefined;
    }
    const { clock, peers } = this.#options;
    // What isolated leaders grant in advance would add up.
    const mayGrantAhead = peers.ownLeaderSinceMs !== undefined &&
      !this.#shares.isIsolated(clock.readMonotonicMs());
    const leaderCount = Math.max(
      MIN_RESERVE_DIVISOR,
      peers.listLeaders().length,
    );
    return {
      ratePerSecond: found.ratePerSecond,
      burst: found.burst,
      reserve: mayGrantAhead ? tolerance * RESERVE_SHARE / leaderCount : 0,
    };
  }

  #recordRefusal(
    team: TeamId,
    request: RequestContext,
    retryAfterMs: number,
  ): void {
    const { clock, log } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const rate = this.#averages.readRate(team, nowMs);
    log.record("request-limited", {
      request: request.id,
      team,
      share: Math.round(this.#computeShare(team, nowMs) * 1_000) / 1_000,
      demandPerSecond: Math.round(rate * 10) / 10,
      retryAfterMs,
    });
  }
}

async function waitFor(durationMs: number): Promise<void> {
  await new Promise<void>((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

function toRetryAfterMs(waitMs: number): number {
  return Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs)),
  );
}
