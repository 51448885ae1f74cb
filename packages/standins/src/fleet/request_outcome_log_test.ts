import type { CallerRequest } from "../platform/caller_client.ts";
import {
  SERVER_BEHAVIOR,
  type ServerBehavior,
} from "../platform/server_standin.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
/** Well above the requests that the small team's rate limit admits. */
const MAX_SENDS = 50;
const OUTCOME_EVENTS = [
  "request-answered",
  "request-refused",
  "request-abandoned",
];

/** Log line that states the outcome of a request. */
interface OutcomeLine {
  readonly message: string;
  readonly request?: string;
  readonly cause?: string;
  readonly status?: number;
}

interface RequestCase {
  readonly name: string;
  readonly behavior?: ServerBehavior;
  readonly request: CallerRequest;
  /** New requests are sent until one gets this status; default one request. */
  readonly repeatUntilStatus?: number;
}

const POST = { method: "POST", body: "deposit" } as const;
const REQUEST_CASES: readonly RequestCase[] = [
  { name: "served", request: { path: "/read/1", key: KEY } },
  {
    name: "failed by the server",
    behavior: SERVER_BEHAVIOR.fail,
    request: { path: "/book/1", key: KEY, ...POST },
  },
  {
    name: "reset",
    behavior: SERVER_BEHAVIOR.reset,
    request: { path: "/book/1", key: KEY, ...POST },
  },
  {
    name: "cut",
    behavior: SERVER_BEHAVIOR.cut,
    request: { path: "/book/1", key: KEY, ...POST },
  },
  {
    name: "response to another request",
    behavior: SERVER_BEHAVIOR.crossed,
    request: { path: "/book/1", key: KEY, ...POST },
  },
  {
    name: "shed by every server",
    behavior: SERVER_BEHAVIOR.shed,
    request: { path: "/book/1", key: KEY, ...POST, timeLeftMs: 400 },
  },
  {
    name: "deadline",
    behavior: SERVER_BEHAVIOR.hang,
    request: { path: "/book/1", key: KEY, ...POST, timeLeftMs: 300 },
  },
  {
    name: "caller disconnected",
    behavior: SERVER_BEHAVIOR.hang,
    request: { path: "/read/1", key: KEY, abortAfterMs: 200 },
  },
  { name: "missing key", request: { path: "/read/1" } },
  { name: "unknown key", request: { path: "/read/1", key: "other" } },
  { name: "unknown route", request: { path: "/none/1", key: KEY } },
  {
    name: "over the rate limit",
    request: { path: "/read/1", key: "key-of-small" },
    repeatUntilStatus: 429,
  },
  {
    name: "body too large",
    request: {
      path: "/read/1",
      method: "POST",
      key: KEY,
      body: "x".repeat(1_100_000),
    },
  },
];

// Guards against a request that ends without an outcome line in the log, or
// with two: each way in which a request can end logs from another place.
describe("request outcome log", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  beforeAll(async () => {
    buildBundle();
    fleet = new FleetProcesses();
    await fleet.start({ servers: 3, zones: [1] });
    vm = getVm(fleet);
  });
  afterAll(async () => {
    await fleet.stop();
  });

  function listOutcomeLines(id: string): readonly OutcomeLine[] {
    return vm.log.split("\n")
      .filter((line) => line.startsWith("{") && line.endsWith("}"))
      .map((line) => JSON.parse(line) as OutcomeLine)
      .filter((line) =>
        line.request === id && OUTCOME_EVENTS.includes(line.message)
      );
  }

  it.each(REQUEST_CASES)(
    "logs exactly one outcome: $name",
    async (testCase) => {
      for (const server of fleet.servers) {
        server.behavior = testCase.behavior ?? SERVER_BEHAVIOR.answer;
      }
      let id = "";
      let status = -1;
      for (let count = 0; count < MAX_SENDS; count++) {
        id = `ending-${testCase.name.replaceAll(" ", "-")}-${count}`;
        ({ status } = await fleet.send(vm, { ...testCase.request, id }));
        if (status === (testCase.repeatUntilStatus ?? status)) {
          break;
        }
      }
      await fleet.waitUntil(() => listOutcomeLines(id).length > 0);
      await new Promise((resolve) => setTimeout(resolve, 300));
      const lines = listOutcomeLines(id).map((line) => ({
        event: line.message,
        cause: line.cause,
        status: line.status,
        seenByCaller: status,
      }));
      expect(lines).toMatchSnapshot();
      expect(lines).toHaveLength(1);
    },
  );
});
