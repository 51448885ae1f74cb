import { decideLeaderCount } from "./leader_count.ts";

describe("decideLeadCount", () => {
  const cores = [0.5, 0.5, 0.5, 0.5];
  const cases = [
    { name: "one for little load", current: 1, rate: 60, expected: 1 },
    { name: "one for none", current: 3, rate: 0, expected: 1 },
    { name: "more for a burst", current: 1, rate: 400, expected: 3 },
    { name: "the same between the bounds", current: 2, rate: 100, expected: 2 },
    { name: "fewer after a burst", current: 3, rate: 140, expected: 2 },
    { name: "no more than there are", current: 1, rate: 9_999, expected: 4 },
  ];
  it.each(cases)("gives $name", ({ current, rate, expected }) => {
    expect(decideLeaderCount(current, rate, cores)).toBe(expected);
  });

  it("gives one even where no VM is known", () => {
    expect(decideLeaderCount(2, 100, [])).toBe(1);
  });
});
