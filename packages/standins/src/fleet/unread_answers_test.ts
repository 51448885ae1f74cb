import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";

const KEY = "key-of-dance";
const STATUS_OK = 200;
const REQUEST_COUNT = 10;
const PROCESSING_MS = 1_000;
/** The VM is held up from before the answers until after the route's timeout. */
const HELD_UP_MS = 3_200;
const CALLER_TIME_LEFT_MS = 8_000;

// Guards against answers that are thrown away for a timeout, although they lay
// unread at a VM that was behind.
describe("answers that arrived while a VM was held up", () => {
  let fleet: FleetProcesses;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 4, zones: [1] });
  });
  afterEach(async () => {
    await fleet.stop();
  });

  function countRuns(): number {
    return fleet.servers.reduce((sum, server) => sum + server.countRuns(), 0);
  }

  it("are delivered, also after the timeout", async () => {
    const vm = getVm(fleet);
    for (const server of fleet.servers) {
      server.processingMs = PROCESSING_MS;
    }
    const sent = Array.from(
      { length: REQUEST_COUNT },
      (_, index) =>
        fleet.send(vm, {
          path: `/book/${index}`,
          key: KEY,
          method: "POST",
          body: "deposit",
          timeLeftMs: CALLER_TIME_LEFT_MS,
        }),
    );
    await fleet.waitUntil(() => countRuns() === REQUEST_COUNT);
    vm.sendSignal("SIGSTOP");
    await waitMs(HELD_UP_MS);
    vm.sendSignal("SIGCONT");
    const statuses = (await Promise.all(sent)).map(({ status }) => status);
    expect(statuses).toEqual(sent.map(() => STATUS_OK));
  });
});
