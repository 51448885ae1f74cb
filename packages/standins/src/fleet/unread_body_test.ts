import * as net from "node:net";

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import { buildBundle } from "./bundle.ts";
import { CALLER_PORT, FleetProcesses } from "./fleet_processes.ts";
import { FETCH_KEY } from "./response_fetch.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const CALLERS = 10;
const PARTS = 30;
const PART = "b".repeat(30_000);
const PART_INTERVAL_MS = 10;

/** A path, and the status that it gets before its body has been read. */
const CASES = [["/nowhere/1", 404], ["/book/1", 401]] as const;

// Sends a long body part by part and reads when all of it has been sent.
function sendLongBody(vm: VmProcessHandle, path: string): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    const socket = net.connect({ host: vm.host, port: CALLER_PORT }, () => {
      const key = path.startsWith("/nowhere") ? FETCH_KEY : "unknown";
      socket.write(
        `POST ${path} HTTP/1.1\r\nhost: bands.example\r\n` +
          `${PROTOCOL_HEADER.callerKey}: ${key}\r\n` +
          `${PROTOCOL_HEADER.requestId}: ${path}\r\n` +
          `content-length: ${PARTS * PART.length}\r\n\r\n`,
      );
      let sentCount = 0;
      const timer = setInterval(() => {
        if (sentCount < PARTS) {
          socket.write(PART);
          sentCount += 1;
          return;
        }
        clearInterval(timer);
        socket.on("data", (chunk) => text += chunk.toString("latin1"));
      }, PART_INTERVAL_MS);
      socket.on("close", () => {
        clearInterval(timer);
        resolve(text);
      });
    });
    socket.on("error", () => undefined);
  });
}

// Guards against responses that a reset takes from callers that are still sending.
describe("a response before the end of its request's body", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  beforeAll(async () => {
    buildBundle();
    fleet = new FleetProcesses();
    await fleet.start({ servers: 1, zones: [1] });
    const [first] = fleet.vms;
    if (first === undefined) {
      throw new Error("the fleet has no VM");
    }
    vm = first;
  });
  afterAll(async () => {
    await fleet.stop();
  });

  it.each(CASES)(
    "reaches a caller that sends before it reads: %s",
    async (path, status) => {
      const responses = await Promise.all(
        Array.from({ length: CALLERS }, () => sendLongBody(vm, path)),
      );
      expect(responses.map((text) => text.slice(0, "HTTP/1.1 200".length)))
        .toEqual(responses.map(() => `HTTP/1.1 ${status}`));
    },
  );
});
