// The tokens that the holder and all other VMs spend together must stay within
// rate and burst when the shard is taken over and replies are lost or slow. The
// broken variants show that the model finds the violations.

import { runExploration } from "./explore.ts";
import { BROKEN_GRANT_VARIANTS, buildGrantModel } from "./grant_model.ts";

const MAX_STATES = 200_000;

describe("buildGrantModel", () => {
  it("never exceeds rate and burst across one takeover", () => {
    const found = runExploration(buildGrantModel(1), MAX_STATES);
    expect(found.violation).toBeUndefined();
    expect(found.isComplete).toBe(true);
  });

  it.each(BROKEN_GRANT_VARIANTS)(
    "finds the violation if $name",
    ({ rules }) => {
      const found = runExploration(buildGrantModel(1, rules), MAX_STATES);
      expect(found.violation).toBeDefined();
      expect(found.violation).toMatchSnapshot();
    },
  );
});
