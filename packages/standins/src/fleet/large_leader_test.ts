import * as http from "node:http";

import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { getVm } from "./fleet_lookup.ts";
import { FleetProcesses } from "./fleet_processes.ts";

const KEY = "key-of-dance";
const ZONE = "zone-0";
const STATUS_OK = 200;
const SMALL_CORES = 0.27;
const LARGE_CORES = 1.35;
/** Longer than the time for which a silent leader's claim holds. */
const AWAY_MS = 4_000;
/** The users' bound on the time until callers are served as before. */
const RECOVERY_MS = 15_000;
const CALL_INTERVAL_MS = 20;

// Guards against a small VM that came to lead while the large one was away and
// keeps all callers of its zone.
describe("the callers of a zone with a large VM", () => {
  let fleet: FleetProcesses;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses({ logLevel: "error" });
    await fleet.start({
      servers: 4,
      zones: [4],
      cores: [SMALL_CORES, SMALL_CORES, SMALL_CORES, LARGE_CORES],
    });
  });
  afterEach(async () => {
    for (const vm of fleet.vms) {
      vm.sendSignal("SIGCONT");
    }
    await fleet.stop();
  });

  async function listLeaderCores(): Promise<readonly (number | undefined)[]> {
    const running = fleet.vms.filter((vm) => vm.isRunning());
    const leaders = await Promise.all(
      running.map((vm) => fleet.resolveLeader(vm, ZONE)),
    );
    return leaders.map((leader) => leader?.cores);
  }

  async function waitUntilLed(cores: number): Promise<void> {
    await fleet.waitUntil(
      async () => (await listLeaderCores()).every((found) => found === cores),
      RECOVERY_MS,
    );
  }

  // Callers that ask for the leader before each request.
  async function sendWhile(isGoing: () => boolean): Promise<readonly number[]> {
    const agent = new http.Agent({ keepAlive: true });
    const sent: Promise<number>[] = [];
    for (let index = 0; isGoing(); index++) {
      const leader = await fleet.findLeader(ZONE);
      if (leader !== undefined) {
        const request = { path: `/read/${index}`, key: KEY, agent };
        sent.push(fleet.send(leader, request).then(({ status }) => status));
      }
      await waitMs(CALL_INTERVAL_MS);
    }
    const statuses = await Promise.all(sent);
    agent.destroy();
    return statuses;
  }

  it("are led to it after a start", async () => {
    await waitUntilLed(LARGE_CORES);
  });

  it.each(["paused", "killed"])(
    "are led to it again after it was %s",
    async (fault) => {
      await waitUntilLed(LARGE_CORES);
      const large = getVm(fleet, ({ cores }) => cores === LARGE_CORES);
      large.sendSignal(fault === "paused" ? "SIGSTOP" : "SIGKILL");
      await waitMs(AWAY_MS);
      if (fault === "killed") {
        await fleet.startIfStopped(large);
      }
      large.sendSignal("SIGCONT");
      let isReturning = true;
      const statuses = sendWhile(() => isReturning);
      await waitUntilLed(LARGE_CORES);
      await waitMs(1_000);
      isReturning = false;
      expect((await statuses).filter((status) => status !== STATUS_OK)).toEqual(
        [],
      );
    },
  );
});
