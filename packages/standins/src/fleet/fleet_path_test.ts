import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import { publishConfiguration } from "../platform/published_records.ts";
import { SERVER_BEHAVIOR } from "../platform/server_standin.ts";
import { STORE_FAULT } from "../platform/store_standin.ts";
import { buildBundle } from "./bundle.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";

// Runs the bundled program, so that faults in its wiring, settings or adapters
// show that tests within one process cannot see.
describe("a fleet of processes on the platform's store", () => {
  let fleet: FleetProcesses;
  let leader: VmProcessHandle;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 3, zones: [2, 1] });
    await fleet.waitUntil(async () => {
      const found = await fleet.findLeader("zone-0");
      if (found?.log.includes(`"lead":"${found.id}"`) !== true) {
        return false;
      }
      leader = found;
      return true;
    });
  });
  afterEach(async () => {
    await fleet.stop();
  });

  function countRuns(): number {
    return fleet.servers.reduce((sum, server) => sum + server.countRuns(), 0);
  }

  it("forwards a request with the headers of the protocol", async () => {
    const response = await fleet.send(leader, {
      path: "/book/1?x=2",
      method: "POST",
      key: KEY,
      id: "r1",
      body: "deposit",
    });
    expect(response.status).toBe(200);
    expect(response.headers[PROTOCOL_HEADER.signature]).toMatch(/^signed-by-/);
    expect(response.headers[PROTOCOL_HEADER.requestId]).toBe("r1");
    const [served] = fleet.servers.flatMap((server) => server.received);
    expect(served).toMatchObject({
      method: "POST",
      target: "/book/1?x=2",
      body: "deposit",
      headers: {
        [PROTOCOL_HEADER.requestId]: "r1",
        [PROTOCOL_HEADER.team]: "dance",
      },
    });
    expect(served?.headers[PROTOCOL_HEADER.callerKey]).toBeUndefined();
    expect(Number(served?.headers[PROTOCOL_HEADER.timeLeftMs])).toBeLessThan(
      3_001,
    );
  });

  const headerCases = [
    { name: "missing key", request: { path: "/read/1" }, status: 401 },
    {
      name: "unknown key",
      request: { path: "/read/1", key: "other" },
      status: 401,
    },
    {
      name: "unknown route",
      request: { path: "/none/1", key: KEY },
      status: 404,
    },
    {
      name: "unknown host",
      request: { path: "/read/1", key: KEY, host: "other.example" },
      status: 404,
    },
    { name: "public route", request: { path: "/open/1" }, status: 200 },
  ];
  it("authenticates and routes by the request headers", async () => {
    for (const { request, status } of headerCases) {
      expect((await fleet.send(leader, request)).status).toBe(status);
    }
  });

  it("runs a non-idempotent request once when the server fails", async () => {
    for (const behavior of [SERVER_BEHAVIOR.fail, SERVER_BEHAVIOR.reset]) {
      const runsBefore = countRuns();
      for (const server of fleet.servers) {
        server.behavior = behavior;
      }
      const response = await fleet.send(leader, {
        path: "/book/1",
        method: "POST",
        key: KEY,
        body: "x",
      });
      expect([500, 502]).toContain(response.status);
      expect(countRuns() - runsBefore).toBe(1);
    }
  });

  it("retries an idempotent request on another server", async () => {
    const [first, second, third] = fleet.servers;
    for (
      const behavior of [
        SERVER_BEHAVIOR.fail,
        SERVER_BEHAVIOR.cut,
        SERVER_BEHAVIOR.crossed,
        SERVER_BEHAVIOR.shed,
      ]
    ) {
      if (first !== undefined && second !== undefined && third !== undefined) {
        first.behavior = behavior;
        second.behavior = SERVER_BEHAVIOR.answer;
        third.behavior = SERVER_BEHAVIOR.answer;
      }
      for (let count = 0; count < 6; count++) {
        const response = await fleet.send(leader, {
          path: "/read/1",
          key: KEY,
        });
        expect(response.status).toBe(200);
        expect(response.body).toMatch(/^answer of i-[12]$/);
      }
    }
  });

  it("gives a response that came without a length its own", async () => {
    for (const server of fleet.servers) {
      server.behavior = SERVER_BEHAVIOR.unframed;
    }
    const response = await fleet.send(leader, { path: "/read/1", key: KEY });
    expect(response.status).toBe(200);
    expect(response.body).toMatch(/^answer of i-[0-2]$/);
    expect(response.headers["content-length"]).toBe(
      String(response.body.length),
    );
    expect(response.headers["transfer-encoding"]).toBeUndefined();
  });

  it("answers 502 instead of part of a response that was reset", async () => {
    for (const server of fleet.servers) {
      server.behavior = SERVER_BEHAVIOR.unframedCut;
    }
    const response = await fleet.send(leader, {
      path: "/book/1",
      method: "POST",
      key: KEY,
      body: "x",
    });
    expect(response.status).toBe(502);
  });

  it("applies a new configuration at every VM", async () => {
    publishConfiguration(fleet.store, 2, { key: "new-key" });
    for (const vm of fleet.vms) {
      await fleet.waitUntil(
        async () =>
          (await fleet.send(vm, { path: "/read/1", key: KEY })).status ===
            401 &&
          (await fleet.send(vm, { path: "/read/1", key: "new-key" })).status ===
            200,
        2_000,
      );
    }
  });

  it("answers 503 to requests with a key while the store is unreachable", async () => {
    // Without the store a VM cannot learn that a key was withdrawn.
    fleet.store.fault = STORE_FAULT.silent;
    await fleet.waitUntil(async () =>
      (await fleet.send(leader, { path: "/read/1", key: KEY })).status === 503
    );
    expect((await fleet.send(leader, { path: "/open/1" })).status).toBe(200);
    fleet.store.fault = STORE_FAULT.none;
    await fleet.waitUntil(async () =>
      (await fleet.send(leader, { path: "/read/1", key: KEY })).status === 200
    );
  });

  it("sends no requests to a leaving server", async () => {
    const [leaving] = fleet.servers;
    if (leaving === undefined) {
      throw new Error("the fleet has no backend server");
    }
    fleet.publishLeaving(leaving);
    await new Promise((resolve) => setTimeout(resolve, 1_500));
    const countBefore = leaving.received.length;
    for (let count = 0; count < 10; count++) {
      await fleet.send(leader, { path: "/read/1", key: KEY });
    }
    expect(leaving.received.length).toBe(countBefore);
  });

  it("enforces a team's rate limit across all VMs", async () => {
    const startedAtMs = Date.now();
    let served = 0;
    for (let round = 0; round < 12; round++) {
      const responses = await Promise.all(
        fleet.vms.map((vm) =>
          fleet.send(vm, { path: "/read/1", key: "key-of-small" })
        ),
      );
      served += responses.filter(({ status }) => status === 200).length;
      expect(responses.every(({ status }) => status === 200 || status === 429))
        .toBe(true);
    }
    const elapsedS = (Date.now() - startedAtMs) / 1_000;
    // The limit is 2 requests/s with a burst of 4. Each VM's share is rounded up
    // to a whole token, which may admit one more request per VM.
    expect(served).toBeLessThanOrEqual(4 + 2 * elapsedS + fleet.vms.length);
    expect(served).toBeGreaterThan(0);
  });

  it("applies a configuration in time while all its peers are frozen", async () => {
    const isolated = fleet.vms.find((vm) =>
      vm.zone === "zone-0" && vm !== leader
    );
    if (isolated === undefined) {
      throw new Error("zone-0 has no VM besides the leader");
    }
    for (const vm of fleet.vms.filter((other) => other !== isolated)) {
      vm.sendSignal("SIGSTOP");
    }
    publishConfiguration(fleet.store, 2, { hasRoutes: false });
    await fleet.waitUntil(
      async () =>
        (await fleet.send(isolated, { path: "/open/1" })).status === 404,
      2_000,
    );
  });

  it("directs callers to another VM when the leader is killed", async () => {
    leader.sendSignal("SIGKILL");
    await fleet.waitUntil(async () => {
      const other = fleet.vms.find((vm) =>
        vm.zone === "zone-0" && vm !== leader
      );
      const [address] = other === undefined
        ? []
        : await fleet.resolveAddresses(other, "zone-0");
      return address !== undefined && !address.startsWith(`${leader.host}:`);
    }, 3_000);
  });

  it("completes requests in flight after SIGTERM", async () => {
    for (const server of fleet.servers) {
      server.processingMs = 800;
    }
    const running = fleet.send(leader, { path: "/read/1", key: KEY });
    await fleet.waitUntil(() => countRuns() > 0);
    const exitCode = leader.waitForExit();
    leader.sendSignal("SIGTERM");
    expect((await running).status).toBe(200);
    expect(await fleet.isReady(leader)).toBe(false);
    expect(await exitCode).toBe(0);
  });

  it("answers 504 when the server does not respond by the deadline", async () => {
    for (const server of fleet.servers) {
      server.behavior = SERVER_BEHAVIOR.hang;
    }
    const response = await fleet.send(leader, {
      path: "/read/1",
      key: KEY,
      timeLeftMs: 400,
    });
    expect(response.status).toBe(504);
  });
});
