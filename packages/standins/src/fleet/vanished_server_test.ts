import { execFileSync } from "node:child_process";
import * as http from "node:http";

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import type { RawResponse } from "../platform/raw_response.ts";
import { LINK_FAULT } from "../platform/tcp_fault_proxy.ts";
import { CALLER_PORT, FleetProcesses } from "./fleet_processes.ts";
import {
  BUNDLE_DIRECTORY,
  SERVER_LINK_FAULT,
  type VmProcessHandle,
} from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const STATUS_OK = 200;
const CALLERS = 10;
const PART = "x".repeat(9_000);
/** Time for which the link of a server brings nothing, in milliseconds. */
const STALL_MS = 900;
/** Time after which a server that has ended accepts connections again. */
const RESTART_MS = 600;

interface Received {
  readonly status: number;
  readonly bytes: number;
  readonly isComplete: boolean;
}

function fetchFrom(vm: VmProcessHandle, path: string): Promise<Received> {
  return new Promise((resolve) => {
    const request = http.get({
      host: vm.host,
      port: CALLER_PORT,
      path,
      agent: false,
      headers: {
        host: "bands.example",
        [PROTOCOL_HEADER.callerKey]: KEY,
        [PROTOCOL_HEADER.requestId]: path,
        [PROTOCOL_HEADER.timeLeftMs]: 3_000,
      },
    }, (response) => {
      let bytes = 0;
      response.on("data", (chunk: Buffer) => bytes += chunk.length);
      response.on("error", () => undefined);
      response.on("close", () => {
        const { statusCode: status = 0, complete: isComplete } = response;
        resolve({ status, bytes, isComplete });
      });
    });
    request.on("error", () => {
      resolve({ status: 0, bytes: 0, isComplete: false });
    });
  });
}

function buildPart(id: string): string {
  return `HTTP/1.1 200 OK\r\n${PROTOCOL_HEADER.requestId}: ${id}\r\n` +
    `${PROTOCOL_HEADER.signature}: s\r\n\r\n${PART}`;
}

// Guards against the part of a server that ended midway, where a new connection
// does not show that: its host is gone as well, or its end arrives late.
describe("a part of a response without a length", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  beforeAll(() => {
    execFileSync(process.execPath, ["tools/bundle.js", BUNDLE_DIRECTORY]);
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 3, zones: [1] });
    const [first] = fleet.vms;
    if (first === undefined) {
      throw new Error("the fleet has no VM");
    }
    vm = first;
  });
  afterEach(async () => {
    await fleet.stop();
  });

  async function fetchAll(): Promise<readonly Received[]> {
    return await Promise.all(
      Array.from(
        { length: CALLERS },
        (_, index) => fetchFrom(vm, `/read/${index}`),
      ),
    );
  }

  // Each server sends a part of its next response, and its process ends.
  function setEnd(handleEnd: (server: number) => void): void {
    for (const [index, server] of fleet.servers.entries()) {
      server.chooseRawResponse = ({ headers }): RawResponse => {
        const id = String(headers[PROTOCOL_HEADER.requestId]);
        server.chooseRawResponse = undefined;
        handleEnd(index);
        setImmediate(() => {
          server.closeConnections();
        });
        return { bytes: buildPart(id), end: "close" };
      };
    }
  }

  function listWholeParts(responses: readonly Received[]): readonly Received[] {
    return responses.filter(({ status, bytes, isComplete }) =>
      status === STATUS_OK && isComplete && bytes === PART.length
    );
  }

  it("is no whole if the server's host is gone with it", async () => {
    await fetchAll();
    setEnd(() => undefined);
    fleet.setServerLinkFault([vm], SERVER_LINK_FAULT.newSilent);
    await new Promise((resolve) => setTimeout(resolve, 100));
    expect(listWholeParts(await fetchAll())).toEqual([]);
  });

  it("is no whole if its end arrives when the server is back", async () => {
    await fetchAll();
    setEnd((index) => {
      const link = fleet.serverLinks[index];
      link?.setFault(LINK_FAULT.stalled);
      link?.refuseNew();
      setTimeout(() => link?.setRefusing(false), RESTART_MS);
      setTimeout(() => link?.setFault(LINK_FAULT.none), STALL_MS);
    });
    expect(listWholeParts(await fetchAll())).toEqual([]);
  });
});
