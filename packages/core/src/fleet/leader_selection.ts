/**
 * Chooses the leaders of a zone: the VMs that receive the zone's callers. Every
 * VM applies the same deterministic rule to the VMs it knows, without a vote.
 */

import type { VmId, ZoneId } from "@limpetford/domain/ids";

import { REACH, type Reach } from "../reach/vm_reach_table.ts";
import { hashRendezvous } from "./rendezvous_hash.ts";

/**
 * A leader with less than this share of another one's cores makes way for it. Callers
 * are not moved for a smaller difference.
 */
const SMALL_SHARE = 1 / 2;

/** A VM that can be chosen as a leader, as the choosing VM knows it. */
export interface LeaderCandidate {
  readonly id: VmId;
  readonly zone: ZoneId;
  /** False if it is leaving, does not reply, or cannot serve yet. */
  readonly isAvailable: boolean;
  /** Wall-clock time since which it is a leader; undefined if it is none. */
  readonly leaderSinceMs: number | undefined;
  /** Whether it reaches the backend servers. */
  readonly reach: Reach;
  /** Processor cores, also fractions of one; larger VMs are preferred. */
  readonly cores: number;
  /**
   * True if it may take over from leaders that are much smaller. Only the choosing
   * VM may, since it knows of itself that it runs; others follow once it claims.
   */
  readonly mayTakeOver: boolean;
}

/**
 * Sorts a zone's available VMs by their preference as leaders. While one of them
 * has lost its links to backend servers, those come first that are known to have
 * theirs; if none is, the fault is likely the servers', and the order stays.
 *
 * @param zone - availability zone whose VMs are considered
 * @param candidates - all known VMs, of any zone
 * @returns the zone's available VMs, the first leader first
 */
export function sortLeaders(
  zone: ZoneId,
  candidates: readonly LeaderCandidate[],
): readonly LeaderCandidate[] {
  const available = candidates.filter((candidate) =>
    candidate.zone === zone && candidate.isAvailable
  ).sort(compareCandidates);
  const sorted = selectLargeFirst(available);
  const isLinkFailure = sorted.some(({ reach }) => reach === REACH.lost) &&
    sorted.some(({ reach }) => reach === REACH.confirmed);
  return isLinkFailure
    ? [
      ...sorted.filter(mayServeCallers),
      ...sorted.filter((candidate) => !mayServeCallers(candidate)),
    ]
    : sorted;
}

/**
 * Chooses the first leader of a zone: the VM that has been a leader longest, so
 * that callers move as little as possible; otherwise the largest. A small VM that
 * led while the large ones were away makes way for them. Ties are broken by a
 * rendezvous hash, which gives the same result on every VM.
 *
 * @param zone - availability zone whose VMs are considered
 * @param candidates - all known VMs, of any zone
 * @returns the first leader, or undefined if no VM of the zone is available
 */
export function chooseLeader(
  zone: ZoneId,
  candidates: readonly LeaderCandidate[],
): LeaderCandidate | undefined {
  return sortLeaders(zone, candidates)[0];
}

// Puts leaders, and the VM that may take over, before leaders that are much smaller.
function selectLargeFirst(
  sorted: readonly LeaderCandidate[],
): readonly LeaderCandidate[] {
  const running = sorted.filter(({ leaderSinceMs, mayTakeOver }) =>
    leaderSinceMs !== undefined || mayTakeOver
  );
  const minimum = SMALL_SHARE * Math.max(...running.map(({ cores }) => cores));
  const large = running.filter(({ cores }) => cores >= minimum);
  const hasSmallLeader = sorted.some(({ leaderSinceMs, cores }) =>
    leaderSinceMs !== undefined && cores < minimum
  );
  return hasSmallLeader ? [...new Set([...large, ...sorted])] : sorted;
}

// A leader is trusted until it says that it has lost a service, others only once
// they are known to reach all.
function mayServeCallers({ reach, leaderSinceMs }: LeaderCandidate): boolean {
  return reach === REACH.confirmed ||
    (reach === REACH.unknown && leaderSinceMs !== undefined);
}

function compareCandidates(a: LeaderCandidate, b: LeaderCandidate): number {
  const bySeniority = compareSince(a.leaderSinceMs, b.leaderSinceMs);
  return bySeniority !== 0
    ? bySeniority
    : a.cores !== b.cores
    ? b.cores - a.cores
    : hashRendezvous(b.zone, b.id) - hashRendezvous(a.zone, a.id);
}

function compareSince(a: number | undefined, b: number | undefined): number {
  if (a === undefined || b === undefined) {
    return Number(a === undefined) - Number(b === undefined);
  }
  return a - b;
}
