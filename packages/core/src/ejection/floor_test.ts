import {
  type ServerId,
  type ServiceId,
  toId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { BackendServer } from "@limpetford/domain/service";
import fc from "fast-check";

import { selectEjectable, sumSlots } from "./floor.ts";

const SEED = 5;

function makeServers(slots: readonly number[]): readonly BackendServer[] {
  return slots.map((count, index) => ({
    id: toId<ServerId>(`s${index}`),
    service: toId<ServiceId>("calendar"),
    zone: toId<ZoneId>("a"),
    address: { host: "127.0.0.1", port: 1 },
    slots: count,
    connections: 400,
    state: "active",
  }));
}

describe("selectLeftOut", () => {
  it.each([
    { floor: 0.6, wanted: 0, expected: 0 },
    { floor: 0.6, wanted: 3, expected: 3 },
    { floor: 0.6, wanted: 10, expected: 4 },
    { floor: 1, wanted: 10, expected: 0 },
    { floor: 0, wanted: 10, expected: 9 },
  ])("floor $floor, $wanted wanted", ({ floor, wanted, expected }) => {
    const servers = makeServers(Array.from({ length: 10 }, () => 3));
    const candidates = servers.slice(0, wanted).map((server) => server.id);
    expect(selectEjectable(servers, candidates, floor).size).toBe(expected);
  });

  it("keeps the floor and leaves out the worst first", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 8 }), { maxLength: 30 }),
        fc.array(fc.integer({ min: 0, max: 35 }), { maxLength: 60 }),
        fc.double({ min: 0, max: 1, noNaN: true }),
        (slots, order, floor) => {
          const servers = makeServers(slots);
          const candidates = order.map((index) => toId<ServerId>(`s${index}`));
          const leftOut = selectEjectable(servers, candidates, floor);
          const kept = servers.filter((server) => !leftOut.has(server.id));
          expect(sumSlots(kept)).toBeGreaterThanOrEqual(
            floor * sumSlots(servers),
          );
          const known = [...new Set(candidates)]
            .filter((id) => servers.some((server) => server.id === id));
          expect([...leftOut]).toEqual(known.slice(0, leftOut.size));
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });
});
