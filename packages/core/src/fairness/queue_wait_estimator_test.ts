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

  it.each([
    { timeLeftMs: 1_000, lostMs: 0, longest: 500 },
    { timeLeftMs: 700, lostMs: 300, longest: 200 },
    { timeLeftMs: 400, lostMs: 600, longest: -1 },
    { timeLeftMs: 0, lostMs: 0, longest: 0 },
    { timeLeftMs: Infinity, lostMs: Infinity, longest: 999 },
  ])("lets an entry wait for half of its time: %j", ({ longest, ...time }) => {
    const allowed = Array.from({ length: 1_000 }, (_, ahead) => ahead)
      .filter((ahead) => estimator.mayWait(ahead, time));
    expect(allowed).toHaveLength(longest + 1);
  });
});
