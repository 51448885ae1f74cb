/** Least-squares line through measured points. */

/** Measured value at one size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** Least-squares line and its goodness of fit. */
export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination; 1 if all points lie on the line. */
  readonly rSquared: number;
}

/**
 * Computes the least-squares line through points.
 *
 * @param points - at least two points of different sizes
 * @returns slope, intercept and coefficient of determination
 */
export function computeLinearFit(points: readonly Point[]): LinearFit {
  const meanSize = computeMean(points.map((point) => point.size));
  const meanValue = computeMean(points.map((point) => point.value));
  let covariance = 0;
  let sizeVariance = 0;
  let valueVariance = 0;
  for (const point of points) {
    const sizeDelta = point.size - meanSize;
    const valueDelta = point.value - meanValue;
    covariance += sizeDelta * valueDelta;
    sizeVariance += sizeDelta * sizeDelta;
    valueVariance += valueDelta * valueDelta;
  }
  const slope = sizeVariance === 0 ? 0 : covariance / sizeVariance;
  const intercept = meanValue - slope * meanSize;
  const explained = slope * covariance;
  const rSquared = valueVariance === 0 ? 1 : explained / valueVariance;
  return { slope, intercept, rSquared };
}

/**
 * Extrapolates the value at a size that was not measured.
 *
 * @param fit - fitted line
 * @param size - size in the unit of the fitted points
 * @returns value of the line at the size
 */
export function estimateAt(fit: LinearFit, size: number): number {
  return fit.intercept + fit.slope * size;
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
