import type {
  CallerRequest,
  CallerResponse,
} from "../platform/caller_client.ts";
import {
  NOT_RUN_STATUSES,
  PROTOCOL_HEADER,
} from "../platform/protocol_names.ts";
import type { ReceivedRequest } from "../platform/server_standin.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import {
  SERVER_LINK_FAULT,
  type VmProcessHandle,
} from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const LIMITED_KEY = "key-of-small";
const LIMIT = { ratePerSecond: 20, burst: 20 };
const FORWARDED_HEADER = "limpetford-forwarded";
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_LIMITED = 429;
const DETECTION_MS = 1_500;
const PROCESSING_MS = 400;

// Guards against what may get lost between two VMs: limits, deadlines, the caller's
// leaving, and the truth about what has run.
describe("a request that is forwarded to another VM", () => {
  let fleet: FleetProcesses;
  let cutVms: readonly VmProcessHandle[];
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 6, zones: [2, 2] });
    fleet.publishNextConfiguration({ limit: LIMIT });
    await waitMs(1_500);
    cutVms = fleet.vms.filter(({ zone }) => zone === "zone-0");
    fleet.setServerLinkFault(cutVms, SERVER_LINK_FAULT.refused);
    // The VMs find out by requests that fail.
    for (let count = 0; count < 4; count++) {
      await Promise.all(cutVms.map((vm) => send(vm, { path: "/read/first" })));
    }
    await waitMs(DETECTION_MS);
  });
  afterEach(async () => {
    await fleet.stop();
  });

  async function send(
    vm: VmProcessHandle | undefined,
    request: CallerRequest,
  ): Promise<CallerResponse> {
    if (vm === undefined) {
      throw new Error("the fleet has no such VM");
    }
    return await fleet.send(vm, { key: KEY, ...request });
  }

  function listReceived(path: string): readonly ReceivedRequest[] {
    return fleet.servers.flatMap(({ received }) => received)
      .filter(({ target }) => target === path);
  }

  it("reaches a server as it was sent, but for headers between VMs", async () => {
    const response = await send(cutVms[0], {
      path: "/book/one?seat=4",
      method: "POST",
      body: "deposit",
      timeLeftMs: 2_000,
      headers: { [FORWARDED_HEADER]: "%7B%7D", "x-own": "kept" },
    });
    expect(response.status).toBe(STATUS_OK);
    expect(response.headers[FORWARDED_HEADER]).toBeUndefined();
    const [received, ...others] = listReceived("/book/one?seat=4");
    expect(others).toEqual([]);
    expect(received?.method).toBe("POST");
    expect(received?.body).toBe("deposit");
    expect(received?.headers["x-own"]).toBe("kept");
    expect(received?.headers[PROTOCOL_HEADER.team]).toBe("dance");
    expect(received?.headers[FORWARDED_HEADER]).toBeUndefined();
    expect(received?.headers[PROTOCOL_HEADER.callerKey]).toBeUndefined();
    const timeLeftMs = Number(received?.headers[PROTOCOL_HEADER.timeLeftMs]);
    expect(timeLeftMs).toBeGreaterThan(1_500);
    expect(timeLeftMs).toBeLessThanOrEqual(2_000);
  });

  it("is not taken from a caller for one of a VM", async () => {
    const response = await send(fleet.vms.at(-1), {
      path: "/nothing/there",
      headers: { [FORWARDED_HEADER]: "%7B%7D" },
    });
    expect(response.status).toBe(STATUS_NOT_FOUND);
  });

  it("counts once for its team's limit", async () => {
    const startMs = Date.now();
    const sent: Promise<CallerResponse>[] = [];
    for (let count = 0; count < 400; count++) {
      const vm = fleet.vms[count % fleet.vms.length];
      sent.push(send(vm, { path: "/read/limited", key: LIMITED_KEY }));
      await waitMs(10);
    }
    const statuses = (await Promise.all(sent)).map(({ status }) => status);
    const seconds = (Date.now() - startMs) / 1_000;
    const allowed = LIMIT.ratePerSecond * seconds + LIMIT.burst;
    const runs = listReceived("/read/limited").length;
    expect(runs).toBeLessThanOrEqual(allowed * 1.1 + 20);
    expect(runs).toBeGreaterThan(allowed * 0.5);
    expect(new Set(statuses)).toEqual(new Set([STATUS_OK, STATUS_LIMITED]));
  });

  it("runs once at most, and that is told truly, as its VM dies", async () => {
    for (const server of fleet.servers) {
      server.processingMs = PROCESSING_MS;
    }
    const sent = Array.from({ length: 12 }, async (_, count) => {
      const path = `/book/dying-${count}`;
      const response = await send(cutVms[count % cutVms.length], {
        path,
        method: "POST",
        body: "deposit",
      });
      return { path, status: response.status };
    });
    await waitMs(PROCESSING_MS / 2);
    for (const vm of fleet.vms.filter(({ zone }) => zone === "zone-1")) {
      vm.sendSignal("SIGKILL");
    }
    const ended = await Promise.all(sent);
    const runs = ended.map(({ path }) => listReceived(path).length);
    expect(Math.max(...runs)).toBe(1);
    const toldNotRun = ended.filter(({ path, status }) =>
      NOT_RUN_STATUSES.includes(status) && listReceived(path).length > 0
    );
    expect(toldNotRun).toEqual([]);
  });

  it("is answered while the VM that it is forwarded to stops", async () => {
    for (const server of fleet.servers) {
      server.processingMs = PROCESSING_MS;
    }
    const sent: Promise<CallerResponse>[] = [];
    const stopping = fleet.vms.filter(({ zone }) => zone === "zone-1");
    for (let count = 0; count < 300; count++) {
      if (count === 50) {
        stopping[0]?.sendSignal("SIGTERM");
      }
      sent.push(send(cutVms[count % cutVms.length], {
        path: `/book/stop-${count}`,
        method: "POST",
        body: "deposit",
      }));
      await waitMs(20);
    }
    const ended = await Promise.all(sent);
    // Each has run once, or was refused truly and can be sent again.
    const cutOff = ended.flatMap(({ status }, count) =>
      status === STATUS_OK ||
        (NOT_RUN_STATUSES.includes(status) &&
          listReceived(`/book/stop-${count}`).length === 0)
        ? []
        : [status]
    );
    expect(cutOff).toEqual([]);
  });

  it("ends at the server when its caller leaves", async () => {
    for (const server of fleet.servers) {
      server.processingMs = 2_000;
    }
    const path = "/read/left";
    await send(cutVms[0], { path, abortAfterMs: 300 });
    await fleet.waitUntil(
      () =>
        fleet.vms.some(({ log }) =>
          log.split("\n").some((line) =>
            line.includes("attempt-ended") && line.includes("cancelled") &&
            line.includes('"server":"i-')
          )
        ),
      1_000,
    );
    expect(listReceived(path).length).toBeLessThanOrEqual(2);
  });
});
