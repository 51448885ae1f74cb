// A request must never run twice and a shard must never have two holders,
// whatever VMs are killed or paused and whatever messages are lost or delayed.
// Each broken variant shows that the model finds the failure its rule prevents.

import { runExploration } from "./explore.ts";
import { SMALL_MODEL_BOUNDS } from "./model_bounds.ts";
import { BROKEN_VARIANTS } from "./model_rules.ts";
import { buildOwnershipModel } from "./ownership_model.ts";

const MAX_STATES = 200_000;

describe("buildOwnershipModel", () => {
  it.each(SMALL_MODEL_BOUNDS)(
    "finds no violation with $name",
    ({ vms, budget }) => {
      const model = buildOwnershipModel({ vms, budget });
      const found = runExploration(model, MAX_STATES);
      expect(found.violation).toBeUndefined();
      expect(found.isComplete).toBe(true);
    },
  );

  it.each(BROKEN_VARIANTS)(
    "finds the violation if $name",
    ({ budget, rules }) => {
      const model = buildOwnershipModel({ vms: 3, budget, rules });
      const { violation } = runExploration(model, MAX_STATES);
      expect(violation).toMatchSnapshot();
    },
  );
});
