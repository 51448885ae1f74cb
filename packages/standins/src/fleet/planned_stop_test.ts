import * as http from "node:http";

import type { CallerResponse } from "../platform/caller_client.ts";
import { SERVER_BEHAVIOR } from "../platform/server_standin.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { waitForLeader } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import { GRACE_PERIOD_SECONDS } from "./vm_bounds.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const STATUS_OK = 200;
const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const KEPT_CALLERS = 14;
const NEW_CALLER_INTERVAL_MS = 80;
const BEFORE_STOP_MS = 3_000;
const MS_PER_S = 1_000;
const WARM_UP_REQUESTS = 12;
/** Time after the signal at which requests are taken that may last long. */
const EARLY_IN_STOP_MS = 1_000;
/** Slots of all servers together, and requests beyond them. */
const SLOTS = 160;
const WAITING = 6;

interface EndedRequest {
  readonly path: string;
  readonly sentAtMs: number;
  readonly response: CallerResponse;
}

// Guards against requests that are taken late in a planned stop, cannot end in time
// and are cut when the process exits.
describe("a planned stop of a leader", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  let ended: EndedRequest[];
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 8, zones: [2, 2] });
    await waitMs(1_000);
    vm = await waitForLeader(fleet, "zone-0");
    ended = [];
  });
  afterEach(async () => {
    await fleet.stop();
  });

  async function send(index: string, agent?: http.Agent): Promise<boolean> {
    const isBooking = ended.length % 2 === 0;
    const path = `/${isBooking ? "book" : "read"}/${index}`;
    const sentAtMs = Date.now();
    const response = await fleet.send(vm, {
      path,
      key: KEY,
      ...isBooking ? { method: "POST", body: "deposit" } : {},
      ...agent === undefined ? {} : { agent },
    });
    ended.push({ path, sentAtMs, response });
    return vm.isRunning();
  }

  // Sends one request after the other on one connection until the process is gone.
  async function keepSending(caller: number): Promise<void> {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let count = 0;
    while (await send(`kept-${caller}-${count}`, agent)) {
      count += 1;
      await waitMs(5);
    }
    agent.destroy();
  }

  // Sends bookings so that durations of their route are known.
  async function sendUsual(): Promise<void> {
    for (let count = 0; count < WARM_UP_REQUESTS; count++) {
      await sendBooking(`usual-${count}`);
    }
  }

  async function sendBooking(index: string): Promise<CallerResponse> {
    return await fleet.send(vm, {
      path: `/book/${index}`,
      key: KEY,
      method: "POST",
      body: "deposit",
    });
  }

  function countRuns(path: string): number {
    return fleet.servers.flatMap(({ received }) => received).filter((request) =>
      request.hasRun && request.target === path
    ).length;
  }

  it.each([100, 1_000, 2_400])(
    "cuts nothing that it has passed on, with servers that take %d ms",
    async (processingMs) => {
      for (const server of fleet.servers) {
        server.processingMs = processingMs;
      }
      const callers = Array.from(
        { length: KEPT_CALLERS },
        (_, caller) => keepSending(caller),
      );
      await waitMs(BEFORE_STOP_MS);
      const stoppedAtMs = Date.now();
      vm.sendSignal("SIGTERM");
      for (let count = 0; vm.isRunning(); count++) {
        callers.push(send(`new-${count}`).then(() => undefined));
        await waitMs(NEW_CALLER_INTERVAL_MS);
      }
      await Promise.all(callers);
      const cut = ended.filter(({ path, response }) =>
        response.status === 0 && countRuns(path) > 0
      );
      expect(
        cut.map(({ path, sentAtMs }) => [path, sentAtMs - stoppedAtMs]),
      ).toEqual([]);
      const untrue = ended.filter(({ path, response }) =>
        response.status === STATUS_UNAVAILABLE && countRuns(path) > 0
      );
      expect(untrue.map(({ path }) => path)).toEqual([]);
      const served = ended.filter(({ sentAtMs, response }) =>
        sentAtMs > stoppedAtMs && response.status === STATUS_OK
      );
      expect(served.length).toBeGreaterThan(0);
    },
  );

  // Guards against a booking that is taken late and lasts longer than all before it.
  it("cuts no booking that lasts longer than the others", async () => {
    const stopAfterMs = GRACE_PERIOD_SECONDS * MS_PER_S;
    await sendUsual();
    vm.sendSignal("SIGTERM");
    await waitMs(0.55 * stopAfterMs);
    for (const server of fleet.servers) {
      server.processingMs = 0.45 * stopAfterMs;
    }
    const response = await sendBooking("long");
    expect(response.status === 0 && countRuns("/book/long") > 0).toBe(false);
  });

  // Guards against a second signal that ends the process at once.
  it("cuts no booking if another signal follows", async () => {
    for (const server of fleet.servers) {
      server.processingMs = MS_PER_S;
    }
    const booking = sendBooking("in-flight");
    await waitMs(MS_PER_S / 4);
    for (const signal of ["SIGTERM", "SIGTERM", "SIGINT"] as const) {
      vm.sendSignal(signal);
      await waitMs(50);
    }
    expect((await booking).status).toBe(STATUS_OK);
  });

  // Guards against a person at a terminal who can't tell why the process ended.
  it("ends at once by a second SIGINT, and says so", async () => {
    for (const server of fleet.servers) {
      server.processingMs = MS_PER_S;
    }
    const booking = sendBooking("in-flight");
    await waitMs(MS_PER_S / 4);
    vm.sendSignal("SIGINT");
    await waitMs(MS_PER_S / 4);
    expect(vm.isRunning()).toBe(true);
    const exited = vm.waitForExit();
    vm.sendSignal("SIGINT");
    expect(await exited).toBeNull();
    expect((await booking).status).toBe(0);
    expect(vm.log).toContain("second SIGINT");
  });

  // Guards against requests that wait for a slot until the process exits, and hear
  // nothing then.
  it("tells what has not ended whether it was sent", async () => {
    await sendUsual();
    vm.sendSignal("SIGTERM");
    await waitMs(EARLY_IN_STOP_MS);
    for (const server of fleet.servers) {
      server.behavior = SERVER_BEHAVIOR.hang;
    }
    const sent = Array.from(
      { length: SLOTS + WAITING },
      (_, index) => sendBooking(`hanging-${index}`),
    );
    const responses = await Promise.all(sent);
    const notRun = responses.filter((_, index) =>
      countRuns(`/book/hanging-${index}`) === 0
    );
    expect(notRun.length).toBeGreaterThan(0);
    expect(notRun.filter(({ status }) => status !== STATUS_UNAVAILABLE))
      .toEqual([]);
    const sentToServers = responses.filter((response) =>
      !notRun.includes(response)
    );
    expect(sentToServers.filter(({ status }) => status !== STATUS_BAD_GATEWAY))
      .toEqual([]);
  });
});
