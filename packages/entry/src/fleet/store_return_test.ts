import * as fc from "fast-check";

import { type DrillStep, SimulatedDrill } from "../fakes/simulated_drill.ts";

const step: fc.Arbitrary<DrillStep> = fc.constantFrom(
  "publish",
  "publish",
  "copy",
  "return",
  "return",
  "away",
  "join",
  "leave",
  "die",
  "restart",
  "cut",
  "none",
  "none",
);

// Guards against a fleet that follows an older copy of the store, or no store at
// all, after a return: older versions in force, withdrawn keys, servers that are
// gone, reads without a pause.
describe("a fleet whose store returns from older copies", () => {
  it("keeps the newest of what it was told, and follows what is new", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 1_000_000 }),
        fc.array(step, { minLength: 5, maxLength: 30 }),
        (seed, steps) => {
          const drill = new SimulatedDrill(seed);
          steps.forEach((one) => {
            drill.run(one);
          });
          drill.settle();
          expect(drill.violations).toEqual([]);
        },
      ),
      { seed: 20, numRuns: 300 },
    );
  }, 240_000);

  it("accepts keys all the while if the store was away for 1.8 s", () => {
    const drill = new SimulatedDrill(1);
    expect(drill.countRefusalsAround(1_800)).toBe(0);
    expect(drill.violations).toEqual([]);
  });
});
