import { FakeClock } from "@limpetford/core/time/fake_clock";

import { RecentMaximum } from "./recent_maximum.ts";

describe("RecentMaximum", () => {
  it("keeps the largest value for one to two seconds", () => {
    const clock = new FakeClock();
    const maximum = new RecentMaximum(clock);
    expect(maximum.read()).toBe(0);
    maximum.record(30);
    maximum.record(10);
    clock.advance(1_100);
    maximum.record(5);
    expect(maximum.read()).toBe(30);
    clock.advance(1_100);
    expect(maximum.read()).toBe(5);
    clock.advance(3_000);
    expect(maximum.read()).toBe(0);
  });
});
