import { toId, type VmId, type ZoneId } from "@limpetford/domain/ids";

import { chooseLeader, type LeaderCandidate } from "./leader_election.ts";

const ZONE = toId<ZoneId>("z");

function buildCandidate(
  id: string,
  changes: Partial<LeaderCandidate> = {},
): LeaderCandidate {
  return {
    id: toId<VmId>(id),
    zone: ZONE,
    isAvailable: true,
    leaderSinceMs: undefined,
    cores: 1,
    ...changes,
  };
}

describe("chooseLead", () => {
  it("is computed alike whatever the order of the list", () => {
    const all = ["a", "b", "c", "d"].map((id) => buildCandidate(id));
    const lead = chooseLeader(ZONE, all)?.id;
    expect(lead).toBeDefined();
    expect(chooseLeader(ZONE, [...all].reverse())?.id).toBe(lead);
  });

  const cases: readonly {
    readonly name: string;
    readonly candidates: readonly LeaderCandidate[];
    readonly expected: string | undefined;
  }[] = [
    {
      name: "the one that has led longest",
      candidates: [
        buildCandidate("a"),
        buildCandidate("b", { leaderSinceMs: 20 }),
        buildCandidate("c", { leaderSinceMs: 10 }),
      ],
      expected: "c",
    },
    {
      name: "the largest where none leads",
      candidates: [buildCandidate("a"), buildCandidate("b", { cores: 2 })],
      expected: "b",
    },
    {
      name: "none that is unavailable",
      candidates: [
        buildCandidate("a", { leaderSinceMs: 5, isAvailable: false }),
        buildCandidate("b", { leaderSinceMs: 20 }),
      ],
      expected: "b",
    },
    {
      name: "none of another zone",
      candidates: [buildCandidate("a", { zone: toId<ZoneId>("other") })],
      expected: undefined,
    },
  ];
  it.each(cases)("chooses $name", ({ candidates, expected }) => {
    expect(chooseLeader(ZONE, candidates)?.id).toBe(expected);
  });
});
