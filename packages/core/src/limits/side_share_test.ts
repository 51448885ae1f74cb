// Guards against a leader that grants what silent VMs of its zone may grant.

import * as fc from "fast-check";

import { computeSideShare } from "./side_share.ts";

describe("computeSideShare", () => {
  it("is the whole share while all VMs of the zone hear the leader", () => {
    const contacts = { zoneVms: 4, silentVms: 0, fleetVms: 12 };
    expect(computeSideShare(1 / 3, contacts)).toBe(1 / 3);
  });

  it("leaves an even part to each silent VM", () => {
    fc.assert(fc.property(
      fc.double({ min: 0, max: 1, noNaN: true }),
      fc.integer({ min: 1, max: 15 }),
      fc.nat(14),
      (share, zoneVms, silent) => {
        const silentVms = Math.min(silent, zoneVms - 1);
        const fleetVms = zoneVms * 3;
        const side = computeSideShare(share, { zoneVms, silentVms, fleetVms });
        expect(side).toBeGreaterThanOrEqual(0);
        expect(side).toBeLessThanOrEqual(
          Math.max(0, share - silentVms / fleetVms),
        );
      },
    ));
  });

  it("divides one leader's share between two sides of its zone", () => {
    fc.assert(fc.property(
      fc.double({ min: 0, max: 1, noNaN: true }),
      fc.integer({ min: 2, max: 15 }),
      fc.integer({ min: 1, max: 14 }),
      (share, zoneVms, other) => {
        const silentVms = Math.min(other, zoneVms - 1);
        const sum = [silentVms, zoneVms - silentVms].reduce(
          (total, each) =>
            total + computeSideShare(share, {
              zoneVms,
              silentVms: each,
              fleetVms: zoneVms * 3,
            }),
          0,
        );
        expect(sum).toBeLessThanOrEqual(share + 1e-9);
      },
    ));
  });
});
