import { toId, type VmId, type ZoneId } from "@limpetford/domain/ids";

import { REACH } from "../reach/vm_reach_table.ts";
import { chooseLeader, type LeaderCandidate } from "./leader_selection.ts";

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
    reach: REACH.unknown,
    cores: 1,
    mayTakeOver: false,
    ...changes,
  };
}

describe("chooseLeader", () => {
  it("does not depend on the order of the candidates", () => {
    const all = ["a", "b", "c", "d"].map((id) => buildCandidate(id));
    const leader = chooseLeader(ZONE, all)?.id;
    expect(leader).toBeDefined();
    expect(chooseLeader(ZONE, [...all].reverse())?.id).toBe(leader);
  });

  const cases: readonly {
    readonly name: string;
    readonly candidates: readonly LeaderCandidate[];
    readonly expected: string | undefined;
  }[] = [
    {
      name: "the VM that has been a leader longest",
      candidates: [
        buildCandidate("a"),
        buildCandidate("b", { leaderSinceMs: 20 }),
        buildCandidate("c", { leaderSinceMs: 10 }),
      ],
      expected: "c",
    },
    {
      name: "the largest VM if there is no leader",
      candidates: [buildCandidate("a"), buildCandidate("b", { cores: 2 })],
      expected: "b",
    },
    {
      name: "a much larger VM that takes over from a small leader",
      candidates: [
        buildCandidate("a", { leaderSinceMs: 10, cores: 0.27 }),
        buildCandidate("b", { cores: 1.35, mayTakeOver: true }),
      ],
      expected: "b",
    },
    {
      name: "a much larger leader, although a small one has led longer",
      candidates: [
        buildCandidate("a", { leaderSinceMs: 10, cores: 0.27 }),
        buildCandidate("b", { leaderSinceMs: 20, cores: 1.35 }),
      ],
      expected: "b",
    },
    {
      name: "the small leader, if larger VMs may be gone",
      candidates: [
        buildCandidate("a", { leaderSinceMs: 10, cores: 0.27 }),
        buildCandidate("b", { cores: 1.35 }),
      ],
      expected: "a",
    },
    {
      name: "the leader, although another VM is a little larger",
      candidates: [
        buildCandidate("a", { leaderSinceMs: 10 }),
        buildCandidate("b", { cores: 1.3, mayTakeOver: true }),
      ],
      expected: "a",
    },
    {
      name: "no unavailable VM",
      candidates: [
        buildCandidate("a", { leaderSinceMs: 5, isAvailable: false }),
        buildCandidate("b", { leaderSinceMs: 20 }),
      ],
      expected: "b",
    },
    {
      name: "a VM that reaches the servers, if the leader has lost them",
      candidates: [
        buildCandidate("a", { leaderSinceMs: 5, reach: REACH.lost }),
        buildCandidate("b", { cores: 2 }),
        buildCandidate("c", { reach: REACH.confirmed }),
      ],
      expected: "c",
    },
    {
      name: "the leader that has lost the servers, if no VM reaches them",
      candidates: [
        buildCandidate("a", { leaderSinceMs: 5, reach: REACH.lost }),
        buildCandidate("b", { cores: 2 }),
        buildCandidate("c", { reach: REACH.lost }),
      ],
      expected: "a",
    },
    // Guards against callers that are moved back and forth while the servers are away.
    {
      name:
        "the leader that has lost the servers, if another one may have as well",
      candidates: [
        buildCandidate("a", { leaderSinceMs: 5, reach: REACH.lost }),
        buildCandidate("b", { leaderSinceMs: 9 }),
        buildCandidate("c", { reach: REACH.lost }),
      ],
      expected: "a",
    },
    {
      name:
        "another leader, if the first has lost the servers that a VM reaches",
      candidates: [
        buildCandidate("a", { leaderSinceMs: 5, reach: REACH.lost }),
        buildCandidate("b", { leaderSinceMs: 9 }),
        buildCandidate("c", { reach: REACH.confirmed }),
      ],
      expected: "b",
    },
    {
      name: "the leader, if only other VMs have lost the servers",
      candidates: [
        buildCandidate("a", { leaderSinceMs: 5 }),
        buildCandidate("b", { reach: REACH.lost }),
        buildCandidate("c", { reach: REACH.confirmed }),
      ],
      expected: "a",
    },
    {
      name: "the new leader, once the former reaches the servers again",
      candidates: [
        buildCandidate("a", { cores: 2, reach: REACH.confirmed }),
        buildCandidate("c", { leaderSinceMs: 9, reach: REACH.confirmed }),
      ],
      expected: "c",
    },
    {
      name: "no VM of another zone",
      candidates: [buildCandidate("a", { zone: toId<ZoneId>("other") })],
      expected: undefined,
    },
  ];
  it.each(cases)("chooses $name", ({ candidates, expected }) => {
    expect(chooseLeader(ZONE, candidates)?.id).toBe(expected);
  });
});
