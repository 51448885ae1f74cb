// Guards against a VM that wakes from a suspension of its machine and goes on
// using what has expired meanwhile: the system's monotonic clock stands still then.

import { buildEmptyConfiguration } from "../fakes/empty_configuration.ts";
import { FleetState } from "../fleet/fleet_state.ts";
import { SystemClock } from "./system_clock.ts";

describe("SystemClock", () => {
  let steadyMs: number;
  let wallMs: number;
  let clock: SystemClock;
  beforeEach(() => {
    steadyMs = 1_000;
    wallMs = 1_764_858_877_000;
    clock = new SystemClock({
      readSteadyMs: () => steadyMs,
      readWallMs: () => wallMs,
    });
  });

  it.each([
    { what: "both clocks advance", steady: 400, wall: 400, passes: 400 },
    { what: "the machine is suspended", steady: 1, wall: 4_000, passes: 4_000 },
    {
      what: "the wall clock is set back",
      steady: 50,
      wall: -9_000,
      passes: 50,
    },
    { what: "the wall clock is corrected", steady: 50, wall: 120, passes: 50 },
  ])("counts the time that passes while $what", ({ steady, wall, passes }) => {
    const beforeMs = clock.readMonotonicMs();
    steadyMs += steady;
    wallMs += wall;
    expect(clock.readMonotonicMs() - beforeMs).toBe(passes);
    expect(clock.readMonotonicMs() - beforeMs).toBe(passes);
  });

  it("never runs back when the wall clock is set forward and back", () => {
    const beforeMs = clock.readMonotonicMs();
    wallMs += 5_000;
    const forwardMs = clock.readMonotonicMs();
    wallMs -= 5_000;
    expect(clock.readMonotonicMs()).toBeGreaterThanOrEqual(forwardMs);
    expect(forwardMs).toBeGreaterThan(beforeMs);
  });

  it("lets the proof of a configuration grow old over a suspension", () => {
    const state = new FleetState(clock);
    state.applyConfiguration({
      configuration: buildEmptyConfiguration(1),
      position: { era: 0, offset: 0 },
    });
    state.recordConfigurationFreshness(clock.readMonotonicMs());
    wallMs += 5_000;
    expect(state.configurationAgeMs).toBe(5_000);
  });
});
