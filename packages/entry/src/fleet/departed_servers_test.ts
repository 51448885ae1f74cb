import {
  DepartureDrill,
  type DepartureDrillOptions,
} from "../fakes/departure_drill.ts";

const SEEDS = Array.from({ length: 20 }, (_, seed) => seed);

// Guards against requests to servers that have left: a VM that was late to read of
// it, or one that the store refused, kept them in use at the whole fleet.
describe.each([2_000, 3_000])(
  "a fleet that must not use a server %i ms after it has left",
  (drainMs) => {
    function listViolations(
      trouble: DepartureDrillOptions["trouble"],
    ): readonly string[] {
      return SEEDS.flatMap((seed) => {
        const drill = new DepartureDrill({ seed, drainMs, trouble });
        drill.run();
        const { size } = drill.violations;
        const [first = ""] = drill.violations;
        return size === 0 ? [] : [`seed ${seed}: ${size}, first ${first}`];
      });
    }

    it("keeps to it while leaders stop and followers read late", () => {
      expect(listViolations("leaders-stop")).toEqual([]);
    });

    it("keeps to it while the store refuses some VMs", () => {
      expect(listViolations("store-refuses")).toEqual([]);
    });
  },
);
