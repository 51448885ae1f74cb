import {
  REACH,
  type Reach,
  VmReachTable,
} from "@limpetford/core/reach/vm_reach_table";
import { FakeClock } from "@limpetford/core/time/fake_clock";
import {
  type RegionId,
  type ServiceId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

import { FleetDirectory } from "./fleet_directory.ts";

const ZONE = toId<ZoneId>("z");

interface Leader {
  readonly id: string;
  readonly zone: string;
  readonly reach: Reach;
}

function buildVm({ id, zone }: Pick<Leader, "id" | "zone">): Vm {
  return {
    incarnation: { vm: toId<VmId>(id), startedAtMs: 1 },
    zone: toId<ZoneId>(zone),
    region: toId<RegionId>("r"),
    callerAddress: { host: id, port: 1 },
    peerAddress: { host: id, port: 2 },
    weight: 1,
  };
}

function buildReach(leaders: readonly Leader[]): VmReachTable {
  const table = new VmReachTable();
  for (const { id, reach } of leaders) {
    if (reach !== REACH.unknown) {
      table.record(toId<VmId>(id), {
        lostServices: reach === REACH.lost ? [toId<ServiceId>("s")] : [],
        reachedAtMs: reach === REACH.confirmed ? 0 : -Infinity,
        knownAtMs: 0,
      });
    }
  }
  return table;
}

describe("FleetDirectory", () => {
  const cases: readonly {
    readonly name: string;
    readonly leaders: readonly Leader[];
    readonly expected: readonly string[];
  }[] = [
    {
      name: "all leaders of the zone",
      leaders: [
        { id: "a", zone: "z", reach: REACH.confirmed },
        { id: "b", zone: "z", reach: REACH.unknown },
        { id: "c", zone: "y", reach: REACH.confirmed },
      ],
      expected: ["a", "b"],
    },
    {
      name: "the leaders of the zone that have not lost the servers",
      leaders: [
        { id: "a", zone: "z", reach: REACH.lost },
        { id: "b", zone: "z", reach: REACH.confirmed },
      ],
      expected: ["b"],
    },
    {
      name:
        "leaders of another zone, if those of the zone have lost the servers",
      leaders: [
        { id: "a", zone: "z", reach: REACH.lost },
        { id: "c", zone: "y", reach: REACH.confirmed },
      ],
      expected: ["c"],
    },
    {
      name: "the leaders of the zone, if all have lost the servers",
      leaders: [
        { id: "a", zone: "z", reach: REACH.lost },
        { id: "c", zone: "y", reach: REACH.lost },
      ],
      expected: ["a"],
    },
    // Guards against callers that are moved back and forth while the servers are away.
    {
      name: "the leaders of the zone, if none is known to reach the servers",
      leaders: [
        { id: "a", zone: "z", reach: REACH.lost },
        { id: "b", zone: "z", reach: REACH.unknown },
        { id: "c", zone: "y", reach: REACH.lost },
      ],
      expected: ["a", "b"],
    },
  ];
  it.each(cases)("names $name", ({ leaders, expected }) => {
    const directory = new FleetDirectory({
      self: buildVm({ id: "self", zone: "z" }),
      state: { mayServe: () => true },
      peers: {
        listLeaders: () => leaders.map((leader) => buildVm(leader)),
        reach: buildReach(leaders),
        isLeaving: false,
      },
      clock: new FakeClock(),
    });
    const named = directory.listAddresses(ZONE).map(({ host }) => host);
    expect(named).toEqual(expected);
  });
});
