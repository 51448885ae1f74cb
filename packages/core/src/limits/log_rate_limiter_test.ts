// Guards against ordinary log lines that use up the rate limit, so that
// warnings and errors are dropped.

import { LogRateLimiter } from "./log_rate_limiter.ts";

describe("LogRateLimiter", () => {
  const options = { linesPerSecond: 10, importantShare: 0.4 };

  it("reserves tokens for important lines", () => {
    const limiter = new LogRateLimiter(options, 0);
    const taken = Array.from({ length: 20 }, () => limiter.take(false, 0));
    expect(taken.filter(Boolean)).toHaveLength(6);
    const important = Array.from({ length: 20 }, () => limiter.take(true, 0));
    expect(important.filter(Boolean)).toHaveLength(4);
  });

  it("refills at the configured rate", () => {
    const limiter = new LogRateLimiter(options, 0);
    while (limiter.take(true, 0)) {
      // Empties the bucket.
    }
    expect(limiter.take(true, 50)).toBe(false);
    expect(limiter.take(true, 200)).toBe(true);
  });
});
