import { type RouteId, toId } from "@limpetford/domain/ids";

import { LongestDurations } from "./longest_durations.ts";

const ROUTE = toId<RouteId>("read");

function recordTen(durations: LongestDurations, atMs: number): void {
  for (let count = 1; count <= 10; count++) {
    durations.record(ROUTE, count * 100, atMs);
  }
}

describe("LongestDurations", () => {
  it("knows nothing of a route with few requests", () => {
    const durations = new LongestDurations();
    expect(durations.find(ROUTE, 0)).toBeUndefined();
    durations.record(ROUTE, 500, 0);
    expect(durations.find(ROUTE, 0)).toBeUndefined();
  });

  it.each([
    { ageMs: 0, expected: 1_000 },
    { ageMs: 9_999, expected: 1_000 },
    { ageMs: 15_000, expected: 1_000 },
    { ageMs: 20_000, expected: undefined },
  ])("keeps the longest for a while: $ageMs ms", ({ ageMs, expected }) => {
    const durations = new LongestDurations();
    recordTen(durations, 0);
    expect(durations.find(ROUTE, ageMs)).toBe(expected);
  });

  it("forgets a long one once newer requests are shorter", () => {
    const durations = new LongestDurations();
    recordTen(durations, 0);
    for (let atMs = 10_000; atMs < 31_000; atMs += 1_000) {
      durations.record(ROUTE, 50, atMs);
    }
    expect(durations.find(ROUTE, 31_000)).toBe(50);
  });
});
