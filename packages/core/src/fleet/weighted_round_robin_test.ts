import { type ServiceId, toId } from "@limpetford/domain/ids";

import { WeightedRoundRobin } from "./weighted_round_robin.ts";

describe("WeightedRotation", () => {
  it("gives each service its share to within one request", () => {
    const rotation = new WeightedRoundRobin([
      { service: toId<ServiceId>("a"), weight: 90 },
      { service: toId<ServiceId>("b"), weight: 10 },
    ]);
    let count = 0;
    for (let taken = 1; taken <= 500; taken++) {
      count += rotation.takeNext() === "b" ? 1 : 0;
      expect(Math.abs(count - taken / 10)).toBeLessThanOrEqual(1);
    }
  });

  it("gives a service of weight 0 nothing", () => {
    const rotation = new WeightedRoundRobin([
      { service: toId<ServiceId>("a"), weight: 1 },
      { service: toId<ServiceId>("b"), weight: 0 },
    ]);
    const taken = Array.from({ length: 20 }, () => rotation.takeNext());
    expect(new Set(taken)).toEqual(new Set(["a"]));
  });
});
