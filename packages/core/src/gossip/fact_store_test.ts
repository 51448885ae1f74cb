import {
  type KeyHash,
  type ShardId,
  toId,
  type VmId,
} from "@limpetford/domain/ids";
import type { MonotoneFact } from "@limpetford/domain/monotone_fact";
import fc from "fast-check";

import { FactStore } from "./fact_store.ts";

const SEED = 42;

function makeOwnership(epoch: number): MonotoneFact {
  return {
    kind: "shard-ownership",
    shard: toId<ShardId>(1),
    epoch,
    holder: { vm: toId<VmId>(`vm-${epoch}`), startedAtMs: 1 },
    standby: undefined,
  };
}

const arbitraryFact: fc.Arbitrary<MonotoneFact> = fc.oneof(
  fc.nat(5).map(makeOwnership),
  fc.nat(3).map((digit): MonotoneFact => ({
    kind: "key-withdrawn",
    key: toId<KeyHash>(String(digit)),
  })),
  fc.nat(4).map((generation): MonotoneFact => ({
    kind: "request-quarantined",
    fingerprint: "f",
    generation,
    isLifted: generation % 2 === 0,
  })),
);

// Gossip delivers facts in any order and more than once. If the result depended
// on either, VMs would never agree on the facts.
describe("FactStore", () => {
  it("reaches the same facts in any order, however often they arrive", () => {
    fc.assert(
      fc.property(
        fc.array(arbitraryFact).chain((facts) =>
          fc.tuple(
            fc.constant(facts),
            fc.shuffledSubarray([...facts, ...facts], {
              minLength: facts.length * 2,
            }),
          )
        ),
        ([facts, shuffled]) => {
          const a = new FactStore();
          const b = new FactStore();
          facts.forEach((fact) => a.merge(fact));
          shuffled.forEach((fact) => b.merge(fact));
          expect(new Set(b.listFacts())).toEqual(new Set(a.listFacts()));
        },
      ),
      { seed: SEED },
    );
  });

  it("notifies a listener of known facts, then of each new fact once", () => {
    const store = new FactStore();
    const heard: MonotoneFact[] = [];
    store.publish(makeOwnership(1));
    store.subscribe((fact) => heard.push(fact));
    store.publish(makeOwnership(2));
    store.publish(makeOwnership(1));
    store.publish(makeOwnership(2));
    expect(heard).toEqual([makeOwnership(1), makeOwnership(2)]);
  });
});
