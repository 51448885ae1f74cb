import * as http from "node:http";
import * as net from "node:net";

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { CALLER_PORT, FleetProcesses } from "./fleet_processes.ts";
import { VM_PORTS } from "./vm_ports.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const ROUNDS = 40;
const PIPELINED = 50;

async function readMetrics(vm: VmProcessHandle): Promise<readonly string[]> {
  const text = await new Promise<string>((resolve, reject) => {
    http.get(
      { host: vm.host, port: VM_PORTS.metrics, path: "/metrics" },
      (response) => {
        let body = "";
        response.on("data", (chunk) => body += String(chunk));
        response.on("end", () => {
          resolve(body);
        });
      },
    ).on("error", reject);
  });
  return text.split("\n").filter((line) =>
    /held|in_flight/.test(line) && !line.startsWith("#")
  );
}

// Guards against shares of the memory budget that nobody closes.
describe("callers that send many requests at once and leave", () => {
  let fleet: FleetProcesses;
  beforeAll(() => {
    buildBundle();
  });
  afterEach(async () => {
    await fleet.stop();
  });

  it.each(["destroy", "reset"] as const)(
    "leave no memory held: %s",
    async (way) => {
      fleet = new FleetProcesses({ logLevel: "info" });
      await fleet.start({ servers: 3, zones: [1] });
      const vm = getVm(fleet);
      fleet.servers.forEach((server) => {
        server.processingMs = 300;
      });
      const before = await readMetrics(vm);
      for (let round = 0; round < ROUNDS; round++) {
        const socket = net.connect({ host: vm.host, port: CALLER_PORT });
        socket.on("error", () => undefined);
        socket.on("connect", () => {
          for (let index = 0; index < PIPELINED; index++) {
            socket.write(
              `GET /read/${round}-${index} HTTP/1.1\r\nhost: bands.example\r\n` +
                `${PROTOCOL_HEADER.callerKey}: key-of-dance\r\n` +
                `${PROTOCOL_HEADER.requestId}: ${round}-${index}\r\n\r\n`,
            );
          }
          setTimeout(() => {
            if (way === "reset") {
              socket.resetAndDestroy();
            } else {
              socket.destroy();
            }
          }, 100);
        });
        await waitMs(10);
      }
      await waitMs(7_000);
      const after = await readMetrics(vm);
      expect(after).toEqual(before);
    },
  );
});
