import { buildBundle } from "../fleet/bundle.ts";
import { ProcessSoak } from "./process_soak.ts";

// More seeds: npm run soak:processes -- --seed 1 --runs 50
const SEEDS = [1, 2, 3];
const LENGTH_MS = 8_000;

// Guards against duplicate, lost or mixed-up requests and against missing
// recovery when processes, links, the store and backend servers fail at random.
describe("a fleet of processes under random faults", () => {
  beforeAll(() => {
    buildBundle();
  });

  it.each(SEEDS)("violates no invariant, seed %i", async (seed) => {
    const result = await new ProcessSoak({ seed, lengthMs: LENGTH_MS }).run();
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  });
});
