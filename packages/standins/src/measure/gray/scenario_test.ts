import { readdirSync } from "node:fs";
import { join } from "node:path";

import { LimpetfordPolicy } from "./limpetford_policy.ts";
import { loadScenario, parseScenario } from "./scenario.ts";
import { runScenario } from "./scenario_run.ts";

const SCENARIO_DIRECTORY = join(__dirname, "../../../scenarios");

describe("parseScenario", () => {
  it.each(
    readdirSync(SCENARIO_DIRECTORY).filter((name) => name.endsWith(".yaml")),
  )("accepts %s", (name) => {
    expect(() => loadScenario(join(SCENARIO_DIRECTORY, name))).not.toThrow();
  });

  it.each([
    ["an unknown fault", "{ name: x, durationMs: 1, faults: [{ kind: odd }] }"],
    ["no duration", "{ name: x, faults: [] }"],
    ["an unknown field", "{ name: x, durationMs: 1, faults: [], odd: 1 }"],
    [
      "a share above 1",
      "{ name: x, durationMs: 1, faults: " +
      "[{ kind: fail, share: 2, onsetMs: 0 }] }",
    ],
  ])("rejects %s", (_name, text) => {
    expect(() => parseScenario(text)).toThrow();
  });
});

// Guards against ejections below the floor and retries beyond the budget when
// faults, a zone cut or overload hit most of a service at once. Each run must
// also be reproducible from its seed.
describe("runScenario", () => {
  const seeds = [1, 2, 3];

  it.each([
    "fail_all",
    "zone_cut",
    "floor_under_attack",
    "slow_and_overload",
  ])("keeps floor and retry budget in %s, reproducibly", (name) => {
    const scenario = loadScenario(join(SCENARIO_DIRECTORY, `${name}.yaml`));
    for (const seed of seeds) {
      const run = () =>
        runScenario({
          scenario,
          site: "brazos-calendar",
          seed,
          createPolicy: (environment) => new LimpetfordPolicy(environment),
        });
      const result = run();
      expect(result.leastCapacity).toBeGreaterThanOrEqual(scenario.floor);
      expect(result.extraAttempts)
        .toBeLessThanOrEqual(0.1 * result.firstAttempts);
      if (seed === 1) {
        expect(run()).toEqual(result);
      }
    }
  });
});
