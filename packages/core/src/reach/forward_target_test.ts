import { toId, type ZoneId } from "@limpetford/domain/ids";

import { SeededRandomSource } from "../time/random_source.ts";
import {
  chooseForwardTarget,
  type ForwardCandidate,
} from "./forward_target.ts";
import { REACH } from "./vm_reach_table.ts";

const NEAR = toId<ZoneId>("near");
const FAR = toId<ZoneId>("far");

interface NamedCandidate extends ForwardCandidate {
  readonly name: string;
}

function buildCandidate(
  name: string,
  changes: Partial<ForwardCandidate> = {},
): NamedCandidate {
  return {
    name,
    zone: NEAR,
    isLeader: false,
    reach: REACH.confirmed,
    ...changes,
  };
}

describe("chooseForwardTarget", () => {
  it.each<[string, readonly NamedCandidate[], readonly string[]]>([
    ["nobody", [], []],
    [
      "nobody that is not known to reach the servers",
      [
        buildCandidate("a", { reach: REACH.unknown }),
        buildCandidate("b", { reach: REACH.lost }),
      ],
      [],
    ],
    [
      "a VM of the zone before a leader elsewhere",
      [buildCandidate("a", { zone: FAR, isLeader: true }), buildCandidate("b")],
      ["b"],
    ],
    [
      "a leader before others of its zone",
      [buildCandidate("a"), buildCandidate("b", { isLeader: true })],
      ["b"],
    ],
    [
      "equal ones in turn",
      [
        buildCandidate("a", { zone: FAR }),
        buildCandidate("b", { zone: FAR }),
        buildCandidate("c", { zone: FAR, reach: REACH.lost }),
      ],
      ["a", "b"],
    ],
  ])("chooses %s", (_name, candidates, expected) => {
    const random = new SeededRandomSource(1);
    const chosen = Array.from(
      { length: 30 },
      () => chooseForwardTarget(candidates, { zone: NEAR, random })?.name,
    );
    const names = new Set(chosen.filter((name) => name !== undefined));
    expect([...names].sort()).toEqual(expected);
  });
});
