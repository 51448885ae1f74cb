/** Rows of the capacity report, stored in docs/capacity.json. */

import type { CapacityProbe, ProbeDescription } from "./capacity_probe.ts";
import {
  computeLinearFit,
  estimateAt,
  type LinearFit,
  type Point,
} from "./linear_fit.ts";

/** Measured points, their linear fit and the value at the target size. */
export interface CapacityRow extends ProbeDescription {
  readonly points: readonly Point[];
  readonly fit: LinearFit;
  /** Value of the fitted line at the target size. */
  readonly atTarget: number;
  /** `atTarget` divided by the limit; undefined without a limit. */
  readonly ratio: number | undefined;
}

/**
 * Runs a probe at all its sizes and extrapolates to the target size.
 *
 * @param probe - probe to run
 * @returns row with description, points and fit
 */
export async function measureRow(probe: CapacityProbe): Promise<CapacityRow> {
  const points = await probe.measureAll();
  const fit = computeLinearFit(points);
  const { description } = probe;
  const atTarget = estimateAt(fit, description.targetSize);
  const ratio = description.limit === undefined
    ? undefined
    : atTarget / description.limit;
  return { ...description, points, fit, atTarget, ratio };
}
