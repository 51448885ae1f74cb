import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import { type LoadTarget, sendMixedLoad } from "./mixed_load.ts";

const KEY = "key-of-small";
const LIMIT = { ratePerSecond: 40, burst: 40 };
const ZONES = [4, 4];
const SERVER_COUNT = 6;
const REQUEST_INTERVAL_MS = 8;
const BEFORE_MS = 4_000;
const DOWN_MS = 1_000;
const AFTER_MS = 8_000;
// The users' rule for any window, summed over all VMs.
const WINDOW_MS = 5_000;
const OVERSHOOT = 1.1;
const TOLERANCE = 20;
const ALLOWED =
  (LIMIT.ratePerSecond * WINDOW_MS / 1_000 + LIMIT.burst) * OVERSHOOT +
  TOLERANCE;
/** Time after the outage from which the limit can be used. */
const RECOVERY_MS = 3_000;
const MIN_USED_SHARE = 0.6;

// Guards against a team that goes over its limit, or gets next to nothing, after
// all VMs have lost their power at once.
describe("a team that sends too much over a loss of power everywhere", () => {
  let fleet: FleetProcesses;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: SERVER_COUNT, zones: ZONES });
    fleet.publishNextConfiguration({ limit: LIMIT });
    await waitMs(2_000);
  });
  afterEach(async () => {
    await fleet.stop();
  });

  async function sendRequests(forMs: number): Promise<void> {
    const options = { forMs, intervalMs: REQUEST_INTERVAL_MS };
    await sendMixedLoad(fleet, options, async ({ vm }: LoadTarget) => {
      await fleet.send(vm, { path: "/read/limited", key: KEY });
    });
  }

  function listRuns(): readonly number[] {
    return fleet.servers.flatMap(({ received }) => received)
      .filter(({ hasRun, target }) => hasRun && target === "/read/limited")
      .map(({ receivedAtMs }) => receivedAtMs);
  }

  it("stays within its limit in each window, and is served again", async () => {
    await sendRequests(BEFORE_MS);
    for (const vm of fleet.vms) {
      vm.sendSignal("SIGKILL");
    }
    await Promise.all(fleet.vms.map((vm) => vm.waitForExit()));
    await waitMs(DOWN_MS);
    const startMs = Date.now();
    await Promise.all(fleet.vms.map((vm) => fleet.startIfStopped(vm)));
    await sendRequests(AFTER_MS);
    const endMs = Date.now();
    const runs = listRuns();
    const most = Math.max(
      0,
      ...runs.map((first) =>
        runs.filter((atMs) => atMs >= first && atMs < first + WINDOW_MS).length
      ),
    );
    expect({ most, isKept: most <= ALLOWED }).toEqual({ most, isKept: true });
    const fromMs = startMs + RECOVERY_MS;
    const used = runs.filter((atMs) => atMs > fromMs).length;
    const possible = LIMIT.ratePerSecond * (endMs - fromMs) / 1_000;
    expect(used).toBeGreaterThan(MIN_USED_SHARE * possible);
  }, 60_000);
});
