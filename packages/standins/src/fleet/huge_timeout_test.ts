import { buildTimedConfiguration } from "../platform/odd_input_templates.ts";
import { PROTOCOL_TOPIC } from "../platform/protocol_names.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";

const KEY = "key-of-dance";
/** Time after an answer in which its connection is prepared for the next request. */
const SETTLE_MS = 300;
const STATUS_OK = 200;
/** Time within which a configuration is in force everywhere. */
const CONFIGURATION_MS = 2_000;

// Guards against a time in the configuration that no timer can keep, and that ends
// each process which answers a request by it.
describe("a huge time in a configuration", () => {
  let fleet: FleetProcesses;
  beforeAll(async () => {
    buildBundle();
    fleet = new FleetProcesses({ logLevel: "error" });
    await fleet.start({ servers: 2, zones: [1] });
  });
  afterAll(async () => {
    await fleet.stop();
  });

  it.each([1e9, 1e300, 1e306])("harms nobody: %d s", async (seconds) => {
    const version = fleet.takeConfigurationVersion();
    fleet.store.put(
      PROTOCOL_TOPIC.operators,
      PROTOCOL_TOPIC.configurationKey,
      buildTimedConfiguration(version, seconds),
    );
    await waitMs(CONFIGURATION_MS);
    const vm = getVm(fleet);
    const { status } = await fleet.send(vm, {
      path: "/read/1",
      key: KEY,
      headers: { connection: "keep-alive" },
      timeLeftMs: 999_999_999,
    });
    await waitMs(SETTLE_MS);
    expect(vm.log).not.toContain("exception-uncaught");
    expect(vm.log).not.toContain("exception-contained");
    expect(status).toBe(STATUS_OK);
  });
});
