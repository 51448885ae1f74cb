import { computeLinearFit, estimateAt } from "./linear_fit.ts";

describe("computeLinearFit", () => {
  const cases = [
    { name: "a line", values: [3, 5, 7], slope: 2, intercept: 1, r: 1 },
    { name: "a constant", values: [4, 4, 4], slope: 0, intercept: 4, r: 1 },
  ];

  it.each(cases)("fits $name", (row) => {
    const points = row.values.map((value, index) => ({
      size: index + 1,
      value,
    }));
    const fit = computeLinearFit(points);
    expect(fit).toEqual({
      slope: row.slope,
      intercept: row.intercept,
      rSquared: row.r,
    });
    expect(estimateAt(fit, 10)).toBe(row.intercept + 10 * row.slope);
  });

  it("reports a low r² for points far from a line", () => {
    const points = [1, 9, 2, 8].map((value, size) => ({ size, value }));
    expect(computeLinearFit(points).rSquared).toBeLessThan(0.5);
  });
});
