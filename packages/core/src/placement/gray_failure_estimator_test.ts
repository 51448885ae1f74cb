import { EVIDENCE, GrayFailureEstimator } from "./gray_failure_estimator.ts";

describe("GrayFailureEstimator", () => {
  it("suspects a server after one failure where many servers are gray", () => {
    const estimator = new GrayFailureEstimator(0.3, 0);
    estimator.recordEvidence(EVIDENCE.failure, 0.3, 0);
    expect(estimator.estimateGrayProbability(0.3, 0)).toBeGreaterThan(0.9);
    expect(estimator.estimateFailureProbability(0.3, 0)).toBeGreaterThan(0.6);
  });

  it("suspects less after one failure that follows many successes", () => {
    const estimator = new GrayFailureEstimator(0.05, 0);
    for (let count = 0; count < 10; count++) {
      estimator.recordEvidence(EVIDENCE.success, 0.05, 0);
    }
    estimator.recordEvidence(EVIDENCE.failure, 0.05, 0);
    expect(estimator.estimateGrayProbability(0.05, 0)).toBeLessThan(0.2);
  });

  it("decays to the service's gray share without outcomes", () => {
    const estimator = new GrayFailureEstimator(0.1, 0);
    estimator.recordEvidence(EVIDENCE.failure, 0.1, 0);
    expect(estimator.estimateGrayProbability(0.1, 60_000)).toBeCloseTo(0.1, 3);
  });

  it("falls below the prior again after a few successes", () => {
    const estimator = new GrayFailureEstimator(0.3, 0);
    estimator.recordEvidence(EVIDENCE.failure, 0.3, 0);
    for (let count = 0; count < 4; count++) {
      estimator.recordEvidence(EVIDENCE.success, 0.3, 0);
    }
    expect(estimator.estimateGrayProbability(0.3, 0)).toBeLessThan(0.3);
  });
});
