import * as net from "node:net";

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import type { RawResponse } from "../platform/raw_response.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { CALLER_PORT, FleetProcesses } from "./fleet_processes.ts";
import { readMetric } from "./vm_metrics.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const CALLERS = 400;
const SERVERS = 40;
/** Below what the VM collects for a caller that gets no chunks. */
const COLLECTED_BYTES = 250_000;
const ROUTE_TIMEOUT_SECONDS = 20;
const MS_PER_S = 1_000;
const CONFIGURATION_MS = 2_000;
const TEST_TIMEOUT_MS = 60_000;

// Guards against want of memory by responses that are collected for their length.
describe("responses collected for HTTP/1.0 callers", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  const sockets: net.Socket[] = [];
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses({ logLevel: "info" });
    await fleet.start({ servers: SERVERS, zones: [1] });
    fleet.publishNextConfiguration({ timeoutSeconds: ROUTE_TIMEOUT_SECONDS });
    await waitMs(CONFIGURATION_MS);
    vm = getVm(fleet);
  });
  afterEach(async () => {
    sockets.forEach((socket) => {
      socket.destroy();
    });
    await fleet.stop();
  });

  it("count for what the VM holds", async () => {
    let begun = 0;
    for (const server of fleet.servers) {
      server.chooseRawResponse = ({ headers }): RawResponse => {
        begun += 1;
        const id = String(headers[PROTOCOL_HEADER.requestId]);
        return {
          bytes: `HTTP/1.1 200 OK\r\n${PROTOCOL_HEADER.requestId}: ${id}\r\n` +
            `${PROTOCOL_HEADER.signature}: s\r\n\r\n` +
            "x".repeat(COLLECTED_BYTES),
          end: "none",
        };
      };
    }
    for (let index = 0; index < CALLERS; index++) {
      sockets.push(openCaller(vm, index));
    }
    // Connections and heads count as well, so fewer responses may hold as much.
    await fleet.waitUntil(() => begun >= CALLERS);
    await fleet.waitUntil(async () =>
      (await readMetric(vm, "held_bytes") ?? 0) > CALLERS * COLLECTED_BYTES
    );
    expect(begun).toBe(CALLERS);
  }, TEST_TIMEOUT_MS);
});

function openCaller(vm: VmProcessHandle, index: number): net.Socket {
  const socket = net.connect({ host: vm.host, port: CALLER_PORT }, () => {
    socket.write(
      `POST /book/${index} HTTP/1.0\r\nhost: bands.example\r\n` +
        "content-length: 0\r\n" +
        `${PROTOCOL_HEADER.callerKey}: ${KEY}\r\n` +
        `${PROTOCOL_HEADER.timeLeftMs}: ${
          ROUTE_TIMEOUT_SECONDS * MS_PER_S
        }\r\n` +
        `${PROTOCOL_HEADER.requestId}: held-${index}\r\n\r\n`,
    );
  });
  socket.on("error", () => undefined);
  return socket;
}
