import { execFileSync } from "node:child_process";

import { PROTOCOL_TOPIC } from "../platform/protocol_names.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import { BUNDLE_DIRECTORY, type VmProcessHandle } from "./vm_process_handle.ts";

const FIRST_KEY = "key-of-dance";
const SECOND_KEY = "second-key-of-dance";
const STATUS_OK = 200;
const STATUS_UNAUTHORIZED = 401;
/** Levels of nesting that fit into the largest record of the store. */
const NESTING_LEVELS = 60_000;
const LARGE_BYTES = 200_000;
const REQUESTS = 12;
/** Time within which a configuration is in force everywhere. */
const CONFIGURATION_MS = 2_000;
const VALID = {
  service: "bands",
  address: "127.0.0.1:9",
  zone: "zone-0",
  version: "v1",
  slots: 3,
  state: "ready",
  warmup_remaining_s: 0,
  sequence_number: 1,
  born: 1,
};

function buildNested(open: string, close: string): string {
  return open.repeat(NESTING_LEVELS) + close.repeat(NESTING_LEVELS);
}

// A record with one field replaced by JSON text, which may be no valid value.
function buildOdd(field: string, text: string): string {
  const fields = Object.entries(VALID).filter(([name]) => name !== field)
    .map(([name, value]) => `"${name}":${JSON.stringify(value)}`);
  return `{${[...fields, `"${field}":${text}`].join(",")}}`;
}

const NUMBERS = ["1e999", "-1e999", "1e308", "9007199254740993", "-1"];
/** A number that is an integer, but no sensible value of these fields. */
const LARGE_INTEGER = "1000000000000000";
const NUMBERS_BY_FIELD: ReadonlyMap<string, readonly string[]> = new Map([
  ["slots", [...NUMBERS, LARGE_INTEGER]],
  ["warmup_remaining_s", [...NUMBERS, LARGE_INTEGER]],
  ["sequence_number", NUMBERS],
  ["born", [...NUMBERS, LARGE_INTEGER]],
]);
const ADDRESSES = [
  "127.0.0.1:65536",
  "127.0.0.1:0",
  "127.0.0.1:99999999999999999999",
  "127.0.0.1:-1",
  "127.0.0.1",
  "255.255.255.255:80",
  "0.0.0.0:1",
];
const NESTED = [buildNested("[", "]"), buildNested('{"a":', "}")];
const ODD_VALUES: ReadonlyMap<string, readonly string[]> = new Map([
  ["too deeply nested", [
    ...NESTED,
    ...["extra", "service", "state", "slots"].flatMap((field) =>
      NESTED.map((text) => buildOdd(field, text))
    ),
  ]],
  [
    "numbers too large",
    [...NUMBERS_BY_FIELD].flatMap(([field, numbers]) =>
      numbers.map((text) => buildOdd(field, text))
    ),
  ],
  [
    "addresses out of range",
    ADDRESSES.map((address) => buildOdd("address", JSON.stringify(address))),
  ],
  ["names out of range", [
    buildOdd("service", JSON.stringify("s".repeat(LARGE_BYTES))),
    buildOdd("service", '"__proto__"'),
    buildOdd("zone", '"\\u0000\\r\\nx"'),
    buildOdd("__proto__", '{"slots":1}'),
    "\u0000",
    "null",
    "1e999",
  ]],
]);
/** Keys of records that cannot be identifiers of servers. */
const ODD_KEYS = ["i-\r\nx: y", "\u0000", "i-\u{1f409}", "__proto__", ""];

// Guards against a record of another writer that ends the VMs which read it, or after
// which they no longer follow the store or each other.
describe("an odd entry among those of the servers", () => {
  let fleet: FleetProcesses;
  beforeAll(() => {
    execFileSync(process.execPath, ["tools/bundle.js", BUNDLE_DIRECTORY]);
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 4, zones: [2, 2] });
    await waitMs(1_000);
  });
  afterEach(async () => {
    await fleet.stop();
  });

  async function listStatuses(
    vm: VmProcessHandle,
    key: string,
  ): Promise<readonly number[]> {
    const sent = Array.from(
      { length: REQUESTS },
      (_, index) =>
        fleet.send(vm, {
          path: `/book/${index}`,
          key,
          method: "POST",
          body: "deposit",
        }),
    );
    return (await Promise.all(sent)).map(({ status }) => status);
  }

  // The VMs must know a new configuration and serve by it, with the sound servers.
  async function expectFollowing(): Promise<void> {
    fleet.publishNextConfiguration({ key: SECOND_KEY });
    await waitMs(CONFIGURATION_MS);
    for (const vm of fleet.vms) {
      expect(vm.isRunning()).toBe(true);
      expect(new Set(await listStatuses(vm, SECOND_KEY)))
        .toEqual(new Set([STATUS_OK]));
      expect(new Set(await listStatuses(vm, FIRST_KEY)))
        .toEqual(new Set([STATUS_UNAUTHORIZED]));
      expect(vm.log).not.toContain("message-malformed");
    }
    for (const server of fleet.servers) {
      expect(server.countRuns()).toBeGreaterThan(0);
      server.received.length = 0;
    }
  }

  it.each([...ODD_VALUES])("changes nothing: %s", async (_name, values) => {
    for (const [index, value] of values.entries()) {
      const bytes = Buffer.from(value);
      fleet.store.put(PROTOCOL_TOPIC.servers, `odd-${index}`, bytes);
      // The servers go on announcing themselves under their own identifiers.
      const server = fleet.servers[index % fleet.servers.length];
      fleet.store.put(PROTOCOL_TOPIC.servers, server?.id ?? "", bytes);
    }
    await waitMs(500);
    await expectFollowing();
    // A VM that starts reads the records in a snapshot.
    const [vm] = fleet.vms;
    vm?.sendSignal("SIGKILL");
    await vm?.waitForExit();
    if (vm !== undefined) {
      await fleet.startIfStopped(vm);
    }
    await fleet.waitUntil(() => fleet.isFleetReady());
    await expectFollowing();
  });

  it("changes nothing: a key that is no identifier", async () => {
    for (const key of ODD_KEYS) {
      fleet.store.put(PROTOCOL_TOPIC.servers, key, VALID);
    }
    await waitMs(500);
    await expectFollowing();
  });
});
