/**
 * Guards against admitting a team above its rate and burst. That could happen when
 * a shard moves to another VM, because its holder was killed or drained, or when
 * callers use VMs that hold no tokens of the team.
 */

import { LIMIT_POLICY } from "./limit_policies.ts";
import { type LimitScenario, runLimitScenario } from "./limit_scenario.ts";

/** Tolerance of floating-point sums, in requests. */
const ROUNDING = 1e-6;

const base: LimitScenario = {
  policy: LIMIT_POLICY.grants,
  vmCount: 12,
  load: 3,
  pattern: "bursty",
  replacement: { kind: "none" },
  areCallersLed: true,
  seed: 7,
};

describe("runLimitScenario", () => {
  it.each(
    [
      ["no fault", base],
      ["killed VMs", { ...base, replacement: { kind: "killed", share: 0.25 } }],
      ["drained VMs", {
        ...base,
        replacement: { kind: "planned", share: 0.25 },
      }],
      ["many requests wait for a new holder", {
        ...base,
        vmCount: 44,
        replacement: { kind: "killed", share: 0.25 },
        seed: 1,
      }],
      ["callers that use random VMs", { ...base, areCallersLed: false }],
      ["a check at the holder for every request", {
        ...base,
        policy: LIMIT_POLICY.centralCheck,
      }],
    ] satisfies [string, LimitScenario][],
  )(
    "admits no team above its rate and burst: %s",
    async (_, scenario) => {
      const figures = await runLimitScenario(scenario);
      expect(figures.largestExcess).toBeLessThanOrEqual(ROUNDING);
      expect(figures.admitted).toBeGreaterThan(figures.idealAdmitted / 2);
    },
  );
});
