import type {
  CallerRequest,
  CallerResponse,
} from "../platform/caller_client.ts";
import type { ReceivedRequest } from "../platform/server_standin.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import {
  SERVER_LINK_FAULT,
  type VmProcessHandle,
} from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
const CRASH_DELAY_MS = 60;
const DOWN_MS = 1_500;
const ZONES = [2, 2];
const SERVER_COUNT = 12;
/** Time within which the fleet must react once three servers have crashed. */
const REACTION_MS = 3_000;
/** Runs that the users' rules allow after that time. */
const ALLOWED_LATE_RUNS = 3;
const REPEAT_MS = 300;
const RUN_MS = 9_000;
/** A crash near the end of the route's time, which is 3 s. */
const LATE_CRASH_DELAY_MS = 2_500;
const DEPARTURE_MS = 300;
const DETECTION_MS = 1_500;
const DEPARTED_REPEAT_MS = 2_000;
const DEPARTED_RUN_MS = 24_000;

interface CrashingRequest {
  readonly name: string;
  readonly requests: readonly CallerRequest[];
  /** True if the caller does not wait for answers. */
  readonly isUnanswered?: boolean;
}

const CRASHING_REQUESTS: readonly CrashingRequest[] = [
  {
    name: "an idempotent request",
    requests: [{ path: "/read/crash", key: KEY }],
  },
  {
    name: "a request that is not idempotent, with and without a length",
    requests: [
      { path: "/book/crash", method: "POST", key: KEY, body: "deposit" },
      {
        path: "/book/crash",
        method: "POST",
        key: KEY,
        body: "deposit",
        isChunked: true,
      },
    ],
  },
  { name: "a request without a key", requests: [{ path: "/open/crash" }] },
  {
    name: "an idempotent request whose caller leaves before the crash",
    requests: [
      { path: "/read/crash", key: KEY, abortAfterMs: CRASH_DELAY_MS - 20 },
    ],
    isUnanswered: true,
  },
];

// Guards against a request that crashes each server which runs it: its caller
// sends it again with a new identifier, at any VM, and each sending takes
// another server down.
describe("a request that crashes servers", () => {
  let fleet: FleetProcesses;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: SERVER_COUNT, zones: ZONES });
    for (const server of fleet.servers) {
      server.processingMs = 30;
      server.crashBehavior = {
        isCrashing: ({ target }) => target.endsWith("/crash"),
        delayMs: CRASH_DELAY_MS,
        downMs: DOWN_MS,
      };
    }
  });
  afterEach(async () => {
    await fleet.stop();
  });

  // Sends the requests in turn at the VMs in turn, whatever the answers are.
  async function sendRepeatedly(
    requests: readonly CallerRequest[],
    options: {
      readonly everyMs: number;
      readonly forMs: number;
      readonly vms?: readonly VmProcessHandle[];
    },
  ): Promise<readonly CallerResponse[]> {
    const { vms = fleet.vms } = options;
    const endAtMs = Date.now() + options.forMs;
    const sent: Promise<CallerResponse>[] = [];
    while (Date.now() < endAtMs) {
      const vm = vms[sent.length % vms.length];
      const request = requests[sent.length % requests.length];
      if (vm !== undefined && request !== undefined) {
        sent.push(fleet.send(vm, request));
      }
      await waitMs(options.everyMs);
    }
    return await Promise.all(sent);
  }

  function listRuns(afterMs: number): readonly ReceivedRequest[] {
    return fleet.servers.flatMap(({ received }) => received).filter((run) =>
      run.target.endsWith("/crash") && run.receivedAtMs > afterMs
    );
  }

  function countRuns(afterMs = 0): number {
    return listRuns(afterMs).length;
  }

  function findLateMs(): number {
    const crashes = fleet.servers.flatMap(({ crashedAtMs }) => crashedAtMs);
    const thirdAtMs = crashes.sort((a, b) => a - b)[2] ?? Infinity;
    return thirdAtMs + REACTION_MS;
  }

  function countLateRuns(): number {
    return countRuns(findLateMs());
  }

  // Hedges of one sending count once, as the rule counts retries.
  function countLateSendings(): number {
    const late = listRuns(findLateMs());
    return new Set(late.map(({ headers }) => headers["request-id"])).size;
  }

  // VMs without links to the servers forward what they receive to others. They
  // find out by requests that fail.
  async function prepareForwarding(): Promise<readonly VmProcessHandle[]> {
    const vms = fleet.vms.filter(({ zone }) => zone === "zone-0");
    fleet.setServerLinkFault(vms, SERVER_LINK_FAULT.refused);
    const first = [{ path: "/read/first", key: KEY }];
    await sendRepeatedly(first, { everyMs: 50, forMs: 500, vms });
    await waitMs(DETECTION_MS);
    return vms;
  }

  async function stopAllVms(): Promise<void> {
    for (const vm of fleet.vms) {
      vm.sendSignal("SIGKILL");
    }
    await Promise.all(fleet.vms.map((vm) => vm.waitForExit()));
    await Promise.all(fleet.vms.map((vm) => fleet.startIfStopped(vm)));
    await fleet.waitUntil(() => fleet.isFleetReady());
  }

  it.each(CRASHING_REQUESTS)(
    "is refused soon after the third crash: $name",
    async ({ requests, isUnanswered }) => {
      const [crashing, others] = await Promise.all([
        sendRepeatedly(requests, { everyMs: REPEAT_MS, forMs: RUN_MS }),
        sendRepeatedly([{ path: "/read/other", key: KEY }], {
          everyMs: 50,
          forMs: RUN_MS,
        }),
      ]);
      expect(countLateRuns()).toBeLessThanOrEqual(ALLOWED_LATE_RUNS);
      const patient = { path: "/read/crash", key: KEY };
      const answered = isUnanswered === true
        ? await sendRepeatedly([patient], { everyMs: 1, forMs: 1 })
        : crashing;
      const last = answered.at(-1);
      expect(last?.status).toBe(STATUS_UNAVAILABLE);
      expect(Number(last?.headers["retry-after"])).toBeGreaterThan(0);
      const lastOthers = others.slice(-others.length / 3);
      expect(lastOthers.map(({ status }) => status)).toEqual(
        lastOthers.map(() => STATUS_OK),
      );
    },
    40_000,
  );

  // Guards against crashes that come long after the VM has given up the request.
  it.each([
    {
      name: "though its caller left 2 s before",
      hasCutVms: false,
    },
    {
      name: "though its caller left 2 s before and another VM sent it",
      hasCutVms: true,
    },
  ])(
    "is refused soon after the third crash, $name",
    async ({ hasCutVms }) => {
      const vms = hasCutVms ? await prepareForwarding() : fleet.vms;
      for (const server of fleet.servers) {
        server.crashBehavior = {
          isCrashing: ({ target }) => target.endsWith("/crash"),
          delayMs: LATE_CRASH_DELAY_MS,
          downMs: DOWN_MS,
        };
      }
      const impatient = {
        path: "/read/crash",
        key: KEY,
        abortAfterMs: DEPARTURE_MS,
      };
      const [, others] = await Promise.all([
        sendRepeatedly([impatient], {
          everyMs: DEPARTED_REPEAT_MS,
          forMs: DEPARTED_RUN_MS,
          vms,
        }),
        sendRepeatedly([{ path: "/read/other", key: KEY }], {
          everyMs: 50,
          forMs: DEPARTED_RUN_MS,
        }),
      ]);
      expect(countLateSendings()).toBeLessThanOrEqual(ALLOWED_LATE_RUNS);
      const patient = { path: "/read/crash", key: KEY };
      const answers = await Promise.all(
        fleet.vms.map((vm) => fleet.send(vm, patient)),
      );
      expect(answers.map(({ status }) => status)).toEqual(
        fleet.vms.map(() => STATUS_UNAVAILABLE),
      );
      // VMs that forward pass on the refusal, but not its reason.
      const sending = fleet.vms.flatMap((vm, index) =>
        hasCutVms && vms.includes(vm) ? [] : [answers[index]?.body]
      );
      expect(sending.filter((body) => body?.includes("quarantined") !== true))
        .toEqual([]);
      const lastOthers = others.slice(-others.length / 3);
      expect(lastOthers.map(({ status }) => status)).toEqual(
        lastOthers.map(() => STATUS_OK),
      );
    },
    60_000,
  );

  it("stays refused after all VMs were killed", async () => {
    const requests = [{ path: "/read/crash", key: KEY }];
    await sendRepeatedly(requests, { everyMs: REPEAT_MS, forMs: 5_000 });
    await stopAllVms();
    await sendRepeatedly(requests, { everyMs: REPEAT_MS, forMs: 4_000 });
    expect(countLateRuns()).toBeLessThanOrEqual(ALLOWED_LATE_RUNS);
  }, 40_000);

  // Guards against VMs that serve callers before they know what the store keeps.
  it("does not run at VMs that have just started", async () => {
    const requests = [{ path: "/read/crash", key: KEY }];
    await sendRepeatedly(requests, { everyMs: REPEAT_MS, forMs: 5_000 });
    const countBefore = countRuns();
    const stopped = stopAllVms();
    await sendRepeatedly(requests, { everyMs: 15, forMs: 4_000 });
    await stopped;
    expect(countRuns() - countBefore).toBeLessThanOrEqual(ALLOWED_LATE_RUNS);
    const other = { path: "/read/other", key: KEY };
    const [answer] = await sendRepeatedly([other], { everyMs: 1, forMs: 1 });
    expect(answer?.status).toBe(STATUS_OK);
  }, 40_000);

  it.each([
    {
      name: "is not confused with a popular one in flight at other crashes",
      departures: [],
    },
    {
      name: "is not confused with a popular one that most callers leave",
      departures: [5, 10, 15],
    },
  ])(
    "$name",
    async ({ departures }) => {
      const request = { path: "/read/popular", key: KEY };
      const departing = departures.map((abortAfterMs) => ({
        ...request,
        abortAfterMs,
      }));
      const all = sendRepeatedly([...departing, request], {
        everyMs: 10,
        forMs: RUN_MS,
      });
      for (const count of [4, 1, 1, 3, 1, 1, 1, 2, 1]) {
        await waitMs(800);
        const running = fleet.servers.filter(({ isDown }) => !isDown);
        for (const server of running.slice(0, count)) {
          server.stopAbruptly(DOWN_MS);
        }
      }
      const every = departures.length + 1;
      const responses = (await all).filter((_, index) =>
        index % every === departures.length
      );
      const served = responses.filter(({ status }) => status === STATUS_OK);
      expect(served.length / responses.length).toBeGreaterThan(0.95);
      expect(responses.map(({ body }) => body).join()).not.toContain(
        "quarantined",
      );
    },
    40_000,
  );
});
