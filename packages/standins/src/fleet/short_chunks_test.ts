import * as net from "node:net";

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { CALLER_PORT, FleetProcesses } from "./fleet_processes.ts";
import { readDeployedFlags } from "./vm_metrics.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const STATUS_OK = 200;
const TIMEOUT_SECONDS = 20;
const BODY_SIZES = [1_000, 100_000, 1_000_000];

function sendShortChunks(vm: VmProcessHandle, bytes: number): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    const socket = net.connect(CALLER_PORT, vm.host);
    socket.on("error", () => undefined);
    socket.on("data", (chunk) => text += chunk.toString("latin1"));
    socket.on("close", () => {
      resolve(text);
    });
    socket.write(
      `POST /book/1 HTTP/1.1\r\nhost: bands.example\r\nconnection: close\r\n` +
        `${PROTOCOL_HEADER.requestId}: r-${bytes}\r\n` +
        `${PROTOCOL_HEADER.callerKey}: ${KEY}\r\n` +
        "transfer-encoding: chunked\r\n\r\n",
    );
    socket.write(`${"1\r\nx\r\n".repeat(bytes)}0\r\n\r\n`);
  });
}

// Guards against bodies inside all limits that are refused for the size of their
// chunks.
describe("a body in chunks of one byte, in calm", () => {
  let fleet: FleetProcesses;
  beforeAll(async () => {
    buildBundle();
    fleet = new FleetProcesses({
      logLevel: "info",
      nodeFlags: readDeployedFlags(),
    });
    await fleet.start({ servers: 2, zones: [1] });
    fleet.publishNextConfiguration({ timeoutSeconds: TIMEOUT_SECONDS });
    await new Promise((resolve) => setTimeout(resolve, 2_000));
  });
  afterAll(async () => {
    await fleet.stop();
  });

  it.each(BODY_SIZES)("is served: %i bytes", async (bytes) => {
    const text = await sendShortChunks(getVm(fleet), bytes);
    expect(text.startsWith(`HTTP/1.1 ${STATUS_OK} `)).toBe(true);
    const [received] = fleet.servers.flatMap((server) =>
      server.received.filter(({ body }) => body.length === bytes)
    );
    expect(received?.body).toBe("x".repeat(bytes));
  });
});
