import { LogRateLimiter } from "./log_rate_limiter.ts";

describe("LineBudget", () => {
  const options = { linesPerSecond: 10, importantShare: 0.4 };

  it("keeps a part for the lines that matter most", () => {
    const budget = new LogRateLimiter(options, 0);
    const taken = Array.from({ length: 20 }, () => budget.take(false, 0));
    expect(taken.filter(Boolean)).toHaveLength(6);
    const important = Array.from({ length: 20 }, () => budget.take(true, 0));
    expect(important.filter(Boolean)).toHaveLength(4);
  });

  it("refills with time", () => {
    const budget = new LogRateLimiter(options, 0);
    while (budget.take(true, 0)) {
      // Empties the budget.
    }
    expect(budget.take(true, 50)).toBe(false);
    expect(budget.take(true, 200)).toBe(true);
  });
});
