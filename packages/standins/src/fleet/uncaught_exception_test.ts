import type { CallerResponse } from "../platform/caller_client.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { waitForLeader } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import { GRACE_PERIOD_SECONDS } from "./vm_bounds.ts";
import {
  INJECTED_EXCEPTION,
  type VmProcessHandle,
} from "./vm_process_handle.ts";

const KEY = "key-of-dance";
const STATUS_OK = 200;
const EXIT_FAILED = 1;
const MS_PER_S = 1_000;
const PROCESSING_MS = 1_000;
const BEFORE_EXCEPTION_MS = 300;
const BOOKINGS = 8;
/** Lines that exceptions may write while the process stops. */
const MAX_LINES = 20;

// Guards against one exception that ends a process with all requests in flight.
describe("an exception that nothing catches", () => {
  let fleet: FleetProcesses;
  let vm: VmProcessHandle;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses({ logLevel: "info" });
    await fleet.start({ servers: 4, zones: [2] });
    vm = await waitForLeader(fleet, "zone-0");
    for (const server of fleet.servers) {
      server.processingMs = PROCESSING_MS;
    }
  });
  afterEach(async () => {
    await fleet.stop();
  });

  async function sendBooking(index: number): Promise<CallerResponse> {
    return await fleet.send(vm, {
      path: `/book/${index}`,
      key: KEY,
      method: "POST",
      body: "deposit",
    });
  }

  function listLines(event: string): readonly string[] {
    return vm.log.split("\n").filter((line) =>
      line.includes(`"message":"${event}"`)
    );
  }

  it.each(Object.values(INJECTED_EXCEPTION))(
    "loses no request in flight: %s",
    async (exception) => {
      const sent = Array.from(
        { length: BOOKINGS },
        (_, index) => sendBooking(index),
      );
      await waitMs(BEFORE_EXCEPTION_MS);
      const thrownAtMs = Date.now();
      vm.sendException(exception);
      const exited = vm.waitForExit();
      const statuses = (await Promise.all(sent)).map(({ status }) => status);
      expect(statuses).toEqual(Array(BOOKINGS).fill(STATUS_OK));
      expect(await exited).toBe(EXIT_FAILED);
      expect(Date.now() - thrownAtMs)
        .toBeLessThan(GRACE_PERIOD_SECONDS * MS_PER_S);
      const lines = listLines("exception-uncaught");
      expect(lines.length).toBeGreaterThan(0);
      expect(lines.length).toBeLessThanOrEqual(MAX_LINES);
      expect(lines.filter((line) => !line.includes(`"level":"error"`)))
        .toEqual([]);
      expect(listLines("drain-started")).toHaveLength(1);
    },
  );
});
