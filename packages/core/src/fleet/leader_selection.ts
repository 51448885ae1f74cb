/**
 * Chooses the leaders of a zone: the VMs that receive the zone's callers. Every
 * VM applies the same deterministic rule to the VMs it knows, without a vote.
 */

import type { VmId, ZoneId } from "@limpetford/domain/ids";

import { hashRendezvous } from "./rendezvous_hash.ts";

/** A VM that can be chosen as a leader, as the choosing VM knows it. */
export interface LeaderCandidate {
  readonly id: VmId;
  readonly zone: ZoneId;
  /** False if it is leaving, does not reply, or cannot serve yet. */
  readonly isAvailable: boolean;
  /** Wall-clock time since which it is a leader; undefined if it is none. */
  readonly leaderSinceMs: number | undefined;
  /** Processor cores, also fractions of one; larger VMs are preferred. */
  readonly cores: number;
}

/**
 * Sorts a zone's available VMs by their preference as leaders.
 *
 * @param zone - availability zone whose VMs are considered
 * @param candidates - all known VMs, of any zone
 * @returns the zone's available VMs, the first leader first
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
 * Chooses the first leader of a zone: the VM that has been a leader longest, so
 * that callers move as little as possible; otherwise the largest. Ties are
 * broken by a rendezvous hash, which gives the same result on every VM.
 *
 * @param zone - availability zone whose VMs are considered
 * @param candidates - all known VMs, of any zone
 * @returns the first leader, or undefined if no VM of the zone is available
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
