// Guards against VMs that are cut from each other and together grant more than
// the limit.

import { toId, type ZoneId } from "@limpetford/domain/ids";
import * as fc from "fast-check";

import { computeLimitShare, type ReachableVm } from "./limit_share.ts";

function buildVm(zone: number, isHeard: boolean): ReachableVm {
  return { zone: toId<ZoneId>(`z${zone}`), isHeard };
}

const OWN_ZONE = toId<ZoneId>("z0");

describe("computeLimitShare", () => {
  it.each([
    ["all heard", [true, true, true, true, true], 1],
    ["another zone cut off", [true, true, true, false, false], 2 / 3],
    ["one VM of another zone silent", [true, true, false, true, true], 1],
    ["half of its own zone cut off", [false, true, true, true, true], 5 / 6],
    ["its zone cut off", [true, false, false, false, false], 1 / 3],
    ["nobody heard", [false, false, false, false, false], 1 / 6],
  ])("is the share of what is heard: %s", (_, heard, expected) => {
    const zones = [0, 1, 1, 2, 2];
    const others = heard.map((isHeard, index) =>
      buildVm(zones[index] ?? 0, isHeard)
    );
    expect(computeLimitShare(OWN_ZONE, others)).toBeCloseTo(expected);
  });

  it("is whole for a VM that is alone", () => {
    expect(computeLimitShare(OWN_ZONE, [])).toBe(1);
  });

  it("adds up to one at most for VMs of a zone that are cut from each other", () => {
    fc.assert(fc.property(
      fc.array(fc.nat(2), { minLength: 1, maxLength: 10 }),
      fc.array(fc.nat(2), { minLength: 0, maxLength: 3 }),
      (sideOfVm, sideOfOtherZone) => {
        const sum = [...new Set(sideOfVm)].reduce((total, side) => {
          const mates = sideOfVm.map((other) => buildVm(0, other === side));
          mates.splice(sideOfVm.indexOf(side), 1);
          const others = sideOfOtherZone.map((other, index) =>
            buildVm(index + 1, other === side)
          );
          return total + computeLimitShare(OWN_ZONE, [...mates, ...others]);
        }, 0);
        expect(sum).toBeLessThanOrEqual(1 + 1e-9);
      },
    ));
  });
});
