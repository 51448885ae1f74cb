/** Each VM's share of a team's rate and burst. */

import type { TeamId, VmId } from "@limpetford/domain/ids";

/** Share of a limit that is divided evenly, regardless of demand. */
const EVEN_SHARE = 0.3;
/** Time constant of the moving average of demand. */
const DEMAND_WINDOW_MS = 4_000;
/** A VM that has received no report for this long counts as isolated. */
const ISOLATED_AFTER_MS = 2_000;
/**
 * Greatest share of an isolated VM; the others keep using theirs. If all VMs of
 * a larger fleet are isolated, they divide the limit by their number.
 */
const MAX_ISOLATED_SHARE = 0.08;
/** Share of an isolated VM that does not know the number of VMs either. */
const UNKNOWN_FLEET_SHARE = 0.02;
/** Time for which the last report of a silent VM still counts. */
const PEER_EXPIRY_MS = 4_000;

/** Requests per second by team. */
export type TeamDemand = ReadonlyMap<TeamId, number>;

/** Exponential moving average of each team's request rate at this VM. */
export class DemandAverages {
  readonly #rates = new Map<TeamId, { rate: number; atMs: number }>();

  /**
   * Records one request.
   *
   * @param team - team that sent the request
   * @param nowMs - monotonic time
   */
  recordRequest(team: TeamId, nowMs: number): void {
    const rate = this.readRate(team, nowMs) + 1_000 / DEMAND_WINDOW_MS;
    this.#rates.set(team, { rate, atMs: nowMs });
  }

  /**
   * Reads a team's average rate.
   *
   * @param team - team whose requests to average
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
   * Lists the rates of busy teams and drops the other teams.
   *
   * @param minRate - lowest rate to list, in requests per second
   * @param nowMs - monotonic time
   * @returns rates by team
   */
  listRates(minRate: number, nowMs: number): TeamDemand {
    const rates = new Map<TeamId, number>();
    for (const team of this.#rates.keys()) {
      const rate = this.readRate(team, nowMs);
      if (rate >= minRate) {
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
  reportedAtMs: number;
}

/**
 * Computes this VM's share of each team's limit from the demand at all leaders,
 * the VMs that receive callers' requests. The shares of leaders with the same
 * view of demand add up to one, and to less while a change of demand spreads,
 * since a VM claims a share only for demand that the others count. An isolated VM falls back to a small share,
 * because other VMs may have taken over its callers.
 */
export class TeamShares {
  readonly #peers = new Map<VmId, PeerDemand>();
  /** Monotonic time of the last report of any VM. */
  #reportedAtMs = -Infinity;
  #hasPeers = false;

  /**
   * Records another VM's report of its demand.
   *
   * @param vm - VM that sent the report
   * @param demand - its demand; undefined if it is not a leader
   * @param nowMs - monotonic time
   */
  recordPeerDemand(
    vm: VmId,
    demand: TeamDemand | undefined,
    nowMs: number,
  ): void {
    this.#reportedAtMs = nowMs;
    this.#hasPeers = true;
    if (demand === undefined) {
      this.#peers.delete(vm);
    } else {
      this.#peers.set(vm, { demand, reportedAtMs: nowMs });
    }
  }

  /**
   * Records that the fleet has other VMs, even if none has reported yet. Only
   * with other VMs can this VM be isolated.
   *
   * @param hasPeers - true if other VMs exist; false changes nothing
   */
  setHasPeers(hasPeers: boolean): void {
    this.#hasPeers ||= hasPeers;
  }

  /**
   * Checks whether this VM hears of no other one although there are others.
   *
   * @param nowMs - monotonic time
   * @returns true also after the start, until the first report
   */
  isIsolated(nowMs: number): boolean {
    return this.#hasPeers && nowMs - this.#reportedAtMs > ISOLATED_AFTER_MS;
  }

  /**
   * Computes this VM's share of a team's limit.
   *
   * A leader that has not reported yet is assumed to have this VM's demand.
   *
   * @param team - team whose limit is divided
   * @param own - this VM's demand in requests per second as far as all other
   * leaders count it, and the numbers of leaders and VMs including this one
   * @param nowMs - monotonic time
   * @returns share, from 0 to 1
   */
  computeShare(
    team: TeamId,
    own: {
      readonly rate: number;
      readonly leaderCount: number;
      readonly vmCount: number;
    },
    nowMs: number,
  ): number {
    if (this.isIsolated(nowMs)) {
      return own.vmCount > 1
        ? Math.min(MAX_ISOLATED_SHARE, 1 / own.vmCount)
        : UNKNOWN_FLEET_SHARE;
    }
    let total = own.rate;
    let count = 1;
    for (const [vm, peer] of this.#peers) {
      if (nowMs - peer.reportedAtMs > PEER_EXPIRY_MS) {
        this.#peers.delete(vm);
        continue;
      }
      total += peer.demand.get(team) ?? 0;
      count += 1;
    }
    const missing = Math.max(0, own.leaderCount - count);
    total += missing * own.rate;
    count += missing;
    const demandShare = total > 0 ? own.rate / total : 1 / count;
    return EVEN_SHARE / count + (1 - EVEN_SHARE) * demandShare;
  }
}
