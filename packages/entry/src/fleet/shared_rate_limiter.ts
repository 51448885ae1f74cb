/** Keeps teams within their rates, each VM within its share. */

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
import type { FleetLog } from "./fleet_log.ts";
import type { FleetPeers } from "./fleet_peers.ts";
import type { FleetState } from "./fleet_state.ts";

/** Demand below which a team is not reported, in requests per second. */
const LEAST_REPORTED_RATE = 0.05;
/** Part of the tolerance of a limit that the leads grant ahead together. */
const RESERVE_SHARE = 0.6;
/** The reserve is divided by at least this many, so that a new lead fits in. */
const LEAST_LEAD_COUNT = 3;
/** No process starts again sooner, so this much of the rate went unused. */
const RESTART_GAP_S = 1;
/** Share of the limit that a VM without callers grants by itself. */
const UNLED_SHARE = 0.02;
/** Longest wait that a caller is told. */
const LONGEST_RETRY_MS = 2_000;
const SHORTEST_RETRY_MS = 50;
/** A VM that may lead decides within this time. */
const LEAD_DECISION_MS = 60;

/** Asks another VM for a token. */
export type TokenCall = (
  vm: Vm,
  request: TokenRequest,
) => Promise<TokenReply | undefined>;

/** What the limiter works with. */
export interface SharedRateLimiterOptions {
  readonly self: Vm;
  readonly state: FleetState;
  readonly peers: FleetPeers;
  readonly clock: Clock;
  readonly log: FleetLog;
  readonly sendTokenRequest: TokenCall;
  /** True only when the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** Requests of a team that may run beyond its limit in any window. */
  readonly tolerance: number;
}

/**
 * Divides each team's rate and burst among the VMs that take callers. A VM that
 * runs out asks the others for a token; a VM that takes no callers always does.
 */
export class SharedRateLimiter extends RateLimiter {
  readonly #options: SharedRateLimiterOptions;
  readonly #averages = new DemandAverages();
  readonly #leadBuckets = new Map<TeamId, SharedBucket>();
  /** What this VM grants by itself while it takes no callers. */
  readonly #unledBuckets = new Map<TeamId, SharedBucket>();
  readonly #shares: TeamShares;
  /** Until when no other VM is asked for a team's tokens. */
  readonly #dryUntilMs = new Map<TeamId, number>();

  /**
   * Prepares the limiter.
   *
   * @param options - what it works with
   */
  constructor(options: SharedRateLimiterOptions) {
    super();
    this.#options = options;
    this.#shares = new TeamShares(options.clock.readMonotonicMs());
  }

  /**
   * Takes in another VM's demand.
   *
   * @param vm - the other VM
   * @param demand - its demand; undefined if it takes no callers
   * @param nowMs - monotonic time
   */
  applyPeer(vm: VmId, demand: TeamDemand | undefined, nowMs: number): void {
    this.#shares.recordPeerDemand(vm, demand, nowMs);
  }

  /**
   * Lists this VM's demand.
   *
   * @returns teams with their requests per second
   */
  listDemand(): readonly (readonly [string, number])[] {
    const nowMs = this.#options.clock.readMonotonicMs();
    const rates = this.#averages.listRates(LEAST_REPORTED_RATE, nowMs);
    return [...rates].map(([team, rate]) =>
      [team as string, Math.round(rate * 10) / 10] as const
    );
  }

  /**
   * Reads what callers send to this VM.
   *
   * @returns requests per second, those of open routes excluded
   */
  readRequestsPerSecond(): number {
    const nowMs = this.#options.clock.readMonotonicMs();
    return Math.round(this.#averages.sumRates(nowMs));
  }

  /**
   * Grants or refuses a token to another VM.
   *
   * @param request - the team
   * @returns the answer
   */
  handleTokenRequest(request: TokenRequest): TokenReply {
    const team = toId<TeamId>(request.team);
    const limit = this.#findLimit(team);
    if (limit === undefined) {
      return { isGranted: true, retryAfterMs: 0 };
    }
    const waitMs = this.#takeOwn(team, limit);
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
    if (peers.learningLeftMs > 0 && peers.ownLeadSinceMs === undefined) {
      // Whether this VM leads, and so grants tokens, is known in a moment.
      await this.#waitLearned(peers.learningLeftMs);
    }
    const isLead = peers.ownLeadSinceMs !== undefined;
    let waitMs = isLead ? this.#takeOwn(team, limit) : Infinity;
    if (waitMs > 0) {
      waitMs = Math.min(waitMs, await this.#takeFromOthers(team));
    }
    if (waitMs > 0 && !isLead) {
      waitMs = this.#takeOwn(team, limit);
    }
    if (waitMs === 0) {
      return { kind: "granted" };
    }
    const retryAfterMs = toRetryAfterMs(waitMs);
    this.#recordRefusal(team, request, retryAfterMs);
    return { kind: "over-rate", retryAfterMs };
  }

  async #waitLearned(leftMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      setTimeout(resolve, leftMs + LEAD_DECISION_MS);
    });
  }

  async #takeFromOthers(team: TeamId): Promise<number> {
    const { clock, peers, self, sendTokenRequest } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const dryUntilMs = this.#dryUntilMs.get(team) ?? 0;
    if (nowMs < dryUntilMs) {
      return dryUntilMs - nowMs;
    }
    let shortestMs = Infinity;
    for (const vm of peers.listLeads()) {
      if (vm.incarnation.vm === self.incarnation.vm) {
        continue;
      }
      const reply = await sendTokenRequest(vm, { team });
      if (reply?.isGranted === true) {
        return 0;
      }
      shortestMs = Math.min(shortestMs, reply?.retryAfterMs ?? Infinity);
    }
    this.#dryUntilMs.set(team, nowMs + toRetryAfterMs(shortestMs));
    return shortestMs;
  }

  #takeOwn(team: TeamId, limit: SharedLimit): number {
    const { clock, isFirstStart, peers } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const share = this.#computeShare(team, nowMs);
    const buckets = peers.ownLeadSinceMs === undefined
      ? this.#unledBuckets
      : this.#leadBuckets;
    const known = buckets.get(team);
    const unused = limit.ratePerSecond * share * RESTART_GAP_S;
    const bucket = known ?? new SharedBucket(
      isFirstStart ? limit.burst * share : limit.reserve + unused,
      nowMs,
    );
    if (known === undefined) {
      buckets.set(team, bucket);
    }
    return bucket.take(limit, share, nowMs);
  }

  #computeShare(team: TeamId, nowMs: number): number {
    const { peers } = this.#options;
    if (peers.ownLeadSinceMs === undefined) {
      return UNLED_SHARE;
    }
    const rate = this.#averages.readRate(team, nowMs);
    const leadCount = peers.listLeads().length;
    return this.#shares.computeShare(team, { rate, leadCount }, nowMs);
  }

  #findLimit(team: TeamId): SharedLimit | undefined {
    const { state, tolerance } = this.#options;
    const found = state.findTeam(team);
    if (found === undefined || found.ratePerSecond === 0) {
      return undefined;
    }
    const { peers } = this.#options;
    const isLead = peers.ownLeadSinceMs !== undefined;
    const leadCount = Math.max(LEAST_LEAD_COUNT, peers.listLeads().length);
    return {
      ratePerSecond: found.ratePerSecond,
      burst: found.burst,
      reserve: isLead ? tolerance * RESERVE_SHARE / leadCount : 0,
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

function toRetryAfterMs(waitMs: number): number {
  return Math.min(
    LONGEST_RETRY_MS,
    Math.max(SHORTEST_RETRY_MS, Math.ceil(waitMs)),
  );
}
