import { QueueWaitEstimator } from "./queue_wait_estimator.ts";

describe("QueueWaitEstimator", () => {
  let estimator: QueueWaitEstimator;
  beforeEach(() => {
    estimator = new QueueWaitEstimator();
  });

  it("follows the time that entries take", () => {
    const estimates = [0, 10, 50, 200].map((count) => {
      estimator.reset();
      for (let step = 0; step < count; step++) {
        estimator.record(20);
      }
      return Math.round(estimator.estimateMs(100));
    });
    expect(estimates).toEqual([100, 1_500, 1_917, 1_997]);
  });

  it("lets those wait that have half of their time left for being served", () => {
    expect([0, 500, 501].map((ahead) => estimator.mayWait(ahead, 1_000)))
      .toEqual([true, true, false]);
    expect(estimator.mayWait(1, 0)).toBe(false);
  });
});
