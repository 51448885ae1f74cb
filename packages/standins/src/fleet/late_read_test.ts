import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import type { RawResponse } from "../platform/raw_response.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import {
  buildUnsizedResponse,
  fetchResponse,
  type ReceivedResponse,
} from "./response_fetch.ts";
import {
  SERVER_LINK_FAULT,
  type VmProcessHandle,
} from "./vm_process_handle.ts";

const STATUS_OK = 200;
const STATUS_BAD_GATEWAY = 502;
const CALLERS = 10;
const BODY = "x".repeat(9_000);
const LONG_BODY = "x".repeat(5_400_000);
const PAUSE_MS = 1_500;

// Guards against whole responses that are told as cut, and parts that are told as
// whole, since the VM read their ends late or makes no new connections.
describe("a response without a length", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 3, zones: [1, 1] });
    vm = getVm(fleet);
    await fleet.waitUntil(async () => await fleet.findLeader(vm.zone) === vm);
  });
  afterEach(async () => {
    await fleet.stop();
  });

  async function fetchAll(
    { count = CALLERS, method = "GET", stallMs = 0 } = {},
  ): Promise<readonly ReceivedResponse[]> {
    return await Promise.all(Array.from(
      { length: count },
      (_, index) =>
        fetchResponse(vm, `${method === "GET" ? "/read" : "/book"}/${index}`, {
          method,
          stallMs,
        }),
    ));
  }

  // Leaves idle connections to each server.
  async function openIdleConnections(): Promise<void> {
    for (const server of fleet.servers) {
      server.processingMs = 100;
    }
    await fetchAll({ count: 30 });
  }

  function setResponse(
    body: string,
    handleRequest: (index: number) => void,
  ): void {
    for (const [index, server] of fleet.servers.entries()) {
      server.chooseRawResponse = ({ headers }): RawResponse => {
        handleRequest(index);
        const id = String(headers[PROTOCOL_HEADER.requestId]);
        return { bytes: buildUnsizedResponse(id, body), end: "close" };
      };
    }
  }

  function stopVmBriefly(): void {
    vm.sendSignal("SIGSTOP");
    setTimeout(() => {
      vm.sendSignal("SIGCONT");
    }, PAUSE_MS);
  }

  it("arrives if the VM stood still when it came", async () => {
    await openIdleConnections();
    setResponse(BODY, stopVmBriefly);
    expect(await fetchResponse(vm, "/book/1", { method: "POST" }))
      .toEqual({ status: STATUS_OK, bytes: BODY.length, isComplete: true });
  });

  it("arrives if the VM's new connections are refused and older ones live", async () => {
    await openIdleConnections();
    setResponse(BODY, () => {
      fleet.setServerLinkFault([vm], SERVER_LINK_FAULT.newRefused);
    });
    expect(await fetchResponse(vm, "/book/1", { method: "POST" }))
      .toEqual({ status: STATUS_OK, bytes: BODY.length, isComplete: true });
  });

  it("is cut if its server has ended, and is back when a paused VM goes on", async () => {
    await openIdleConnections();
    setResponse(BODY, (index) => {
      stopVmBriefly();
      const link = fleet.serverLinks[index];
      link?.refuseNew();
      setImmediate(() => fleet.servers[index]?.closeConnections());
      setTimeout(() => {
        link?.setRefusing(false);
      }, PAUSE_MS / 2);
    });
    expect((await fetchResponse(vm, "/book/1", { method: "POST" })).status)
      .toBe(STATUS_BAD_GATEWAY);
  });

  it("arrives at slow callers", async () => {
    setResponse(LONG_BODY, () => undefined);
    const responses = await fetchAll({ method: "POST", stallMs: PAUSE_MS });
    expect(responses).toEqual(responses.map(() => ({
      status: STATUS_OK,
      bytes: LONG_BODY.length,
      isComplete: true,
    })));
  });
});
