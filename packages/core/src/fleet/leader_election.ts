/** Which VM of a zone takes the zone's callers. */

import type { VmId, ZoneId } from "@limpetford/domain/ids";

import { hashRendezvous } from "./rendezvous_hash.ts";

/** What is known of a VM when a lead is chosen. */
export interface LeaderCandidate {
  readonly id: VmId;
  readonly zone: ZoneId;
  /** False if it is leaving, does not answer, or cannot serve. */
  readonly isAvailable: boolean;
  /** Wall-clock time since which it takes callers; undefined if it does not. */
  readonly leaderSinceMs: number | undefined;
  /** Share of a core; larger VMs lead first. */
  readonly cores: number;
}

/**
 * Lists a zone's available VMs in the order in which they lead.
 *
 * @param zone - the zone
 * @param candidates - all VMs known
 * @returns the zone's VMs, the first lead first
 */
export function sortLeaders(
  zone: ZoneId,
  candidates: readonly LeaderCandidate[],
): readonly LeaderCandidate[] {
  return candidates.filter((candidate) =>
    candidate.zone === zone && candidate.isAvailable
  ).sort(compareCandidates);
}

/**
 * Chooses the lead of a zone: the one that has led longest, so that callers
 * move as little as possible; without one, the largest, and of equals the first
 * by a hash that every VM computes alike.
 *
 * @param zone - the zone
 * @param candidates - all VMs known
 * @returns the lead, or undefined if no VM of the zone is available
 */
export function chooseLeader(
  zone: ZoneId,
  candidates: readonly LeaderCandidate[],
): LeaderCandidate | undefined {
  let best: LeaderCandidate | undefined;
  for (const candidate of candidates) {
    if (candidate.zone !== zone || !candidate.isAvailable) {
      continue;
    }
    if (best === undefined || compareCandidates(candidate, best) < 0) {
      best = candidate;
    }
  }
  return best;
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
