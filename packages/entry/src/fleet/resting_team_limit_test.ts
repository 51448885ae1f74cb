// Guards against many leaders that each keep a token of a team that rests, however
// small its limit.

import { FakeClock } from "@limpetford/core/time/fake_clock";

import { LIMITED_TEAM, startLimiters } from "../fakes/limiter_fleet.ts";

const LIMIT = { ratePerSecond: 1, burst: 1, tolerance: 20 };
const WINDOW_MS = 5_000;
const STEP_MS = 100;
const REST_MS = 100_000;
const ALLOWED = (LIMIT.ratePerSecond * WINDOW_MS / 1_000 + LIMIT.burst) * 1.1 +
  LIMIT.tolerance;

it.each([24, 44])(
  "%i leaders keep the limit of a team that has rested",
  (vms) => {
    const clock = new FakeClock();
    const sides = startLimiters(clock, {
      ...LIMIT,
      vms,
      listed: vms,
      hasOwnZones: true,
    });
    const takeAll = (): number =>
      sides.filter(({ limiter }) =>
        limiter.handleTokenRequest({ team: LIMITED_TEAM }).isGranted
      ).length;
    takeAll();
    clock.advance(REST_MS);
    let granted = 0;
    for (let atMs = 0; atMs < WINDOW_MS; atMs += STEP_MS) {
      granted += takeAll();
      clock.advance(STEP_MS);
    }
    expect(granted).toBeLessThanOrEqual(ALLOWED);
  },
);
