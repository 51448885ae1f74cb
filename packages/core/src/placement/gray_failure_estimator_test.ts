import { EVIDENCE, ServerBelief } from "./gray_failure_estimator.ts";

describe("ServerBelief", () => {
  it("doubts a server after one failure where many servers are gray", () => {
    const belief = new ServerBelief(0.3, 0);
    belief.recordEvidence(EVIDENCE.failure, 0.3, 0);
    expect(belief.estimateGray(0.3, 0)).toBeGreaterThan(0.9);
    expect(belief.estimateFailure(0.3, 0)).toBeGreaterThan(0.6);
  });

  it("doubts less after one failure of a server that is known well", () => {
    const belief = new ServerBelief(0.05, 0);
    for (let count = 0; count < 10; count++) {
      belief.recordEvidence(EVIDENCE.success, 0.05, 0);
    }
    belief.recordEvidence(EVIDENCE.failure, 0.05, 0);
    expect(belief.estimateGray(0.05, 0)).toBeLessThan(0.2);
  });

  it("returns to the service's share without evidence", () => {
    const belief = new ServerBelief(0.1, 0);
    belief.recordEvidence(EVIDENCE.failure, 0.1, 0);
    expect(belief.estimateGray(0.1, 60_000)).toBeCloseTo(0.1, 3);
  });

  it("trusts a server again after a few successes", () => {
    const belief = new ServerBelief(0.3, 0);
    belief.recordEvidence(EVIDENCE.failure, 0.3, 0);
    for (let count = 0; count < 4; count++) {
      belief.recordEvidence(EVIDENCE.success, 0.3, 0);
    }
    expect(belief.estimateGray(0.3, 0)).toBeLessThan(0.3);
  });
});
