/** Log-likelihood ratio of a gray alternative over the baseline. */

import {
  type GrayAlternative,
  type ObservationMix,
  OBSERVATIONS,
} from "./observation.ts";

// Minimum ratio of the alternative's fault probability to the baseline's.
const MIN_CONTRAST = 3;
// Above this baseline fault probability, slowness is taken for overload.
const MAX_BASELINE_FAULT_SHARE_FOR_LATENCY = 0.12;

/**
 * Computes how much better a gray alternative explains observations than the
 * baseline does. An alternative whose faults are close to the baseline's can't
 * be told from it: then all servers of the service are affected alike.
 *
 * @param counts - observations per class
 * @param mixes - class probabilities of a gray server, and of a server as
 *   healthy as the service's other servers
 * @returns log-likelihood ratio, positive in favor of gray; undefined if the
 *   alternative can't be told from the baseline or the service is overloaded
 */
export function computeLogLikelihoodRatio(
  counts: ObservationMix,
  mixes: {
    readonly alternative: GrayAlternative;
    readonly baseline: ObservationMix;
  },
): number | undefined {
  const { baseline } = mixes;
  const { mix: alternative, isLatency } = mixes.alternative;
  const alternativeFaults = alternative[2] + alternative[3];
  const baselineFaults = baseline[2] + baseline[3];
  const hasContrast = alternativeFaults >= MIN_CONTRAST * baselineFaults;
  const isOverload = isLatency &&
    baselineFaults > MAX_BASELINE_FAULT_SHARE_FOR_LATENCY;
  if (!hasContrast || isOverload) {
    return undefined;
  }
  let sum = 0;
  for (const observation of OBSERVATIONS) {
    const ratio = alternative[observation] / baseline[observation];
    sum += counts[observation] * Math.log(ratio);
  }
  return sum;
}
