import { ServerListAge } from "./server_list_age.ts";

// Guards against a VM that defers removals though the store was there, and against
// one that drops running servers after an outage.
describe("ServerListAge", () => {
  let age: ServerListAge;
  beforeEach(() => {
    age = new ServerListAge();
    age.recordFreshness(0, 0);
  });

  function runUntil(untilMs: number): void {
    for (let nowMs = 0; nowMs <= untilMs; nowMs += 250) {
      age.observeStep(nowMs);
    }
  }

  it("sees no outage in a list that is merely old", () => {
    runUntil(5_000);
    expect(age.isStoreOutage(5_000)).toBe(false);
  });

  it("sees one if a read has failed since the list was confirmed", () => {
    runUntil(2_500);
    age.recordFailedRead(2_000);
    expect(age.isStoreOutage(2_500)).toBe(false);
    expect(age.isStoreOutage(2_600)).toBe(true);
  });

  it("may have missed one if it has stood still", () => {
    runUntil(500);
    age.observeStep(3_250);
    expect(age.isStoreOutage(3_250)).toBe(true);
  });

  it("may have missed one if it began with an old list", () => {
    const begun = new ServerListAge();
    expect(begun.isStoreOutage(4_000)).toBe(false);
    begun.recordFreshness(0, 4_000);
    expect(begun.isStoreOutage(4_000)).toBe(true);
  });

  it.each([
    { name: "a list confirmed lately", nowMs: 2_900, expected: 0 },
    {
      name: "a list that no read can confirm",
      nowMs: 3_100,
      expected: Infinity,
    },
  ])(
    "takes over a deferral with $name: $expected ms",
    ({ nowMs, expected }) => {
      runUntil(nowMs);
      expect(age.computeMaxDeferralMs(nowMs)).toBe(expected);
    },
  );

  it("takes over what is left until running servers are back", () => {
    runUntil(3_000);
    age.recordFailedRead(2_000);
    age.recordFreshness(2_900, 3_000);
    expect(age.computeMaxDeferralMs(4_000)).toBe(1_300);
    expect(age.computeMaxDeferralMs(5_400)).toBe(0);
  });

  it("takes no list that is old as well for the end of an outage", () => {
    runUntil(3_000);
    age.recordFailedRead(2_000);
    age.recordFreshness(200, 3_000);
    expect(age.isStoreOutage(3_000)).toBe(true);
    expect(age.computeMaxDeferralMs(3_000)).toBe(Infinity);
  });
});
