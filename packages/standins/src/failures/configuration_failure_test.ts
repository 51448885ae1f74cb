/**
 * Guards against a VM that depends on the log service: one that starts while
 * the log is unavailable must get its configuration from another VM, and a
 * withdrawn key must reach it by gossip.
 */

import { SeededRandomSource } from "@limpetford/core/time/random_source";
import { encodeConfigurationRecord } from "@limpetford/domain/configuration_codec";
import {
  CONFIGURATION_STREAM,
  type ConfigurationRecord,
} from "@limpetford/domain/configuration_record";
import {
  type ConfigurationVersion,
  type KeyHash,
  type RegionId,
  type TeamId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import { EntryVm } from "@limpetford/entry/vm/entry_vm";
import { SystemClock } from "@limpetford/entry/vm/system_clock";
import { HttpLogService } from "@limpetford/platform/http/http_log_service";
import { HttpVmList } from "@limpetford/platform/http/http_vm_list";

import { PlatformStandin } from "../platform/platform_standin.ts";

const POLL_INTERVAL_MS = 20;
const MAX_POLLS = 500;
const KEY = toId<KeyHash>("a".repeat(64));
const TEAM = toId<TeamId>("ferry");
const PROPOSAL: ConfigurationRecord = {
  kind: "proposal",
  id: "p1",
  basedOn: toId<ConfigurationVersion>(0),
  proposer: "planner",
  proposedAtMs: 0,
  changes: [
    {
      kind: "put-team",
      team: { id: TEAM, ratePerSecond: 10, burst: 20, weight: 1 },
    },
    { kind: "put-key", key: { hash: KEY, team: TEAM } },
  ],
};

describe("configuration while the log service is unavailable", () => {
  let platform: PlatformStandin;
  let origin: string;
  let log: HttpLogService;
  const closers: (() => Promise<void>)[] = [];

  beforeEach(async () => {
    platform = new PlatformStandin({ clock: new SystemClock() });
    origin = await platform.start();
    log = new HttpLogService(origin);
  });

  afterEach(async () => {
    for (const close of closers.splice(0).reverse()) {
      await close();
    }
    await log.close();
    await platform.stop();
  });

  async function startVm(number: number): Promise<EntryVm> {
    const address = { host: "127.0.0.1", port: 0 };
    const clock = new SystemClock();
    const vmLog = new HttpLogService(origin);
    const list = new HttpVmList(origin);
    const vm = await EntryVm.create({
      self: {
        incarnation: {
          vm: toId<VmId>(`vm-${number}`),
          startedAtMs: clock.readWallMs(),
        },
        zone: toId<ZoneId>(`zone-${number}`),
        region: toId<RegionId>("region"),
        callerAddress: address,
        peerAddress: address,
        weight: 1,
      },
      operatorAddress: address,
      drainTimeoutMs: 1_000,
    }, {
      log: vmLog,
      vmList: list,
      clock,
      random: new SeededRandomSource(number),
    });
    await vm.start();
    closers.push(async () => {
      await vm.stop();
      await vmLog.close();
      await list.close();
    });
    return vm;
  }

  it("comes from another VM, and a withdrawn key spreads by gossip", async () => {
    const first = await startVm(1);
    await log.append(CONFIGURATION_STREAM, [
      encodeConfigurationRecord(PROPOSAL),
    ]);
    await waitUntil(() => findTeam(first) === TEAM);
    platform.logFaults.isUnavailable = true;
    const second = await startVm(2);
    await waitUntil(() => findTeam(second) === TEAM);
    await waitUntil(() => second.parts.ports.configuration.isInForce());
    first.parts.facts.publish({ kind: "key-withdrawn", key: KEY });
    expect(findTeam(first)).toBeUndefined();
    await waitUntil(() => findTeam(second) === undefined);
    expect(findTeam(second)).toBeUndefined();
  });

  it("is not in force at a VM that got none", async () => {
    platform.logFaults.isUnavailable = true;
    const vm = await startVm(1);
    expect(vm.parts.ports.configuration.isInForce()).toBe(false);
  });
});

function findTeam(vm: EntryVm): TeamId | undefined {
  return vm.parts.ports.configuration.findTeamOfKey(KEY);
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  for (let polls = 0; polls < MAX_POLLS && !isMet(); polls += 1) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  expect(isMet()).toBe(true);
}
