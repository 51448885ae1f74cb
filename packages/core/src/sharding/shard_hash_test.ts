import type { ShardId, TeamId } from "@limpetford/domain/ids";
import { toId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

import {
  findTeamShard,
  selectByRendezvous,
  SHARD_COUNT,
  sortByRendezvous,
} from "./shard_hash.ts";

function makeVm(index: number, weight = 1): Vm {
  return {
    incarnation: { vm: toId(`vm-${index}`), startedAtMs: 0 },
    zone: toId("zone-a"),
    region: toId("region-a"),
    callerAddress: { host: "127.0.0.1", port: 1 },
    peerAddress: { host: "127.0.0.1", port: 2 },
    weight,
  };
}

// A removed VM must not move the shards of the others, since each move means a
// handover.
describe("sortByRendezvous", () => {
  const vms = Array.from({ length: 44 }, (_, index) => makeVm(index));

  it("reassigns only the shards of a removed VM", () => {
    const rest = vms.slice(1);
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      const before = sortByRendezvous(toId<ShardId>(shard), vms)[0];
      const after = sortByRendezvous(toId<ShardId>(shard), rest)[0];
      if (before !== vms[0]) {
        expect(after).toBe(before);
      }
    }
  });

  it("gives a VM of weight 0.1 about a tenth of the shards of a VM of weight 1", () => {
    const weighted = [makeVm(0, 0.1), ...vms.slice(1)];
    const shards = Array.from({ length: 4_300 }, (_, shard) => shard);
    const held =
      shards.filter((shard) =>
        sortByRendezvous(toId<ShardId>(shard), weighted)[0] === weighted[0]
      ).length;
    expect(held).toBeGreaterThan(0);
    expect(held).toBeLessThan(30);
  });
});

describe("selectByRendezvous", () => {
  const vms = Array.from({ length: 44 }, (_, index) => makeVm(index));

  it.each([0, 1, 3, 44, 50])(
    "returns the first %d VMs of the full order",
    (count) => {
      for (let shard = 0; shard < SHARD_COUNT; shard++) {
        const id = toId<ShardId>(shard);
        expect(selectByRendezvous(id, vms, count))
          .toEqual(sortByRendezvous(id, vms).slice(0, count));
      }
    },
  );
});

describe("distribution of shards", () => {
  it("gives none of 44 VMs more than three times the average", () => {
    const vms = Array.from({ length: 44 }, (_, index) => makeVm(index));
    const counts = new Map<Vm | undefined, number>();
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      const [first] = selectByRendezvous(toId<ShardId>(shard), vms, 1);
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    expect(Math.max(...counts.values())).toBeLessThan(
      3 * SHARD_COUNT / vms.length,
    );
  });
});

describe("findTeamShard", () => {
  it("is stable", () => {
    const teams = ["costa", "delta", "sur"].map((name) => toId<TeamId>(name));
    expect(teams.map((team) => findTeamShard(team))).toMatchSnapshot();
  });
});
