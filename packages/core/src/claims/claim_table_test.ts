import { type TeamId, toId } from "@limpetford/domain/ids";

import type { ClaimItem } from "./claim_record.ts";
import { ClaimTable } from "./claim_table.ts";

const RETENTION_MS = 1_000;
const ANSWER_BYTES = 10_000;
const TEAM = toId<TeamId>("sur");

function makeTable(): ClaimTable {
  return new ClaimTable({
    retentionMs: RETENTION_MS,
    answerBytes: ANSWER_BYTES,
  });
}

function makeItems(index: number, body: string): readonly ClaimItem[] {
  const names = {
    claimId: `claim-${index}`,
    team: TEAM,
    idempotencyKey: `key\t${index}`,
  };
  return [
    {
      kind: "claimed",
      ...names,
      fingerprint: "f",
      claimedAtMs: index,
      supersedes: undefined,
    },
    {
      kind: "settled",
      ...names,
      outcome: {
        kind: "answered",
        answer: { status: 201, headers: [["x", "y"]], body },
      },
    },
  ];
}

function makeNotRun({ claimId, team, idempotencyKey }: ClaimItem): ClaimItem {
  const outcome = { kind: "not-run" } as const;
  return { kind: "settled", claimId, team, idempotencyKey, outcome };
}

function decide(table: ClaimTable, index: number): unknown {
  return table.decide({
    key: { team: TEAM, idempotencyKey: `key\t${index}` },
    fingerprint: "f",
    isRunningHere: () => false,
    mayMissClaims: false,
    windowMs: undefined,
    nowMs: 0,
  });
}

// A checkpoint that loses a claim, or an eviction that drops a key with its
// response, would let a retry execute a request a second time.
describe("ClaimTable", () => {
  it("lists the items from which an equal table can be built", () => {
    const table = makeTable();
    makeItems(1, "Ym9keQ==").forEach((item) => {
      table.apply(item);
    });
    const copy = makeTable();
    for (const item of table.listItems()) {
      copy.apply(item);
      copy.apply(item);
    }
    expect(copy.listItems()).toEqual(table.listItems());
    expect(decide(copy, 1)).toMatchSnapshot();
  });

  it("keeps the keys of responses evicted by the memory limit", () => {
    const table = makeTable();
    const count = 100;
    for (let index = 0; index < count; index += 1) {
      makeItems(index, "Ym9keQ==").forEach((item) => {
        table.apply(item);
      });
    }
    expect(table.size).toBe(count);
    expect(decide(table, 0)).toMatchObject({
      kind: "ended",
      outcome: { kind: "answered-not-kept" },
    });
    expect(decide(table, count - 1)).toMatchObject({
      kind: "ended",
      outcome: { kind: "answered", answer: { status: 201 } },
    });
  });

  it("drops keys when their retention ends", () => {
    const table = makeTable();
    makeItems(1, "").forEach((item) => {
      table.apply(item);
    });
    table.expire(RETENTION_MS);
    expect(table.size).toBe(1);
    table.expire(RETENTION_MS + 1);
    expect(table.size).toBe(0);
  });

  // The log brings a claim again, seconds after its end became known here.
  it.each([
    ["after", ["claimed", "not-run", "claimed"]],
    ["before", ["not-run", "claimed"]],
  ])("frees a key that did not run, known %s its claim", (_, order) => {
    const table = makeTable();
    const [claimed, settled] = makeItems(1, "");
    for (const kind of order) {
      const item = kind === "claimed" ? claimed : settled;
      if (item !== undefined) {
        table.apply(kind === "claimed" ? item : makeNotRun(item));
      }
    }
    expect(decide(table, 1)).toEqual({ kind: "claim", supersedes: undefined });
    expect(table.size).toBe(0);
  });

  it("keeps another claim of a key of which one claim did not run", () => {
    const table = makeTable();
    const [claimed, settled] = makeItems(1, "");
    if (claimed !== undefined && settled !== undefined) {
      table.apply(claimed);
      table.apply({ ...claimed, claimId: "other" });
      table.apply(makeNotRun(settled));
      table.apply(claimed);
    }
    expect(decide(table, 1)).toEqual({ kind: "outcome-unknown" });
  });
});
