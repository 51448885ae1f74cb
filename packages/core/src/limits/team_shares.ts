/** Each VM's part of a team's rate and burst. */

import type { TeamId, VmId } from "@limpetford/domain/ids";

/** Part of a limit that is divided evenly, whatever the demand. */
const EVEN_SHARE = 0.3;
/** Time over which demand is averaged. */
const DEMAND_WINDOW_MS = 4_000;
/** A VM that reaches no other for this long keeps the least share. */
const ALONE_AFTER_MS = 2_000;
/** Share of a VM that reaches no other; the others go on with theirs. */
const ALONE_SHARE = 0.08;
/** A VM that is no longer heard of keeps its share for this long. */
const PEER_KEPT_MS = 4_000;

/** Requests per second by team. */
export type TeamDemand = ReadonlyMap<TeamId, number>;

/** Moving average of the requests of each team. */
export class DemandAverages {
  readonly #rates = new Map<TeamId, { rate: number; atMs: number }>();

  /**
   * Counts one request.
   *
   * @param team - the team
   * @param nowMs - monotonic time
   */
  recordRequest(team: TeamId, nowMs: number): void {
    const rate = this.readRate(team, nowMs) + 1_000 / DEMAND_WINDOW_MS;
    this.#rates.set(team, { rate, atMs: nowMs });
  }

  /**
   * Reads a team's rate.
   *
   * @param team - the team
   * @param nowMs - monotonic time
   * @returns requests per second
   */
  readRate(team: TeamId, nowMs: number): number {
    const known = this.#rates.get(team);
    return known === undefined
      ? 0
      : known.rate * Math.exp(-(nowMs - known.atMs) / DEMAND_WINDOW_MS);
  }

  /**
   * Sums the rates of all teams.
   *
   * @param nowMs - monotonic time
   * @returns requests per second
   */
  sumRates(nowMs: number): number {
    let sum = 0;
    for (const team of this.#rates.keys()) {
      sum += this.readRate(team, nowMs);
    }
    return sum;
  }

  /**
   * Lists the rates that matter.
   *
   * @param leastRate - teams below it are left out
   * @param nowMs - monotonic time
   * @returns rates by team
   */
  listRates(leastRate: number, nowMs: number): TeamDemand {
    const rates = new Map<TeamId, number>();
    for (const team of this.#rates.keys()) {
      const rate = this.readRate(team, nowMs);
      if (rate >= leastRate) {
        rates.set(team, rate);
      } else {
        this.#rates.delete(team);
      }
    }
    return rates;
  }
}

interface PeerDemand {
  demand: TeamDemand;
  heardAtMs: number;
}

/**
 * Computes this VM's share from the demand of all VMs that take callers. The
 * shares of VMs with the same knowledge add up to one; a VM that hears of no
 * other falls back to a small share, because the others may have taken over.
 */
export class TeamShares {
  readonly #peers = new Map<VmId, PeerDemand>();
  #heardAtMs: number;
  #hasPeers = false;

  /**
   * Starts without peers.
   *
   * @param nowMs - monotonic time
   */
  constructor(nowMs: number) {
    this.#heardAtMs = nowMs;
  }

  /**
   * Takes in what another VM says of its demand.
   *
   * @param vm - the other VM
   * @param demand - its demand; undefined if it takes no callers
   * @param nowMs - monotonic time
   */
  recordPeerDemand(
    vm: VmId,
    demand: TeamDemand | undefined,
    nowMs: number,
  ): void {
    this.#heardAtMs = nowMs;
    this.#hasPeers = true;
    if (demand === undefined) {
      this.#peers.delete(vm);
    } else {
      this.#peers.set(vm, { demand, heardAtMs: nowMs });
    }
  }

  /**
   * Tells whether this VM is one of several, which it may not reach yet.
   *
   * @param hasPeers - true if other VMs are known to exist
   */
  setHasPeers(hasPeers: boolean): void {
    this.#hasPeers ||= hasPeers;
  }

  /**
   * Computes this VM's share of a team's limit.
   *
   * A lead that has not reported yet counts with this VM's own demand.
   *
   * @param team - the team
   * @param own - this VM's demand in requests per second, and how many leads
   * there are, this VM included
   * @param nowMs - monotonic time
   * @returns from 0 to 1
   */
  computeShare(
    team: TeamId,
    own: { readonly rate: number; readonly leadCount: number },
    nowMs: number,
  ): number {
    if (this.#hasPeers && nowMs - this.#heardAtMs > ALONE_AFTER_MS) {
      return ALONE_SHARE;
    }
    let total = own.rate;
    let count = 1;
    for (const [vm, peer] of this.#peers) {
      if (nowMs - peer.heardAtMs > PEER_KEPT_MS) {
        this.#peers.delete(vm);
        continue;
      }
      total += peer.demand.get(team) ?? 0;
      count += 1;
    }
    const missing = Math.max(0, own.leadCount - count);
    total += missing * own.rate;
    count += missing;
    const demandShare = total > 0 ? own.rate / total : 1 / count;
    return EVEN_SHARE / count + (1 - EVEN_SHARE) * demandShare;
  }
}
