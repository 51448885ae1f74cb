/** Baseline of a server: the current mix of the service's other servers. */

import type { ServerId } from "@limpetford/domain/ids";

import type { DecayingHistogram } from "./decaying_histogram.ts";
import {
  HEALTHY_MIX,
  type Observation,
  type ObservationMix,
} from "./observation.ts";

// Share of the other servers, the worst ones, that a trimmed mean leaves out.
const TRIMMED_SHARE = 1 / 3;
// Factor by which the expected shares exceed the trimmed mean.
const BASELINE_MARGIN = 1.5;
const BASELINE_TTL_MS = 50;

interface CachedBaseline {
  readonly mix: ObservationMix;
  readonly computedAtMs: number;
}

/**
 * Caches the baselines of all servers for a short time.
 */
export class PeerBaselines {
  readonly #histograms: ReadonlyMap<ServerId, DecayingHistogram>;
  readonly #computeRecentMs: () => number;
  readonly #cached = new Map<ServerId, CachedBaseline>();

  /**
   * Creates an empty cache.
   *
   * @param histograms - recent observations per server; may change later
   * @param computeRecentMs - computes the time constant of their decay, in
   *   milliseconds
   */
  constructor(
    histograms: ReadonlyMap<ServerId, DecayingHistogram>,
    computeRecentMs: () => number,
  ) {
    this.#histograms = histograms;
    this.#computeRecentMs = computeRecentMs;
  }

  /**
   * Finds the baseline of a server, and computes it if the cached one expired.
   *
   * @param server - server under test, which its baseline excludes
   * @param nowMs - monotonic time in milliseconds
   * @returns class probabilities to expect of the server if it is healthy
   */
  findBaseline(server: ServerId, nowMs: number): ObservationMix {
    const known = this.#cached.get(server);
    if (known !== undefined && nowMs - known.computedAtMs < BASELINE_TTL_MS) {
      return known.mix;
    }
    const recentMs = this.#computeRecentMs();
    for (const histogram of this.#histograms.values()) {
      histogram.advance(nowMs);
      histogram.setTimeConstant(recentMs);
    }
    const mix = computePeerBaseline(this.#histograms, server);
    this.#cached.set(server, { mix, computedAtMs: nowMs });
    return mix;
  }

  /**
   * Drops the cached baseline of a server.
   *
   * @param server - server that is no longer monitored
   */
  remove(server: ServerId): void {
    this.#cached.delete(server);
  }
}

/**
 * Computes the mix to expect of a healthy server now: the trimmed mean of the
 * other servers without their worst third, never better than
 * {@link HEALTHY_MIX}. Under an overload of all servers the baseline rises with
 * them, so that no server stands out.
 *
 * @param histograms - recent observations per server
 * @param server - server under test, which is excluded
 * @returns class probabilities; their sum is 1
 */
export function computePeerBaseline(
  histograms: ReadonlyMap<ServerId, DecayingHistogram>,
  server: ServerId,
): ObservationMix {
  const others: DecayingHistogram[] = [];
  for (const [id, histogram] of histograms) {
    if (id !== server) {
      others.push(histogram);
    }
  }
  const slow = computeTrimmedShare(others, 1);
  const verySlow = computeTrimmedShare(others, 2);
  const bad = computeTrimmedShare(others, 3);
  const fast = Math.max(0.02, 1 - slow - verySlow - bad);
  const sum = fast + slow + verySlow + bad;
  return [fast / sum, slow / sum, verySlow / sum, bad / sum];
}

function computeTrimmedShare(
  others: readonly DecayingHistogram[],
  observation: Observation,
): number {
  const nominal = HEALTHY_MIX[observation];
  if (others.length === 0) {
    return nominal;
  }
  const shares = others
    .map((histogram) => histogram.estimateShare(observation))
    .sort((a, b) => a - b);
  const kept = shares.length - Math.floor(shares.length * TRIMMED_SHARE);
  let sum = 0;
  for (const share of shares.slice(0, kept)) {
    sum += share;
  }
  return Math.max(nominal, BASELINE_MARGIN * sum / kept);
}
