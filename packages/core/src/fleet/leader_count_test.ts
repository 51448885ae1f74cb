import { decideLeaderCount, estimateLeaderLoad } from "./leader_count.ts";

describe("decideLeaderCount", () => {
  const cores = [0.5, 0.5, 0.5, 0.5];
  const cases = [
    { name: "one for a low load", current: 1, rate: 60, expected: 1 },
    { name: "one for no load", current: 3, rate: 0, expected: 1 },
    { name: "more for a burst", current: 1, rate: 400, expected: 3 },
    { name: "the same within hysteresis", current: 2, rate: 100, expected: 2 },
    { name: "fewer after a burst", current: 3, rate: 140, expected: 2 },
    { name: "no more than the VMs", current: 1, rate: 9_999, expected: 4 },
  ];
  it.each(cases)("gives $name", ({ current, rate, expected }) => {
    expect(decideLeaderCount(current, rate, cores)).toBe(expected);
  });

  it("gives one even if no VM is known", () => {
    expect(decideLeaderCount(2, 100, [])).toBe(1);
  });
});

describe("estimateLeaderLoad", () => {
  const cases = [
    { name: "in time", rate: 120, delayMs: 20, queueMs: 0, expected: 120 },
    {
      name: "behind with few requests",
      rate: 30,
      delayMs: 600,
      queueMs: 0,
      expected: 30,
    },
    { name: "behind", rate: 120, delayMs: 600, queueMs: 0, expected: 165 },
    {
      name: "behind above its capacity",
      rate: 400,
      delayMs: 600,
      queueMs: 0,
      expected: 400,
    },
    {
      name: "that reads few requests, while others wait to be accepted",
      rate: 20,
      delayMs: 400,
      queueMs: 400,
      expected: 165,
    },
  ];
  it.each(cases)(
    "of a leader $name",
    ({ rate, delayMs, queueMs, expected }) => {
      const load = { requestsPerSecond: rate, cores: 0.5, delayMs, queueMs };
      expect(estimateLeaderLoad(load)).toBeCloseTo(expected);
    },
  );

  // Guards against a leader that falls behind while the VMs of its zone rest.
  it("adds a leader while one is behind below its nominal capacity", () => {
    const cores = [0.5, 0.5, 0.5];
    const load = {
      requestsPerSecond: 120,
      cores: 0.5,
      delayMs: 600,
      queueMs: 0,
    };
    expect(decideLeaderCount(1, load.requestsPerSecond, cores)).toBe(1);
    expect(decideLeaderCount(1, estimateLeaderLoad(load), cores)).toBe(2);
    const both = 2 * estimateLeaderLoad(load);
    expect(decideLeaderCount(2, both, cores)).toBe(3);
  });
});
