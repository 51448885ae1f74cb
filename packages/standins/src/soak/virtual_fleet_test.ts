// Ownership and claims of a small fleet while VMs are killed or drained, the log
// is unavailable or its replies are lost. A request must run at most once, and a
// shard must have exactly one holder again soon after a fault.

import { findTeamShard } from "@limpetford/core/sharding/shard_hash";
import { type TeamId, toId } from "@limpetford/domain/ids";
import type { OwnershipSettings } from "@limpetford/entry/components/ownership/ownership_settings";

import { VirtualFleet } from "./virtual_fleet.ts";

const SHARDS = 2;
const LIST_LAG_MS = 10_000;

async function startFleet(
  size: number,
  settings: Partial<OwnershipSettings> = {},
): Promise<VirtualFleet> {
  const fleet = new VirtualFleet({ shardCount: SHARDS, ...settings });
  for (let index = 0; index < size; index += 1) {
    await fleet.startVm(index);
  }
  await fleet.advance(4_000);
  return fleet;
}

function findHolderIndex(fleet: VirtualFleet): number {
  const [holder] = fleet.listHolders("team");
  return Number(holder?.slice("vm-".length));
}

describe("VirtualFleet", () => {
  it("has one holder and runs a repeated request once", async () => {
    const fleet = await startFleet(3);
    expect(fleet.listHolders("team")).toHaveLength(1);
    fleet.sendRequest(0, "team", "a");
    fleet.sendRequest(1, "team", "a");
    await fleet.advance(1_000);
    expect(fleet.countRuns("a")).toBe(1);
    expect(fleet.responses.map((response) => response.verdict).sort()).toEqual([
      "ran",
      "replay",
    ]);
    expect(fleet.violations).toEqual([]);
  });

  it("has a new holder after a kill, which reports an unknown outcome", async () => {
    const fleet = await startFleet(3);
    const holder = findHolderIndex(fleet);
    fleet.sendRequest(holder, "team", "a");
    await fleet.advance(8);
    const vm = fleet.findVm(holder);
    expect(fleet.countRuns("a")).toBe(1);
    if (vm !== undefined) {
      fleet.abortVm(vm, LIST_LAG_MS);
    }
    await fleet.advance(6_000);
    expect(fleet.listHolders("team")).toHaveLength(1);
    fleet.sendRequest((holder + 1) % 3, "team", "a");
    fleet.sendRequest((holder + 2) % 3, "team", "b");
    await fleet.advance(1_000);
    expect(fleet.countRuns("a")).toBe(1);
    expect(fleet.countRuns("b")).toBe(1);
    expect(fleet.responses.map((response) => response.verdict).sort()).toEqual([
      "outcome-unknown",
      "ran",
    ]);
  });

  it("batches many claims into few appends", async () => {
    const fleet = await startFleet(3);
    const before = fleet.store.countAppends();
    for (let index = 0; index < 400; index += 1) {
      fleet.sendRequest(index % 3, `team-${index % 8}`, `key-${index}`);
      await fleet.advance(5);
    }
    await fleet.advance(2_000);
    expect(fleet.countAllRuns()).toBe(400);
    expect(fleet.store.countAppends() - before).toMatchSnapshot();
  });

  it("keeps serving while the log is unavailable", async () => {
    const fleet = await startFleet(3);
    fleet.vms.forEach((vm) => {
      vm.log.faults.isUnavailable = true;
    });
    await fleet.advance(120_000);
    expect(fleet.listHolders("team")).toHaveLength(1);
    fleet.sendRequest(0, "team", "a");
    await fleet.advance(1_000);
    expect(fleet.countRuns("a")).toBe(1);
  });

  it("has a holder again when the reply to a replace-standby record is lost before a log outage", async () => {
    const fleet = await startFleet(3);
    const holder = findHolderIndex(fleet);
    const vm = fleet.findVm(holder);
    const shard = findTeamShard(toId<TeamId>("team"), SHARDS);
    const standby = vm?.ownership.findOwnership(shard)?.standby;
    if (vm === undefined || standby === undefined) {
      throw new Error("The shard must have a holder and a standby.");
    }
    fleet.links.setCut(standby.incarnation.vm, vm.name, true);
    vm.log.faults.appendResponsesToLose = 10;
    const appends = fleet.store.countAppends();
    for (let tries = 0; tries < 1_000; tries += 1) {
      await fleet.advance(10);
      if (fleet.store.countAppends() > appends) {
        break;
      }
    }
    fleet.vms.forEach((each) => {
      each.log.faults.isUnavailable = true;
    });
    fleet.links.clear();
    await fleet.advance(10_000);
    expect(fleet.listHolders("team")).toHaveLength(1);
    fleet.sendRequest(holder, "team", "a");
    await fleet.advance(1_000);
    expect(fleet.countRuns("a")).toBe(1);
    expect(fleet.violations).toEqual([]);
  });

  it("continues with the standby when the VM list removes the holder during a log outage", async () => {
    const fleet = await startFleet(3);
    fleet.vms.forEach((vm) => {
      vm.log.faults.isUnavailable = true;
    });
    await fleet.advance(60_000);
    const holder = findHolderIndex(fleet);
    fleet.sendRequest(holder, "team", "a");
    await fleet.advance(1_000);
    const vm = fleet.findVm(holder);
    if (vm !== undefined) {
      fleet.abortVm(vm, LIST_LAG_MS);
    }
    await fleet.advance(LIST_LAG_MS + 1_000);
    expect(fleet.listHolders("team")).toHaveLength(1);
    fleet.sendRequest(findHolderIndex(fleet), "team", "a");
    await fleet.advance(1_000);
    expect(fleet.countRuns("a")).toBe(1);
    expect(fleet.responses.at(-1)?.verdict).toBe("replay");
    expect(fleet.violations).toEqual([]);
  });

  it("keeps claims that a checkpoint rewrote before their records expired", async () => {
    const fleet = await startFleet(3, { checkpointMs: 5_000 });
    fleet.sendRequest(0, "team", "a");
    await fleet.advance(12_000);
    for (const { name, end } of fleet.store.listStreams()) {
      fleet.store.expireBefore(name, end - 2);
    }
    const holder = findHolderIndex(fleet);
    const pair = fleet.vms.filter((vm) =>
      vm.ownership.listOwnShards().some((shard) =>
        shard.replica.ownership.holder?.vm === `vm-${holder}`
      )
    );
    pair.forEach((vm) => {
      fleet.abortVm(vm, 1_000);
    });
    await fleet.advance(8_000);
    const left = findHolderIndex(fleet);
    fleet.sendRequest(left, "team", "a");
    fleet.sendRequest(left, "team", "b");
    await fleet.advance(1_000);
    expect(fleet.responses.map((response) => response.verdict)).toEqual([
      "ran",
      "replay",
      "outcome-unknown",
    ]);
  });

  it("hands over within 50 ms when the holder is drained", async () => {
    const fleet = await startFleet(3);
    const holder = findHolderIndex(fleet);
    const vm = fleet.findVm(holder);
    if (vm !== undefined) {
      fleet.drainVm(vm);
    }
    await fleet.advance(50);
    expect(fleet.listHolders("team")).toHaveLength(1);
    expect(findHolderIndex(fleet)).not.toBe(holder);
    await fleet.advance(8_000);
    expect(vm?.scheduler.isDead()).toBe(true);
    expect(fleet.listHolders("team")).toHaveLength(1);
  });

  it("runs requests after a drained holder reached no other VM", async () => {
    const fleet = await startFleet(4);
    const holder = fleet.findVm(findHolderIndex(fleet));
    const shard = findTeamShard(toId<TeamId>("team"), SHARDS);
    const found = holder?.ownership.findOwnership(shard)?.standby;
    const standby = fleet.vms.find((vm) => vm.vm === found);
    if (holder === undefined || standby === undefined) {
      throw new Error("The shard must have a holder and a standby.");
    }
    const others = fleet.vms.filter((vm) => vm !== holder && vm !== standby);
    others.forEach((vm) => {
      fleet.links.setCut(standby.name, vm.name, true);
    });
    fleet.drainVm(holder);
    await fleet.advance(8_000);
    expect(fleet.listHolders("team")).toEqual([standby.name]);
    fleet.sendRequest(fleet.vms.indexOf(standby), "team", "a");
    await fleet.advance(1_000);
    fleet.drainVm(standby);
    await fleet.advance(20_000);
    expect(standby.scheduler.isDead()).toBe(true);
    for (const key of ["a", "b"]) {
      fleet.sendRequest(findHolderIndex(fleet), "team", key);
      await fleet.advance(1_000);
    }
    expect(fleet.responses.map((response) => response.verdict)).toEqual([
      "ran",
      "replay",
      "ran",
    ]);
    expect(fleet.countRuns("a")).toBe(1);
    expect(fleet.violations).toEqual([]);
  });

  it("runs a request again that a holder refused during its handover", async () => {
    const fleet = await startFleet(3);
    const index = findHolderIndex(fleet);
    const holder = fleet.findVm(index);
    const shard = findTeamShard(toId<TeamId>("team"), SHARDS);
    const next = holder?.ownership.findOwnership(shard)?.standby?.incarnation
      .vm;
    if (holder === undefined || next === undefined) {
      throw new Error("The shard must have a holder and a standby.");
    }
    fleet.links.setDelay(next, holder.name, 5);
    fleet.sendRequest(index, "team", "a");
    await fleet.advance(1);
    fleet.drainVm(holder);
    await fleet.advance(1);
    expect(fleet.listHolders("team")).toEqual([next]);
    fleet.links.setDelay(holder.name, next, 50);
    for (let ms = 0; ms < 1_000 && fleet.responses.length === 0; ms += 1) {
      await fleet.advance(1);
    }
    expect(fleet.responses).toEqual([{ key: "a", verdict: "refused" }]);
    fleet.sendRequest(findHolderIndex(fleet), "team", "a");
    await fleet.advance(1_000);
    expect(fleet.responses.at(-1)).toEqual({ key: "a", verdict: "ran" });
    expect(fleet.countRuns("a")).toBe(1);
    expect(fleet.violations).toEqual([]);
  });

  it("runs requests that a holder refused before its standby took over", async () => {
    const fleet = await startFleet(4);
    const index = findHolderIndex(fleet);
    const holder = fleet.findVm(index);
    const shard = findTeamShard(toId<TeamId>("team"), SHARDS);
    const next = holder?.ownership.findOwnership(shard)?.standby?.incarnation
      .vm;
    if (holder === undefined || next === undefined) {
      throw new Error("The shard must have a holder and a standby.");
    }
    fleet.links.setCut(holder.name, next, true);
    const keys = Array.from({ length: 10 }, (_, number) => `key-${number}`);
    for (let round = 0; round < 10; round += 1) {
      for (const key of keys) {
        fleet.sendRequest(index, "team", key);
        await fleet.advance(50);
      }
    }
    expect(fleet.listHolders("team")).toEqual([next]);
    expect(keys.map((key) => fleet.countRuns(key))).toEqual(keys.map(() => 1));
    expect(fleet.violations).toEqual([]);
  });
});
