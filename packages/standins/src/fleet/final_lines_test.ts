import { execFileSync } from "node:child_process";

import { type CallerRequest } from "../platform/caller_client.ts";
import {
  SERVER_BEHAVIOR,
  type ServerBehavior,
} from "../platform/server_standin.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import { BUNDLE_DIRECTORY, type VmProcessHandle } from "./vm_process_handle.ts";

const KEY = "key-of-dance";
/** Far more than a team without a token left gets granted meanwhile. */
const MOST_SENDINGS = 50;
const FINAL_EVENTS = [
  "request-answered",
  "request-refused",
  "request-abandoned",
];

interface FinalLine {
  readonly message: string;
  readonly request?: string;
  readonly cause?: string;
  readonly status?: number;
}

interface RequestEnding {
  readonly name: string;
  readonly behavior?: ServerBehavior;
  readonly request: CallerRequest;
  /** Sent again, each as a request of its own, until this is the answer. */
  readonly untilStatus?: number;
}

const POST = { method: "POST", body: "deposit" } as const;
const ENDINGS: readonly RequestEnding[] = [
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
    name: "crossed",
    behavior: SERVER_BEHAVIOR.crossed,
    request: { path: "/book/1", key: KEY, ...POST },
  },
  {
    name: "rejected everywhere",
    behavior: SERVER_BEHAVIOR.shed,
    request: { path: "/book/1", key: KEY, ...POST, timeLeftMs: 400 },
  },
  {
    name: "deadline",
    behavior: SERVER_BEHAVIOR.hang,
    request: { path: "/book/1", key: KEY, ...POST, timeLeftMs: 300 },
  },
  {
    name: "caller left",
    behavior: SERVER_BEHAVIOR.hang,
    request: { path: "/read/1", key: KEY, abortAfterMs: 200 },
  },
  { name: "no key", request: { path: "/read/1" } },
  { name: "unknown key", request: { path: "/read/1", key: "other" } },
  { name: "no route", request: { path: "/none/1", key: KEY } },
  {
    name: "over the rate",
    request: { path: "/read/1", key: "key-of-small" },
    untilStatus: 429,
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

describe("the lines of a request", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  beforeAll(async () => {
    execFileSync(process.execPath, ["tools/bundle.js", BUNDLE_DIRECTORY]);
    fleet = new FleetProcesses();
    await fleet.start({ servers: 3, zones: [1] });
    const [first] = fleet.vms;
    if (first === undefined) {
      throw new Error("no VM");
    }
    vm = first;
  });
  afterAll(async () => {
    await fleet.stop();
  });

  function listFinalLines(id: string): readonly FinalLine[] {
    return vm.log.split("\n")
      .filter((line) => line.startsWith("{") && line.endsWith("}"))
      .map((line) => JSON.parse(line) as FinalLine)
      .filter((line) =>
        line.request === id && FINAL_EVENTS.includes(line.message)
      );
  }

  it.each(ENDINGS)("end with exactly one: $name", async (ending) => {
    for (const server of fleet.servers) {
      server.behavior = ending.behavior ?? SERVER_BEHAVIOR.answer;
    }
    let id = "";
    let status = -1;
    for (let count = 0; count < MOST_SENDINGS; count++) {
      id = `ending-${ending.name.replaceAll(" ", "-")}-${count}`;
      ({ status } = await fleet.send(vm, { ...ending.request, id }));
      if (status === (ending.untilStatus ?? status)) {
        break;
      }
    }
    await fleet.waitUntil(() => listFinalLines(id).length > 0);
    await new Promise((resolve) => setTimeout(resolve, 300));
    const lines = listFinalLines(id).map((line) => ({
      event: line.message,
      cause: line.cause,
      status: line.status,
      seenByCaller: status,
    }));
    expect(lines).toMatchSnapshot();
    expect(lines).toHaveLength(1);
  });
});
