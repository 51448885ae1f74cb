import { PROTOCOL_HEADER } from "../platform/protocol_names.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm, waitForLeader } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";

const KEY = "key-of-dance";
const REQUEST_COUNT = 20;
/** Shorter than the timeout of the route, so that it decides. */
const CALLER_TIME_LEFT_MS = 2_700;
/** Less than a third of the caller's time, after which it would leave. */
const HELD_UP_MS = 850;
/** The users' bound on the time that a server gets beyond the caller's. */
const ALLOWED_BEYOND_MS = 500;

// Guards against servers that work on when their callers' time is up, since the
// requests had lain unread at a VM that was behind.
describe("time left of requests that lay unread", () => {
  let fleet: FleetProcesses;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 10, zones: [2] });
    await waitMs(1_000);
  });
  afterEach(async () => {
    for (const vm of fleet.vms) {
      vm.sendSignal("SIGCONT");
    }
    await fleet.stop();
  });

  // Times beyond the callers' deadline that the servers got, one each request.
  function listBeyondMs(sentAtMs: number): readonly number[] {
    return fleet.servers.flatMap(({ received }) => received)
      .filter(({ receivedAtMs }) => receivedAtMs > sentAtMs)
      .filter(({ target }) => target.includes("unread"))
      .map(({ receivedAtMs, headers }) =>
        receivedAtMs + Number(headers[PROTOCOL_HEADER.timeLeftMs]) -
        (sentAtMs + CALLER_TIME_LEFT_MS)
      );
  }

  it.each(["leader", "follower"])(
    "reaches the servers without that time, at a %s",
    async (role) => {
      const leader = await waitForLeader(fleet, "zone-0");
      const vm = getVm(
        fleet,
        (other) => (other === leader) === (role === "leader"),
      );
      vm.sendSignal("SIGSTOP");
      const sentAtMs = Date.now();
      const sent = Array.from(
        { length: REQUEST_COUNT },
        (_, index) =>
          fleet.send(vm, {
            path: `/read/unread-${index}`,
            key: KEY,
            timeLeftMs: CALLER_TIME_LEFT_MS,
          }),
      );
      await waitMs(HELD_UP_MS);
      vm.sendSignal("SIGCONT");
      await Promise.all(sent);
      const beyondMs = listBeyondMs(sentAtMs);
      expect(beyondMs.length).toBeGreaterThanOrEqual(REQUEST_COUNT);
      expect(beyondMs.filter((ms) => ms > ALLOWED_BEYOND_MS)).toEqual([]);
    },
  );
});
