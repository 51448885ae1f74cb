import * as net from "node:net";

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import type { RawResponse } from "../platform/raw_response.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { CALLER_PORT, FleetProcesses } from "./fleet_processes.ts";
import { FETCH_KEY } from "./response_fetch.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const CALLERS = 10;
const BEFORE_STOP_MS = 150;
const PROCESSING_MS = 500;
const AFTER_MS = 1_000;
const END = "end";

// The first part of a response, which is longer than what a VM holds back.
function buildStart(id: string): string {
  const body = "x".repeat(300_000);
  return `HTTP/1.1 200 OK\r\n${PROTOCOL_HEADER.requestId}: ${id}\r\n` +
    `${PROTOCOL_HEADER.signature}: s\r\n` +
    `content-length: ${body.length + END.length}\r\n\r\n${body}`;
}

function buildRequest(id: string, method = "GET"): string {
  const path = method === "GET" ? "/read" : "/book";
  return `${method} ${path}/${id} HTTP/1.1\r\nhost: bands.example\r\n` +
    `${PROTOCOL_HEADER.callerKey}: ${FETCH_KEY}\r\n` +
    `${PROTOCOL_HEADER.requestId}: ${id}\r\n` +
    `${PROTOCOL_HEADER.timeLeftMs}: 4000\r\n` +
    (method === "GET" ? "\r\n" : "content-length: 0\r\n\r\n");
}

// Guards against requests of a kept connection that a VM has passed on, and whose
// connection it closes without an answer.
describe("a connection of a VM that stops", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  let sockets: net.Socket[];
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 3, zones: [2] });
    const [first] = fleet.vms;
    if (first === undefined) {
      throw new Error("the fleet has no VM");
    }
    vm = first;
    sockets = [];
  });
  afterEach(async () => {
    sockets.forEach((socket) => {
      socket.destroy();
    });
    await fleet.stop();
  });

  interface Caller {
    readonly socket: net.Socket;
    readonly read: () => string;
  }

  function connect(): Caller {
    let text = "";
    const socket = net.connect({ host: vm.host, port: CALLER_PORT });
    socket.on("data", (chunk) => text += chunk.toString("latin1"));
    socket.on("error", () => undefined);
    sockets.push(socket);
    return { socket, read: () => text };
  }

  // A GET may run twice.
  function countRun(): number {
    const received = fleet.servers.flatMap((server) => server.received);
    const run = received.filter(({ hasRun }) => hasRun);
    return new Set(run.map(({ target }) => target)).size;
  }

  it.each(["GET", "POST"])(
    "brings the responses to all pipelined requests: %s",
    async (method) => {
      for (const server of fleet.servers) {
        server.processingMs = PROCESSING_MS;
      }
      const callers = Array.from({ length: CALLERS }, () => connect());
      for (const [index, { socket }] of callers.entries()) {
        socket.write(buildRequest(`one-${index}`, method));
        setTimeout(() => {
          socket.write(buildRequest(`two-${index}`, method));
        }, BEFORE_STOP_MS / 2);
      }
      await waitMs(BEFORE_STOP_MS);
      vm.sendSignal("SIGTERM");
      await waitMs(PROCESSING_MS * 2 + AFTER_MS);
      const counts = callers.map(({ read }) =>
        read().split("HTTP/1.1 ").length - 1
      );
      expect(countRun()).toBe(2 * CALLERS);
      expect(counts).toEqual(callers.map(() => 2));
    },
  );

  it("passes on no request that crosses its close", async () => {
    for (const server of fleet.servers) {
      server.chooseRawResponse = ({ headers }): RawResponse => {
        const id = String(headers[PROTOCOL_HEADER.requestId]);
        return { bytes: buildStart(id), end: "none" };
      };
    }
    vm.sendSignal("SIGTERM");
    await waitMs(BEFORE_STOP_MS);
    const callers = Array.from({ length: CALLERS }, () => connect());
    for (const [index, { socket }] of callers.entries()) {
      socket.write(buildRequest(`one-${index}`, "POST"));
      socket.once("data", () => {
        socket.write(buildRequest(`two-${index}`, "POST"));
      });
    }
    await waitMs(PROCESSING_MS);
    fleet.servers.forEach((server) => {
      server.writeToAll(END);
    });
    await waitMs(AFTER_MS);
    expect(callers.map(({ read }) => read().endsWith(END)))
      .toEqual(callers.map(() => true));
    expect(countRun()).toBe(CALLERS);
  });
});
