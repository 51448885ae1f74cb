/** Chooses the VM that a request is forwarded to. */

import type { ZoneId } from "@limpetford/domain/ids";

import type { RandomSource } from "../time/random_source.ts";
import { REACH, type Reach } from "./vm_reach_table.ts";

/** A VM that a request may be forwarded to. */
export interface ForwardCandidate {
  readonly zone: ZoneId;
  readonly isLeader: boolean;
  /** Whether it reaches the servers that the request is for. */
  readonly reach: Reach;
}

/**
 * Chooses among the VMs that are known to reach the servers: those of the own
 * zone before others, leaders before others, and equal ones at random.
 *
 * @param candidates - available VMs
 * @param context - zone of the VM that forwards, and source of randomness
 * @returns the VM; undefined if none is known to reach the servers
 */
export function chooseForwardTarget<Candidate extends ForwardCandidate>(
  candidates: readonly Candidate[],
  context: { readonly zone: ZoneId; readonly random: RandomSource },
): Candidate | undefined {
  const confirmed = candidates.filter(({ reach }) => reach === REACH.confirmed);
  const computeRank = ({ zone, isLeader }: Candidate): number =>
    2 * Number(zone === context.zone) + Number(isLeader);
  const bestRank = Math.max(...confirmed.map(computeRank));
  const best = confirmed.filter((candidate) =>
    computeRank(candidate) === bestRank
  );
  return best[Math.floor(context.random.sampleUniform() * best.length)];
}
