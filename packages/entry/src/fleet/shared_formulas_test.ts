// Guards against a formula that VMs of two builds compute differently: each would
// then choose other leaders, or the shares of a limit would add up to more than one.
// A change of this snapshot is a change of a formula: docs/upgrades.md, rule 6.

import {
  decideLeaderCount,
  estimateLeaderLoad,
} from "@limpetford/core/fleet/leader_count";
import { sortLeaders } from "@limpetford/core/fleet/leader_selection";
import { computeVmListDigest } from "@limpetford/core/fleet/vm_list_digest";
import { computeLimitShare } from "@limpetford/core/limits/limit_share";
import { TeamShares } from "@limpetford/core/limits/team_shares";
import { REACH } from "@limpetford/core/reach/vm_reach_table";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import {
  type TeamId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";

import { buildExchangeVm } from "../fakes/exchange_side.ts";

const FLEETS = Array.from({ length: 30 }, (_, index) => index);
const REACHES = [REACH.confirmed, REACH.unknown, REACH.lost];
const CORES = [0.27, 0.5, 1, 2];
const TEAM = toId<TeamId>("t");

let random: SeededRandomSource;
beforeEach(() => {
  random = new SeededRandomSource(45);
});

function pick<Value>(values: readonly Value[]): Value | undefined {
  return values[random.pickIndex(values.length)];
}

function buildCandidates(): Parameters<typeof sortLeaders>[1] {
  return Array.from({ length: 6 }, (_, index) => ({
    id: toId<VmId>(`vm-${index}`),
    zone: toId<ZoneId>(index < 5 ? "a" : "b"),
    isAvailable: random.sampleUniform() < 0.8,
    leaderSinceMs: pick([undefined, undefined, 100, 200, 300]),
    reach: pick(REACHES) ?? REACH.unknown,
    cores: pick(CORES) ?? 1,
    mayTakeOver: index === 0,
  }));
}

describe("formulas that VMs of two builds share", () => {
  it("choose the same VMs to lead a zone", () => {
    expect(
      FLEETS.map(() =>
        sortLeaders(toId<ZoneId>("a"), buildCandidates()).map(({ id }) => id)
          .join(" ")
      ),
    ).toMatchSnapshot();
  });

  it("count the leaders of a zone alike", () => {
    expect(FLEETS.map(() => {
      const cores = Array.from({ length: 5 }, () => pick(CORES) ?? 1);
      const load = estimateLeaderLoad({
        requestsPerSecond: random.pickIndex(900),
        cores: cores[0] ?? 1,
        delayMs: random.pickIndex(200),
        queueMs: random.pickIndex(120),
      });
      const count = decideLeaderCount(1 + random.pickIndex(5), load, cores);
      return `${Math.round(load)}/s at ${cores.join(" ")}: ${count}`;
    })).toMatchSnapshot();
  });

  it("divide a team's rate alike", () => {
    expect(FLEETS.map((count) => {
      const shares = new TeamShares();
      for (let index = 0; index < count % 4; index++) {
        const demand = new Map([[TEAM, random.pickIndex(50)]]);
        shares.recordPeerDemand(toId<VmId>(`vm-${index}`), demand, 1_000);
      }
      shares.setHasPeers(count % 5 > 0);
      const share = shares.computeShare(TEAM, {
        rate: random.pickIndex(50),
        leaderCount: 1 + count % 4 + random.pickIndex(2),
        vmCount: 1 + random.pickIndex(20),
      }, pick([1_500, 2_900, 5_500]) ?? 0);
      return share.toFixed(6);
    })).toMatchSnapshot();
  });

  it("divide a server's limit alike among VMs that are cut off", () => {
    expect(FLEETS.map(() => {
      const others = Array.from({ length: random.pickIndex(8) }, () => ({
        zone: toId<ZoneId>(pick(["a", "b", "c"]) ?? "a"),
        isHeard: random.sampleUniform() < 0.6,
      }));
      return computeLimitShare(toId<ZoneId>("a"), others).toFixed(6);
    })).toMatchSnapshot();
  });

  it("compare lists of VMs alike", () => {
    expect(FLEETS.map((count) =>
      computeVmListDigest(
        Array.from(
          { length: count },
          (_, index) => buildExchangeVm(`vm-${index}`),
        ),
      )
    )).toMatchSnapshot();
  });
});
