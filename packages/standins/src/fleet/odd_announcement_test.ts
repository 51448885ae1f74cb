import {
  ODD_KEYS,
  ODD_VALUES,
  SOUND_ANNOUNCEMENT,
} from "../platform/odd_announcements.ts";
import { PROTOCOL_TOPIC } from "../platform/protocol_names.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const FIRST_KEY = "key-of-dance";
const SECOND_KEY = "second-key-of-dance";
const STATUS_OK = 200;
const STATUS_UNAUTHORIZED = 401;
const REQUESTS = 12;
/** Time within which a configuration is in force everywhere. */
const CONFIGURATION_MS = 2_000;
// Guards against a record of another writer that ends the VMs which read it, or after
// which they no longer follow the store or each other.
describe("an odd entry among those of the servers", () => {
  let fleet: FleetProcesses;
  beforeAll(() => {
    buildBundle();
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
      fleet.store.put(PROTOCOL_TOPIC.servers, key, SOUND_ANNOUNCEMENT);
    }
    await waitMs(500);
    await expectFollowing();
  });
});
