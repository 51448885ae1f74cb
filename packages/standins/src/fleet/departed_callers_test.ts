import * as net from "node:net";

import type {
  CallerRequest,
  CallerResponse,
} from "../platform/caller_client.ts";
import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { waitForLeader } from "./fleet_lookup.ts";
import { CALLER_PORT, FleetProcesses } from "./fleet_processes.ts";
import {
  SERVER_LINK_FAULT,
  type VmProcessHandle,
} from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const STATUS_OK = 200;
/** Time after which a caller leaves that has got no response. */
const PATIENCE_MS = 150;
/** The users' bounds on work for callers that have left. */
const ALLOWED_LATE_MS = 500;
const ALLOWED_LATE_REQUESTS = 3;
const CALLER_COUNT = 40;
const HELD_UP_MS = 3_000;
/** Of each period, the time for which a slow VM runs. */
const SLOW_RUN_MS = 5;
const SLOW_PERIOD_MS = 100;
const SLOW_FOR_MS = 4_000;
const SETTLE_MS = 1_500;
const PIPELINED_COUNT = 3;

/** A request whose caller left without a response. */
interface AbandonedRequest {
  readonly path: string;
  readonly leftAtMs: number;
}

// Guards against work for callers that left while their request lay unread at a VM
// that was behind.
describe("requests of callers that have left", () => {
  let fleet: FleetProcesses;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 6, zones: [2, 2] });
    await waitMs(1_000);
  });
  afterEach(async () => {
    for (const vm of fleet.vms) {
      vm.sendSignal("SIGCONT");
    }
    await fleet.stop();
  });

  function buildRequest(path: string, index: number): CallerRequest {
    return index % 2 === 0
      ? { path: `/read/${path}`, key: KEY }
      : { path: `/book/${path}`, key: KEY, method: "POST", body: "deposit" };
  }

  async function sendAndLeave(
    vm: VmProcessHandle,
    request: CallerRequest,
  ): Promise<AbandonedRequest | undefined> {
    const response = await fleet.send(vm, {
      ...request,
      abortAfterMs: PATIENCE_MS,
    });
    return response.status === 0
      ? { path: request.path, leftAtMs: Date.now() }
      : undefined;
  }

  // Sends requests one behind the other, without waiting for the responses.
  async function sendPipelinedAndLeave(
    vm: VmProcessHandle,
    paths: readonly string[],
    mayLeave: Promise<void>,
  ): Promise<readonly AbandonedRequest[]> {
    const socket = net.connect(CALLER_PORT, vm.host);
    socket.on("error", () => undefined);
    const heads = paths.map((path) =>
      `GET ${path} HTTP/1.1\r\nhost: bands.example\r\n` +
      `${PROTOCOL_HEADER.requestId}: ${path}\r\n` +
      `${PROTOCOL_HEADER.timeLeftMs}: 3000\r\n` +
      `${PROTOCOL_HEADER.callerKey}: ${KEY}\r\n\r\n`
    );
    socket.write(heads.join(""));
    await mayLeave;
    socket.destroy();
    return paths.map((path) => ({ path, leftAtMs: Date.now() }));
  }

  // Requests that reached a server too late after their callers had left.
  function listLate(
    abandoned: readonly (AbandonedRequest | undefined)[],
  ): readonly string[] {
    const leftAtMs = new Map(
      abandoned.flatMap((request) =>
        request === undefined ? [] : [[request.path, request.leftAtMs]]
      ),
    );
    return fleet.servers.flatMap(({ received }) => received).filter((request) =>
      request.receivedAtMs >
        (leftAtMs.get(request.target) ?? Infinity) + ALLOWED_LATE_MS
    ).map(({ target }) => target);
  }

  // Runs the process for a small part of the time only.
  async function runSlowly(
    vm: VmProcessHandle,
    untilMs: number,
  ): Promise<void> {
    while (Date.now() < untilMs) {
      vm.sendSignal("SIGSTOP");
      await waitMs(SLOW_PERIOD_MS - SLOW_RUN_MS);
      vm.sendSignal("SIGCONT");
      await waitMs(SLOW_RUN_MS);
    }
  }

  it("are not sent by a VM that was held up", async () => {
    const vm = await waitForLeader(fleet, "zone-0");
    await fleet.send(vm, buildRequest("warm", 0));
    vm.sendSignal("SIGSTOP");
    const abandoned = await Promise.all(
      Array.from(
        { length: CALLER_COUNT },
        (_, index) => sendAndLeave(vm, buildRequest(`held-${index}`, index)),
      ),
    );
    await waitMs(HELD_UP_MS - PATIENCE_MS);
    const staying: Promise<CallerResponse>[] = Array.from(
      { length: 10 },
      (_, index) => fleet.send(vm, buildRequest(`stay-${index}`, index)),
    );
    await waitMs(50);
    vm.sendSignal("SIGCONT");
    const statuses = (await Promise.all(staying)).map(({ status }) => status);
    await waitMs(SETTLE_MS);
    expect(abandoned.filter(Boolean)).toHaveLength(CALLER_COUNT);
    expect(listLate(abandoned).length).toBeLessThanOrEqual(
      ALLOWED_LATE_REQUESTS,
    );
    expect(statuses).toEqual(staying.map(() => STATUS_OK));
  });

  it("are not sent by a VM that is slow", async () => {
    const vm = await waitForLeader(fleet, "zone-0");
    await fleet.send(vm, buildRequest("warm", 0));
    const endAtMs = Date.now() + SLOW_FOR_MS;
    const slow = runSlowly(vm, endAtMs);
    const sent: Promise<AbandonedRequest | undefined>[] = [];
    for (let index = 0; Date.now() < endAtMs - SETTLE_MS; index++) {
      sent.push(sendAndLeave(vm, buildRequest(`slow-${index}`, index)));
      await waitMs(4);
    }
    const abandoned = await Promise.all(sent);
    await slow;
    await waitMs(SETTLE_MS);
    expect(abandoned.filter(Boolean).length).toBeGreaterThan(CALLER_COUNT);
    expect(listLate(abandoned).length).toBeLessThanOrEqual(
      ALLOWED_LATE_REQUESTS,
    );
  });

  it.each([
    { name: "held up", isHeldUp: true },
    { name: "waiting for the first response", isHeldUp: false },
  ])("are not sent where they came one behind the other: $name", async (
    { isHeldUp },
  ) => {
    const vm = await waitForLeader(fleet, "zone-0");
    await fleet.send(vm, buildRequest("warm", 0));
    for (const server of fleet.servers) {
      server.processingMs = HELD_UP_MS;
    }
    if (isHeldUp) {
      vm.sendSignal("SIGSTOP");
    }
    const countReceived = (): number =>
      fleet.servers.flatMap(({ received }) => received).length;
    const mayLeave = isHeldUp
      ? waitMs(PATIENCE_MS)
      : fleet.waitUntil(() => countReceived() > fleet.servers.length);
    const abandoned = await Promise.all(
      Array.from({ length: CALLER_COUNT }, (_, index) => {
        const paths = Array.from(
          { length: PIPELINED_COUNT },
          (_item, at) => `/read/piped-${index}-${at}`,
        );
        return sendPipelinedAndLeave(vm, paths, mayLeave);
      }),
    );
    await waitMs(HELD_UP_MS - PATIENCE_MS);
    vm.sendSignal("SIGCONT");
    await waitMs(SETTLE_MS);
    expect(countReceived() > 1).toBe(!isHeldUp);
    expect(listLate(abandoned.flat()).length).toBeLessThanOrEqual(
      ALLOWED_LATE_REQUESTS,
    );
  });

  it("are not sent by another VM that was held up", async () => {
    const cutVms = fleet.vms.filter(({ zone }) => zone === "zone-0");
    const others = fleet.vms.filter(({ zone }) => zone === "zone-1");
    fleet.setServerLinkFault(cutVms, SERVER_LINK_FAULT.refused);
    // The VMs find out by requests that fail.
    for (let count = 0; count < 4; count++) {
      await Promise.all(
        cutVms.map((vm) => fleet.send(vm, buildRequest(`find-${count}`, 0))),
      );
    }
    await waitMs(SETTLE_MS);
    for (const vm of others) {
      vm.sendSignal("SIGSTOP");
    }
    const abandoned = await Promise.all(
      cutVms.flatMap((vm) =>
        Array.from(
          { length: CALLER_COUNT },
          (_, index) =>
            sendAndLeave(vm, buildRequest(`other-${vm.id}-${index}`, index)),
        )
      ),
    );
    await waitMs(HELD_UP_MS - PATIENCE_MS);
    for (const vm of others) {
      vm.sendSignal("SIGCONT");
    }
    await waitMs(SETTLE_MS);
    expect(listLate(abandoned).length).toBeLessThanOrEqual(
      ALLOWED_LATE_REQUESTS,
    );
  });
});
