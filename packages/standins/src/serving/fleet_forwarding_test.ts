/**
 * Guards against a request that runs twice when a caller sends it to several
 * VMs under one idempotency key: only the holder of its shard may claim it, and
 * each other VM forwards it there in one hop.
 */

import { computeChanges } from "@limpetford/core/configuration/configuration_diff";
import { SeededRandomSource } from "@limpetford/core/time/random_source";
import { encodeConfigurationRecord } from "@limpetford/domain/configuration_codec";
import { CONFIGURATION_STREAM } from "@limpetford/domain/configuration_record";
import {
  type ConfigurationVersion,
  type RegionId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import { EntryVm } from "@limpetford/entry/vm/entry_vm";
import { SystemClock } from "@limpetford/entry/vm/system_clock";
import { generateLoopbackHost } from "@limpetford/peer/fakes/loopback_host";
import { HttpLogService } from "@limpetford/platform/http/http_log_service";
import { HttpVmList } from "@limpetford/platform/http/http_vm_list";

import { BackendStandin } from "../backend/backend_standin.ts";
import { PlatformStandin } from "../platform/platform_standin.ts";
import { sendRequest } from "./http_client.ts";
import { buildHarnessConfiguration, HARNESS_KEY } from "./serving_harness.ts";

const ZONES = ["amba-a", "amba-b", "amba-c"];
const MAX_TRIES = 300;
const TRY_INTERVAL_MS = 100;

describe("three VMs that share a configuration log", () => {
  const clock = new SystemClock();
  const platform = new PlatformStandin({ clock });
  const backend = new BackendStandin();
  const vms: EntryVm[] = [];
  const closing: (() => Promise<unknown>)[] = [];

  beforeAll(async () => {
    const url = await platform.start();
    const log = new HttpLogService(url);
    closing.push(() => log.close());
    const emptyConfiguration = {
      version: toId<ConfigurationVersion>(0),
      services: [],
      servers: [],
      routes: [],
      teams: [],
      keys: [],
    };
    await log.append(CONFIGURATION_STREAM, [encodeConfigurationRecord({
      kind: "proposal",
      id: "first",
      basedOn: emptyConfiguration.version,
      proposer: "test",
      proposedAtMs: 0,
      changes: computeChanges(
        emptyConfiguration,
        buildHarnessConfiguration([await backend.start()]),
      ),
    })]);
    for (const [index, zone] of ZONES.entries()) {
      const vmLog = new HttpLogService(url);
      const vmList = new HttpVmList(url);
      closing.push(() => vmLog.close(), () => vmList.close());
      const anyPort = { host: generateLoopbackHost(), port: 0 };
      const vm = await EntryVm.create({
        self: {
          incarnation: {
            vm: toId<VmId>(`vm-${index}`),
            startedAtMs: Date.now(),
          },
          zone: toId<ZoneId>(zone),
          region: toId<RegionId>("amba"),
          callerAddress: anyPort,
          peerAddress: anyPort,
          weight: 1,
        },
        operatorAddress: anyPort,
        drainTimeoutMs: 5_000,
      }, {
        log: vmLog,
        vmList,
        clock,
        random: new SeededRandomSource(index),
      });
      await vm.start();
      vms.push(vm);
    }
  });

  afterAll(async () => {
    await Promise.all(vms.map((vm) => vm.stop()));
    await Promise.all(closing.map((close) => close()));
    await backend.stop();
    await platform.stop();
  });

  it("claim a request at its shard's holder, one hop from the others", async () => {
    const send = (vm: EntryVm, key: string) =>
      sendRequest(vm.settings.self.callerAddress, "/confirm", {
        method: "POST",
        headers: {
          "authorization": `Bearer ${HARNESS_KEY}`,
          "idempotency-key": key,
        },
        body: "deposit",
      });
    // Shards get their holders some time after the start; requests are refused
    // until then.
    let tries = 0;
    for (; tries < MAX_TRIES; tries++) {
      const responses = await Promise.all(
        vms.map((vm) => send(vm, `warm-${tries}`)),
      );
      if (responses.every((response) => response.status === 200)) {
        break;
      }
      await new Promise((resolve) => setTimeout(resolve, TRY_INTERVAL_MS));
    }
    expect(tries).toBeLessThan(MAX_TRIES);
    const first = await Promise.all(vms.map((vm) => send(vm, "k")));
    expect(first.map((response) => response.status)).toEqual([200, 200, 200]);
    const replayed = first.filter((response) =>
      response.headers["limpetford-replayed"] === "true"
    );
    expect(replayed).toHaveLength(2);
    for (const runs of backend.runsByKey.values()) {
      expect(runs).toBe(1);
    }
    const explanations = first.flatMap((response) =>
      vms.flatMap((vm) => {
        const id = String(response.headers["limpetford-request-id"]);
        return vm.callerServer.explain(id) ?? [];
      })
    );
    // The two VMs that forwarded took neither a claim nor a token.
    const forwarded = explanations.filter((one) =>
      one.passedOnTo !== undefined
    );
    expect(forwarded).toHaveLength(2);
    expect(forwarded.map((one) => one.claim)).toEqual([undefined, undefined]);
  });
});
