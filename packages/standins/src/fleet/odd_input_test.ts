import * as net from "node:net";

import type { SocketAddress } from "@limpetford/domain/vm";
import fc from "fast-check";

import {
  ODD_CONFIGURATION,
  ODD_PEER_CALLS,
  ODD_TOPICS,
  SYNC_MESSAGE,
} from "../platform/odd_input_templates.ts";
import {
  buildOddAnswers,
  buildOddRecords,
  ODD_REQUESTS,
  ODD_RESPONSES,
} from "../platform/odd_inputs.ts";
import { PROTOCOL_TOPIC } from "../platform/protocol_names.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import { encodeCall, OddPeer } from "./odd_peer.ts";
import { VM_PORTS } from "./vm_ports.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

// By hand with fresh inputs for longer:
// ODD_INPUT_SECONDS=120 ODD_INPUT_SEED=$RANDOM npx jest odd_input_test
const SECONDS = Number(process.env["ODD_INPUT_SECONDS"] ?? "8");
const SEED = Number(process.env["ODD_INPUT_SEED"] ?? "1");
const MS_PER_S = 1_000;
const START_AND_STOP_MS = 60_000;
const KEY = "key-of-dance";
const STATUS_OK = 200;
const BATCH = 24;
/** Time for which a connection is kept open after its bytes. */
const HOLD_MS = 120;
/** Time in which a peer is introduced, or is called with news. */
const INTRODUCE_MS = 40;
/** Time within which records are read and passed on. */
const SPREAD_MS = 400;
const EXCEPTION = /exception-(?:uncaught|contained)[^\n]*/g;

function sendRaw(
  address: SocketAddress,
  bytes: Buffer,
  holdMs = HOLD_MS,
): Promise<void> {
  return new Promise((resolve) => {
    const socket = net.connect(address);
    socket.on("error", () => undefined);
    socket.on("close", () => {
      resolve();
    });
    socket.resume();
    socket.write(bytes);
    setTimeout(() => {
      socket.destroy();
    }, holdMs);
  });
}

// Guards against input from outside that ends a process, or that its other callers
// lose their service by.
describe("odd input", () => {
  let fleet: FleetProcesses;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses({ logLevel: "error" });
    await fleet.start({ servers: 3, zones: [1, 1] });
  });
  afterEach(async () => {
    await fleet.stop();
  });

  function expectAlive(): void {
    for (const vm of fleet.vms) {
      expect(vm.log.match(EXCEPTION) ?? []).toEqual([]);
      expect(vm.isRunning()).toBe(true);
    }
  }

  async function isServing(vm: VmProcessHandle): Promise<boolean> {
    const { status } = await fleet.send(vm, {
      path: "/book/sound",
      key: KEY,
      method: "POST",
      body: "deposit",
    });
    return status === STATUS_OK;
  }

  async function expectServing(): Promise<void> {
    expectAlive();
    for (const vm of fleet.vms) {
      await fleet.waitUntil(() => isServing(vm));
    }
    expectAlive();
  }

  async function runBatches<Input>(
    inputs: fc.Arbitrary<Input>,
    runBatch: (batch: readonly Input[]) => Promise<void>,
  ): Promise<void> {
    const batches = fc.array(inputs, { minLength: BATCH, maxLength: BATCH });
    const endAtMs = Date.now() + SECONDS * MS_PER_S;
    for (let seed = SEED; Date.now() < endAtMs; seed++) {
      const [batch = []] = fc.sample(batches, { seed, numRuns: 1 });
      try {
        await runBatch(batch);
      } catch (error) {
        throw new Error(`first batch of ODD_INPUT_SEED=${seed}`, {
          cause: error,
        });
      }
    }
  }

  // Makes the VMs use what the records have changed.
  async function sendRequests(): Promise<void> {
    await Promise.all(fleet.vms.flatMap((vm) => [
      fleet.send(vm, { path: "/book/1", key: KEY, method: "POST", body: "x" }),
      fleet.send(vm, { path: "/read/1", key: KEY }),
      fleet.send(vm, { path: "/open/1" }),
      fleet.resolveAddresses(vm, "zone-0"),
      sendRaw(
        { host: vm.host, port: VM_PORTS.metrics },
        Buffer.from("GET /metrics HTTP/1.1\r\n\r\n"),
      ),
    ]));
  }

  const timeoutMs = SECONDS * MS_PER_S + START_AND_STOP_MS;

  it("at an address of a VM harms nobody else", async () => {
    const ports = Object.values(VM_PORTS);
    await runBatches(
      fc.tuple(ODD_REQUESTS, fc.constantFrom(...ports), fc.nat(1)),
      async (batch) => {
        await Promise.all(
          batch.map(([bytes, port, index]) =>
            sendRaw({
              host: getVm(fleet, (vm) => vm.id === `vm-${index}`).host,
              port,
            }, bytes)
          ),
        );
        await expectServing();
      },
    );
  }, timeoutMs);

  it("in records of the store harms nobody", async () => {
    const records = fc.oneof(
      ...ODD_TOPICS.map(({ topic, keys, document }) =>
        fc.tuple(
          fc.constant(topic),
          fc.constantFrom(...keys),
          buildOddRecords(document),
        )
      ),
    );
    await runBatches(records, async (batch) => {
      for (const [topic, key, value] of batch) {
        fleet.store.put(topic, key, value);
      }
      await waitMs(SPREAD_MS);
      await sendRequests();
      expectAlive();
      for (const [topic, key] of batch) {
        fleet.store.put(topic, key, undefined);
      }
      await expectServing();
    });
  }, timeoutMs);

  it("in a configuration harms nobody once it is mended", async () => {
    await runBatches(buildOddRecords(ODD_CONFIGURATION), async (batch) => {
      // One in each run is read for sure; the others may be superseded unread.
      for (const bytes of batch.slice(0, 2)) {
        const version = fleet.takeConfigurationVersion();
        fleet.store.put(
          PROTOCOL_TOPIC.operators,
          PROTOCOL_TOPIC.configurationKey,
          Buffer.from(
            bytes.toString("utf8").replace(
              /"version":7\b/,
              `"version":${version}`,
            ),
          ),
        );
        await waitMs(SPREAD_MS);
        await sendRequests();
        expectAlive();
      }
      fleet.publishNextConfiguration();
      await expectServing();
    });
  }, timeoutMs);

  it("in answers of servers harms no other request", async () => {
    await runBatches(
      fc.tuple(ODD_RESPONSES, fc.constantFrom("close", "reset")),
      async (batch) => {
        for (const server of fleet.servers) {
          server.chooseRawResponse = ({ target, headers }) => {
            const [bytes, end] = batch[Number(target.split("/")[2])] ?? [];
            const id = `request-id: ${String(headers["request-id"])}\r\n`;
            return bytes === undefined || end === undefined ? undefined : {
              // Half of them name their request, or they would all be broken.
              bytes: bytes.length % 2 === 0
                ? bytes.toString("latin1").replace("\r\n", `\r\n${id}`)
                : bytes.toString("latin1"),
              end,
            };
          };
        }
        await Promise.all(batch.map((_, index) =>
          fleet.send(getVm(fleet), {
            path: `/${index % 2 === 0 ? "book" : "read"}/${index}`,
            key: KEY,
            timeLeftMs: 700,
            ...index % 2 === 0 ? { method: "POST", body: "x" } : {},
          })
        ));
        // One that has said that it leaves is used again once it has restarted.
        for (const server of fleet.servers) {
          fleet.publishRestart(server);
        }
        await expectServing();
      },
    );
  }, timeoutMs);

  it("in answers of the store harms nobody", async () => {
    const snapshot = {
      items: [{ key: "i-9", value: "e30=", offset: 3 }],
      has_more: false,
      end_offset: 4,
    };
    const answers = fc.oneof(
      ODD_RESPONSES,
      buildOddAnswers(buildOddRecords(snapshot)),
      buildOddAnswers(fc.uint8Array().map((bytes) => Buffer.from(bytes))),
    );
    await runBatches(answers, async (batch) => {
      const left = [...batch];
      fleet.store.chooseRawAnswer = () => left.pop();
      await fleet.waitUntil(() => left.length < BATCH / 2);
      fleet.store.chooseRawAnswer = undefined;
      await expectServing();
    });
  }, timeoutMs);

  it("in calls and replies of a peer ends no process", async () => {
    const replies = fc.oneof(
      ODD_RESPONSES,
      buildOddAnswers(buildOddRecords(SYNC_MESSAGE)),
    );
    const calls = fc.oneof(
      ...ODD_PEER_CALLS.map(({ path, document }) =>
        buildOddRecords(document).map((body) => encodeCall(path, body))
      ),
    );
    const peer = new OddPeer();
    await peer.start();
    try {
      await runBatches(fc.tuple(calls, replies), async (batch) => {
        await Promise.all(
          batch.flatMap(([call]) =>
            fleet.vms.map((vm) =>
              sendRaw({ host: vm.host, port: VM_PORTS.peer }, call)
            )
          ),
        );
        for (const [, reply] of batch) {
          peer.reply = reply;
          await Promise.all(
            fleet.vms.map((vm) =>
              sendRaw(
                { host: vm.host, port: VM_PORTS.peer },
                peer.introduction,
                INTRODUCE_MS,
              )
            ),
          );
          // News are sent to all partners at once.
          fleet.publishNextConfiguration();
          await waitMs(INTRODUCE_MS);
        }
        await sendRequests();
        expectAlive();
      });
      expect(peer.callCount).toBeGreaterThan(0);
    } finally {
      peer.stop();
    }
  }, timeoutMs);
});
