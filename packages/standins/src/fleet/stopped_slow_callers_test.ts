import * as http from "node:http";

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import type { RawResponse } from "../platform/raw_response.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { CALLER_PORT, FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const CALLERS = 60;
/** Sizes around what the kernel holds of a response that nobody reads. */
const FIRST_BYTES = 2_000_000;
const STEP_BYTES = 50_000;
/** Until after the time at which a VM with recent requests stops listening. */
const STALL_MS = 2_600;
const ROUTE_TIMEOUT_SECONDS = 20;
const TIME_LEFT_MS = 15_000;
const CONFIGURATION_MS = 2_000;
const BEFORE_STOP_MS = 200;

interface Received {
  readonly size: number;
  readonly bytes: number;
  readonly isComplete: boolean;
}

function fetchFrom(vm: VmProcessHandle, size: number): Promise<Received> {
  return new Promise((resolve) => {
    const request = http.get({
      host: vm.host,
      port: CALLER_PORT,
      path: `/read/${size}`,
      agent: false,
      headers: {
        host: "bands.example",
        [PROTOCOL_HEADER.callerKey]: KEY,
        [PROTOCOL_HEADER.requestId]: String(size),
        [PROTOCOL_HEADER.timeLeftMs]: TIME_LEFT_MS,
      },
    }, (response) => {
      let bytes = 0;
      setTimeout(() => {
        response.on("data", (chunk: Buffer) => bytes += chunk.length);
      }, STALL_MS);
      response.on("error", () => undefined);
      response.on("close", () => {
        resolve({ size, bytes, isComplete: response.complete });
      });
    });
    request.on("error", () => {
      resolve({ size, bytes: 0, isComplete: false });
    });
  });
}

// Guards against responses that a VM has ended, whose callers have not taken all of
// them, and that are thrown away when it stops.
describe("a slow caller", () => {
  let fleet: FleetProcesses;
  let stopped: VmProcessHandle;
  let other: VmProcessHandle;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 3, zones: [2] });
    fleet.publishNextConfiguration({ timeoutSeconds: ROUTE_TIMEOUT_SECONDS });
    await waitMs(CONFIGURATION_MS);
    const [first, second] = fleet.vms;
    if (first === undefined || second === undefined) {
      throw new Error("the fleet has too few VMs");
    }
    [stopped, other] = [first, second];
    for (const server of fleet.servers) {
      server.chooseRawResponse = ({ target, headers }): RawResponse => {
        const size = Number(target.split("/").at(-1));
        const id = String(headers[PROTOCOL_HEADER.requestId]);
        return {
          bytes: `HTTP/1.1 200 OK\r\n${PROTOCOL_HEADER.requestId}: ${id}\r\n` +
            `${PROTOCOL_HEADER.signature}: s\r\ncontent-length: ${size}\r\n` +
            `\r\n${"x".repeat(size)}`,
          end: "none",
        };
      };
    }
  });
  afterEach(async () => {
    await fleet.stop();
  });

  async function fetchAll(vm: VmProcessHandle): Promise<readonly Received[]> {
    return await Promise.all(
      Array.from(
        { length: CALLERS },
        (_, index) => fetchFrom(vm, FIRST_BYTES + STEP_BYTES * index),
      ),
    );
  }

  function listCut(received: readonly Received[]): readonly Received[] {
    return received.filter(({ isComplete }) => !isComplete);
  }

  it("gets all of a VM that goes on (control)", async () => {
    expect(listCut(await fetchAll(other))).toEqual([]);
  });

  it("gets all of a VM that stops", async () => {
    const fetched = fetchAll(stopped);
    await waitMs(BEFORE_STOP_MS);
    stopped.sendSignal("SIGTERM");
    expect(listCut(await fetched)).toEqual([]);
  });
});
