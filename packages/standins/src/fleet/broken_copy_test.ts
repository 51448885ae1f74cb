import type { CallerResponse } from "../platform/caller_client.ts";
import {
  NOT_RUN_STATUSES,
  PROTOCOL_HEADER,
} from "../platform/protocol_names.ts";
import { publishServer } from "../platform/published_records.ts";
import type { RawResponse } from "../platform/raw_response.ts";
import { REPEATED_REFUSAL } from "../platform/repeated_refusal.ts";
import type { ServerStandin } from "../platform/server_standin.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";

const REQUEST_COUNT = 20;
/** Time between the copy of the refusal and the true answer. */
const PROCESSING_MS = 40;
/** Identifier under which the server was announced before it started again. */
const FORMER_ID = "i-former";

function buildSuccess(id: string): string {
  return `HTTP/1.1 200 OK\r\n${PROTOCOL_HEADER.requestId}: ${id}\r\n` +
    `${PROTOCOL_HEADER.signature}: s\r\ncontent-length: 6\r\n\r\nplaced`;
}

// Guards against a copy of an earlier response that breaks off on a kept connection.
describe("a copy of an earlier response that breaks off", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  let server: ServerStandin;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 1, zones: [1] });
    vm = getVm(fleet);
    const [first] = fleet.servers;
    if (first === undefined) {
      throw new Error("the fleet has no backend server");
    }
    server = first;
    server.processingMs = PROCESSING_MS;
  });
  afterEach(async () => {
    await fleet.stop();
  });

  function sendBooking(path: string): Promise<CallerResponse> {
    return fleet.send(vm, { path, key: KEY, method: "POST", body: "deposit" });
  }

  function countRuns(path: string): number {
    return server.received.filter((request) =>
      request.hasRun && request.target === path
    ).length;
  }

  it("does not end the VM if it breaks off within its body", async () => {
    let earlier: string | undefined;
    server.chooseRawResponse = ({ headers }): RawResponse => {
      const id = String(headers[PROTOCOL_HEADER.requestId]);
      if (earlier === undefined) {
        earlier = buildSuccess(id);
        return { bytes: earlier, end: "none" };
      }
      return { bytes: earlier.slice(0, -1), end: "close" };
    };
    await sendBooking("/book/0");
    await waitMs(10);
    await sendBooking("/book/1");
    await waitMs(500);
    expect(vm.log).not.toContain("exception-uncaught");
    expect(vm.ends).toEqual([]);
  });

  it("promises nothing of what has run if it breaks off within its status line", async () => {
    const [link] = fleet.serverLinks;
    if (link === undefined) {
      throw new Error("the backend server has no link");
    }
    publishServer(fleet.store, {
      id: FORMER_ID,
      address: link.address,
      isLeaving: false,
      sequence: 1,
    });
    await waitMs(500);
    server.repeatedRefusal = REPEATED_REFUSAL.broken;
    const untrue: (readonly [string, number, number])[] = [];
    for (let index = 0; index < REQUEST_COUNT; index++) {
      const path = `/book/${index}`;
      const { status } = await sendBooking(path);
      const runs = countRuns(path);
      if (runs > 1 || (runs > 0 && NOT_RUN_STATUSES.includes(status))) {
        untrue.push([path, status, runs]);
      }
      await waitMs(10);
    }
    expect(server.received.some(({ hasRun }) => !hasRun)).toBe(true);
    expect(untrue).toEqual([]);
  });
});
