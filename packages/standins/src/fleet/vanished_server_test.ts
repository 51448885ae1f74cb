import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import type { RawResponse } from "../platform/raw_response.ts";
import { LINK_FAULT } from "../platform/tcp_fault_proxy.ts";
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
const CALLERS = 10;
const PART = "x".repeat(9_000);
/** Time for which the link of a server brings nothing, in milliseconds. */
const STALL_MS = 900;
/** Time after which a server that has ended accepts connections again. */
const RESTART_MS = 600;

// Guards against the part of a server that ended midway, where a new connection
// does not show that: its host is gone as well, or its end arrives late.
describe("a part of a response without a length", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 3, zones: [1] });
    vm = getVm(fleet);
  });
  afterEach(async () => {
    await fleet.stop();
  });

  async function fetchAll(): Promise<readonly ReceivedResponse[]> {
    return await Promise.all(
      Array.from(
        { length: CALLERS },
        (_, index) => fetchResponse(vm, `/read/${index}`),
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
        return { bytes: buildUnsizedResponse(id, PART), end: "close" };
      };
    }
  }

  function listWholeParts(
    responses: readonly ReceivedResponse[],
  ): readonly ReceivedResponse[] {
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
