import { execFileSync } from "node:child_process";

import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import { publishConfiguration } from "../platform/published_records.ts";
import { SERVER_BEHAVIOR } from "../platform/server_standin.ts";
import { STORE_FAULT } from "../platform/store_standin.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import { BUNDLE_DIRECTORY, type VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";

describe("a fleet of processes on the platform's store", () => {
  let fleet: FleetProcesses;
  let lead: VmProcessHandle;
  beforeAll(() => {
    execFileSync(process.execPath, ["tools/bundle.js", BUNDLE_DIRECTORY]);
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 3, zones: [2, 1] });
    await fleet.waitUntil(async () => {
      const found = await fleet.findLead("zone-0");
      if (found?.log.includes(`"lead":"${found.id}"`) !== true) {
        return false;
      }
      lead = found;
      return true;
    });
  });
  afterEach(async () => {
    await fleet.stop();
  });

  function countRuns(): number {
    return fleet.servers.reduce((sum, server) => sum + server.countRuns(), 0);
  }

  it("serves requests and passes on what the protocol names", async () => {
    const answer = await fleet.send(lead, {
      path: "/book/1?x=2",
      method: "POST",
      key: KEY,
      id: "r1",
      body: "deposit",
    });
    expect(answer.status).toBe(200);
    expect(answer.headers[PROTOCOL_HEADER.signature]).toMatch(/^signed-by-/);
    expect(answer.headers[PROTOCOL_HEADER.requestId]).toBe("r1");
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

  const refusals = [
    { name: "no key", request: { path: "/read/1" }, status: 401 },
    {
      name: "an unknown key",
      request: { path: "/read/1", key: "other" },
      status: 401,
    },
    { name: "no route", request: { path: "/none/1", key: KEY }, status: 404 },
    {
      name: "another host",
      request: { path: "/read/1", key: KEY, host: "other.example" },
      status: 404,
    },
    { name: "an open route", request: { path: "/open/1" }, status: 200 },
  ];
  it("answers what the head decides by itself", async () => {
    for (const { request, status } of refusals) {
      expect((await fleet.send(lead, request)).status).toBe(status);
    }
  });

  it("sends a request that may not be repeated once", async () => {
    for (const behavior of [SERVER_BEHAVIOR.fail, SERVER_BEHAVIOR.reset]) {
      const before = countRuns();
      for (const server of fleet.servers) {
        server.behavior = behavior;
      }
      const answer = await fleet.send(lead, {
        path: "/book/1",
        method: "POST",
        key: KEY,
        body: "x",
      });
      expect([500, 502]).toContain(answer.status);
      expect(countRuns() - before).toBe(1);
    }
  });

  it("sends a request again that was not run, or may be repeated", async () => {
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
        const answer = await fleet.send(lead, { path: "/read/1", key: KEY });
        expect(answer.status).toBe(200);
        expect(answer.body).toMatch(/^answer of i-[12]$/);
      }
    }
  });

  it("states no length for an answer that had none", async () => {
    for (const server of fleet.servers) {
      server.behavior = SERVER_BEHAVIOR.unframed;
    }
    const answer = await fleet.send(lead, { path: "/read/1", key: KEY });
    expect(answer.status).toBe(200);
    expect(answer.body).toMatch(/^answer of i-[0-2]$/);
    expect(answer.headers["content-length"]).toBeUndefined();
    expect(answer.headers["transfer-encoding"]).toBeUndefined();
    expect(answer.headers.connection).toBe("close");
  });

  it("passes on no part of an answer without a length that broke", async () => {
    for (const server of fleet.servers) {
      server.behavior = SERVER_BEHAVIOR.unframedCut;
    }
    const answer = await fleet.send(lead, {
      path: "/book/1",
      method: "POST",
      key: KEY,
      body: "x",
    });
    expect(answer.status).toBe(502);
  });

  it("puts a new configuration in force at every VM", async () => {
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

  it("refuses keys truly while it cannot know of withdrawals", async () => {
    fleet.store.fault = STORE_FAULT.silent;
    await fleet.waitUntil(async () =>
      (await fleet.send(lead, { path: "/read/1", key: KEY })).status === 503
    );
    expect((await fleet.send(lead, { path: "/open/1" })).status).toBe(200);
    fleet.store.fault = STORE_FAULT.none;
    await fleet.waitUntil(async () =>
      (await fleet.send(lead, { path: "/read/1", key: KEY })).status === 200
    );
  });

  it("sends nothing to a server that leaves", async () => {
    const [leaving] = fleet.servers;
    if (leaving === undefined) {
      throw new Error("no server");
    }
    fleet.publishLeaving(leaving);
    await new Promise((resolve) => setTimeout(resolve, 1_500));
    const before = leaving.received.length;
    for (let count = 0; count < 10; count++) {
      await fleet.send(lead, { path: "/read/1", key: KEY });
    }
    expect(leaving.received.length).toBe(before);
  });

  it("keeps a team within its rate over all VMs", async () => {
    const startedAtMs = Date.now();
    let served = 0;
    for (let round = 0; round < 12; round++) {
      const answers = await Promise.all(
        fleet.vms.map((vm) =>
          fleet.send(vm, { path: "/read/1", key: "key-of-small" })
        ),
      );
      served += answers.filter(({ status }) => status === 200).length;
      expect(answers.every(({ status }) => status === 200 || status === 429))
        .toBe(true);
    }
    const elapsedS = (Date.now() - startedAtMs) / 1_000;
    // Small shares are rounded up to one token for each VM.
    expect(served).toBeLessThanOrEqual(4 + 2 * elapsedS + fleet.vms.length);
    expect(served).toBeGreaterThan(0);
  });

  it("puts a configuration in force in time without hearing of others", async () => {
    const alone = fleet.vms.find((vm) => vm.zone === "zone-0" && vm !== lead);
    if (alone === undefined) {
      throw new Error("no other VM");
    }
    for (const vm of fleet.vms.filter((other) => other !== alone)) {
      vm.send("SIGSTOP");
    }
    publishConfiguration(fleet.store, 2, { hasRoutes: false });
    await fleet.waitUntil(
      async () => (await fleet.send(alone, { path: "/open/1" })).status === 404,
      2_000,
    );
  });

  it("names another VM when the lead dies, and keeps to it", async () => {
    lead.send("SIGKILL");
    await fleet.waitUntil(async () => {
      const other = fleet.vms.find((vm) => vm.zone === "zone-0" && vm !== lead);
      const [address] = other === undefined
        ? []
        : await fleet.listAddresses(other, "zone-0");
      return address !== undefined && !address.startsWith(`${lead.host}:`);
    }, 3_000);
  });

  it("answers what is in flight at a planned stop", async () => {
    for (const server of fleet.servers) {
      server.processingMs = 800;
    }
    const running = fleet.send(lead, { path: "/read/1", key: KEY });
    await fleet.waitUntil(() => countRuns() > 0);
    const ended = lead.waitExit();
    lead.send("SIGTERM");
    expect((await running).status).toBe(200);
    expect(await fleet.isReady(lead)).toBe(false);
    expect(await ended).toBe(0);
  });

  it("passes on at once that a caller has left", async () => {
    for (const server of fleet.servers) {
      server.behavior = SERVER_BEHAVIOR.hang;
    }
    const answer = await fleet.send(lead, {
      path: "/read/1",
      key: KEY,
      timeLeftMs: 400,
    });
    expect(answer.status).toBe(504);
  });
});
