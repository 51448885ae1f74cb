/**
 * Guards against wrong output or exit codes, in particular while the log is
 * unavailable, and against issued keys that are printed again or stored.
 */

import { PassThrough } from "node:stream";

import { FakeClock } from "@limpetford/core/time/fake_clock";
import { toId } from "@limpetford/domain/ids";
import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";
import type { SocketAddress } from "@limpetford/domain/vm";
import { FakeLogService } from "@limpetford/platform/fakes/fake_log_service";
import { FakeVmList } from "@limpetford/platform/fakes/fake_vm_list";
import { Cli } from "clipanion";

import { hashKey } from "../keys/caller_key.ts";
import type { VmCall, VmCallError } from "../vms/vm_operator_client.ts";
import { VmOperatorClient } from "../vms/vm_operator_client.ts";
import { buildCli } from "./build_cli.ts";

const HEAD = "kind,name,team,rate-per-second,burst,weight,key-sha256";
const HASH = hashKey("one");
const SHEETS: Readonly<Record<string, string>> = {
  "good.csv": `${HEAD}\nteam,costa,,10,20,,\nteam,sur,,5,5,2,\n` +
    `key,,costa,,,,${HASH}`,
  "changed.csv": `${HEAD}\nteam,costa,,"12,5",20,,\nkey,,costa,,,,${HASH}`,
  "faulty.csv": `${HEAD}\nteam,cos ta,,1.500,0,,\nkey,,nobody,,,,xyz`,
  "key.txt": "one\n",
  "bad.yaml": "log: ftp://x\nvms:\n  - host:80\nlogg: 1\n",
  "good.yaml":
    "log: http://127.0.0.1:1\noperator: ana\nvms: [127.0.0.9:8070]\n",
};

class FakeVmOperatorClient extends VmOperatorClient {
  readonly calls: string[] = [];
  isUnavailable = false;

  override send(
    address: SocketAddress,
    call: VmCall,
  ): Promise<Result<unknown, VmCallError>> {
    this.calls.push(
      `${address.host} ${call.method} ${call.path} ${
        JSON.stringify(call.body ?? null)
      }`,
    );
    if (this.isUnavailable) {
      const cause = "connection refused";
      return Promise.resolve(makeError({ kind: "vm-away", cause }));
    }
    if (call.path.includes("explain?id=lost")) {
      return Promise.resolve(makeError({ kind: "vm-refused", cause: "404" }));
    }
    const response = {
      // Another VM runs a build that does not say which it is.
      ...address.host === "127.0.0.1" ? { build: "1296c69" } : {},
      path: call.path,
      version: 3,
      shards: [1, 2],
    };
    return Promise.resolve(makeOk(response));
  }
}

class Harness {
  readonly log: FakeLogService;
  readonly vmList: FakeVmList;
  readonly vmOperatorClient = new FakeVmOperatorClient();
  readonly #clock = new FakeClock();
  #ids = 0;

  constructor() {
    this.log = new FakeLogService({ clock: this.#clock, timeoutMs: 10 });
    this.vmList = new FakeVmList({ clock: this.#clock });
  }

  async run(text: string) {
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const running = buildCli().run(text.split(" "), {
      ...Cli.defaultContext,
      stdout,
      stderr,
      environment: {
        clock: this.#clock,
        readFile: (path) => {
          const content = SHEETS[path];
          return content === undefined
            ? Promise.reject(new Error("no such file"))
            : Promise.resolve(new TextEncoder().encode(content));
        },
        connect: () => ({
          log: this.log,
          vmList: this.vmList,
          vmOperatorClient: this.vmOperatorClient,
          close: () => Promise.resolve(),
        }),
        generateId: () => `proposal-${this.#ids++}`,
        generateBytes: (count) => new Uint8Array(count).fill(7),
        wait: () => Promise.resolve(),
        settingsPath: "good.yaml",
      },
    });
    for (let step = 0; step < 100; step++) {
      await this.#clock.advanceAndSettle(10);
    }
    const exitCode = await running;
    return {
      exitCode,
      stdout: String(stdout.read() ?? ""),
      stderr: String(stderr.read() ?? ""),
    };
  }
}

describe("limpetctl", () => {
  let harness: Harness;

  beforeEach(() => {
    harness = new Harness();
  });

  it.each([
    "sheet check good.csv",
    "sheet check faulty.csv",
    "sheet check faulty.csv --json",
    "sheet check missing.csv",
    "sheet status --settings bad.yaml",
    "sheet status",
    "team list",
    "team show costa",
    "service status nowhere",
    "key withdraw short",
    "vm status",
    "explain 7f3a",
    "explain lost",
  ])("%s, on an empty fleet", async (text) => {
    expect(await harness.run(text)).toMatchSnapshot();
  });

  it.each([
    "sheet status",
    "sheet status --json",
    "sheet status --proposal proposal-0",
    "sheet status --proposal proposal-9",
    "sheet diff changed.csv",
    "sheet publish changed.csv",
    "sheet publish changed.csv --based-on 4",
    "sheet publish good.csv",
    "team list",
    "team show costa --json",
    "key issue costa",
    "key issue nobody",
    "key list --team costa",
    `key withdraw ${HASH.slice(0, 10)}`,
    "key withdraw --key-file key.txt --json",
    "key withdraw 0123456789",
  ])("%s, after a sheet was published", async (text) => {
    const published = await harness.run("sheet publish good.csv");
    expect(published.exitCode).toBe(0);
    expect(await harness.run(text)).toMatchSnapshot();
  });

  it.each([
    "sheet publish changed.csv",
    "sheet status",
    "team list",
    "key issue costa",
    `key withdraw ${HASH}`,
    `key withdraw ${HASH.slice(0, 10)}`,
    "service status",
  ])("%s, with the log unavailable", async (text) => {
    await harness.run("sheet publish good.csv");
    harness.log.faults.isUnavailable = true;
    expect(await harness.run(text)).toMatchSnapshot();
  });

  it("fails to withdraw a key if neither log nor VMs are reachable", async () => {
    harness.log.faults.isUnavailable = true;
    harness.vmOperatorClient.isUnavailable = true;
    const { exitCode } = await harness.run(`key withdraw ${HASH}`);
    expect(exitCode).toBe(4);
  });

  it("reports an unknown outcome if the append may have succeeded", async () => {
    harness.log.faults.appendsToLose = 100;
    const published = await harness.run("sheet publish good.csv --json");
    expect(published).toMatchObject({ exitCode: 5 });
    expect(published.stdout).toContain('"proposalId": "proposal-0"');
  });

  it("requires a choice for keys that the sheet does not list", async () => {
    await harness.run("sheet publish good.csv");
    await harness.run("key issue costa");
    const withoutChoice = await harness.run("sheet publish good.csv");
    expect(withoutChoice).toMatchSnapshot();
    const kept = await harness.run("sheet publish good.csv --keep-keys");
    expect(kept).toMatchObject({ exitCode: 0 });
    expect((await harness.run("key list")).stdout.match(/in force/g))
      .toHaveLength(2);
    const removed = await harness.run("sheet publish good.csv --remove-keys");
    expect(removed).toMatchObject({ exitCode: 0 });
    expect((await harness.run("key list")).stdout.match(/in force/g))
      .toHaveLength(1);
  });

  it("publishes a sheet that lists a withdrawn key", async () => {
    await harness.run("sheet publish good.csv");
    await harness.run(`key withdraw ${HASH}`);
    const again = await harness.run("sheet publish changed.csv");
    expect(again).toMatchObject({ exitCode: 0 });
    expect((await harness.run("key list")).stdout).not.toContain("in force");
  });

  it("calls each VM of the list and the settings once", async () => {
    for (const number of [1, 2, 9]) {
      const host = `127.0.0.${number}`;
      await harness.vmList.register({
        vm: {
          incarnation: { vm: toId(`vm-${number}`), startedAtMs: 1 },
          zone: toId("zone-a"),
          region: toId("region-a"),
          callerAddress: { host, port: 8_080 },
          peerAddress: { host, port: 8_090 },
          operatorAddress: { host, port: 8_070 },
          weight: 1,
        },
        state: "live",
      });
    }
    const { exitCode } = await harness.run(`key withdraw ${HASH}`);
    expect(exitCode).toBe(0);
    expect(harness.vmOperatorClient.calls.sort()).toEqual(
      [1, 2, 9].map((number) =>
        `127.0.0.${number} POST /.limpetford/withdrawals {"keys":["${HASH}"]}`
      ),
    );
    expect(await harness.run("vm status")).toMatchSnapshot();
  });

  it("does not print or store an issued key", async () => {
    await harness.run("sheet publish good.csv");
    const issued = await harness.run("key issue costa --json");
    const { key } = JSON.parse(issued.stdout) as { readonly key: string };
    for (const text of ["key list --json", "team show costa --json"]) {
      expect((await harness.run(text)).stdout).not.toContain(key);
    }
    const records = harness.log.store.read("configuration", {
      fromOffset: 0,
      limit: 100,
      nowMs: 0,
    });
    const all = records.records.map((record) =>
      Buffer.from(record.payload).toString()
    ).join();
    expect(all).not.toContain(key);
    expect(all).toContain(hashKey(key));
  });
});
