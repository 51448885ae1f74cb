import { ContactSchedule } from "./contact_schedule.ts";

describe("ContactSchedule", () => {
  let schedule: ContactSchedule;
  beforeEach(() => {
    schedule = new ContactSchedule();
  });

  function listCalls(silent: readonly string[], forMs: number): string[] {
    const calls: string[] = [];
    for (let nowMs = 0; nowMs < forMs; nowMs += 50) {
      const address = schedule.pickDue(silent, nowMs);
      if (address !== undefined) {
        calls.push(`${address}@${nowMs}`);
      }
    }
    return calls;
  }

  it("calls each silent address once at first", () => {
    expect(listCalls(["a", "b"], 450)).toEqual(["a@0", "b@50"]);
  });

  it("lengthens the pauses up to a maximum", () => {
    expect(listCalls(["a"], 20_000)).toMatchInlineSnapshot(`
[
  "a@0",
  "a@500",
  "a@1500",
  "a@3500",
  "a@7500",
  "a@12500",
  "a@17500",
]
`);
  });

  it("starts anew after an address was heard", () => {
    listCalls(["a"], 20_000);
    schedule.pickDue([], 20_000);
    expect(schedule.pickDue(["a"], 20_050)).toBe("a");
    expect(schedule.pickDue(["a"], 20_550)).toBe("a");
  });

  it("calls nobody while all are heard", () => {
    expect(listCalls([], 1_000)).toEqual([]);
  });
});
