import fc from "fast-check";

import { VersionedTable } from "./versioned_table.ts";

const SEED = 7;
const RUNS = 300;

interface Step {
  readonly kind: "put" | "remove";
  readonly id: string;
}

const steps = fc.array(
  fc.record<Step>({
    kind: fc.constantFrom("put", "put", "remove"),
    id: fc.integer({ min: 0, max: 90 }).map(String),
  }),
  { maxLength: 200 },
);

// Versions share their base. A draft that modified it, or a wrong merge of the
// overlay, would change versions that are still in use.
describe("VersionedTable", () => {
  it("equals a Map after any sequence of drafts and keeps old versions unchanged", () => {
    fc.assert(
      fc.property(fc.array(steps, { maxLength: 6 }), (drafts) => {
        const expected = new Map<string, number>();
        let table = new VersionedTable<string, number>(new Map());
        let counter = 0;
        for (const draftSteps of drafts) {
          const before = new Map(expected);
          const old = table;
          const draft = table.begin();
          for (const step of draftSteps) {
            counter += 1;
            if (step.kind === "put") {
              draft.put(step.id, counter);
              expected.set(step.id, counter);
            } else {
              expect(draft.remove(step.id)).toBe(expected.delete(step.id));
            }
          }
          table = draft.complete();
          expect([...old.list()].sort()).toEqual([...before.values()].sort());
        }
        expect([...table.list()].sort()).toEqual([...expected.values()].sort());
        for (let id = 0; id <= 90; id += 1) {
          expect(table.find(String(id))).toBe(expected.get(String(id)));
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("returns the same table if nothing changed", () => {
    const table = new VersionedTable(new Map([["a", 1]]));
    expect(table.begin().complete()).toBe(table);
  });
});
