import {
  type RegionId,
  type ShardId,
  type TeamId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

import { MAX_ENTRIES, sortEntries } from "./entry_order.ts";

function makeVm(index: number): Vm {
  const address = { host: `127.0.0.${index}`, port: 1 };
  return {
    incarnation: { vm: toId<VmId>(`vm-${index}`), startedAtMs: 1 },
    zone: toId<ZoneId>(`zone-${index % 3}`),
    region: toId<RegionId>("region"),
    callerAddress: address,
    peerAddress: address,
    weight: 1,
  };
}

const vms = Array.from({ length: 12 }, (_, index) => makeVm(index));
const [holder, standby, asked] = vms.slice(4, 7) as [Vm, Vm, Vm];
const base = {
  team: toId<TeamId>("t"),
  ratePerSecond: 50,
  ownership: { shard: toId<ShardId>(1), epoch: 3, holder, standby },
  candidates: vms,
  asked,
  jitter: 0.99,
};

describe("sortEntries", () => {
  it("lists the holder, the standby, then the queried VM's zone", () => {
    const entries = sortEntries(base);
    expect(entries).toHaveLength(MAX_ENTRIES);
    expect(entries.slice(0, 2)).toEqual([holder, standby]);
    expect(entries.slice(2).every((vm) => vm.zone === asked.zone)).toBe(true);
  });

  it.each([
    ["a leaving holder", vms.filter((vm) => vm !== holder), standby],
    ["a leaving standby", vms.filter((vm) => vm !== standby), holder],
  ])("leaves out %s", (_, candidates, first) => {
    const entries = sortEntries({ ...base, candidates });
    expect(entries[0]).toEqual(first);
    expect(entries.every((vm) => candidates.includes(vm))).toBe(true);
  });

  it("lists VMs without a known holder", () => {
    const entries = sortEntries({ ...base, ownership: undefined });
    expect(entries).toHaveLength(MAX_ENTRIES);
    expect(new Set(entries).size).toBe(MAX_ENTRIES);
  });

  it("spreads a large team and keeps the holder among the first two", () => {
    const firsts = Array.from({ length: 20 }, (_, step) => {
      const entries = sortEntries({
        ...base,
        ratePerSecond: 2_000,
        jitter: step / 20,
      });
      expect(entries.slice(0, 2)).toContain(holder);
      return entries[0];
    });
    expect(new Set(firsts).size).toBe(4);
  });
});
