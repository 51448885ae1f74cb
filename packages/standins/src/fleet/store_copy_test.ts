import { publishConfiguration } from "../platform/published_records.ts";
import { STORE_FAULT } from "../platform/store_standin.ts";
import { waitMs } from "../process_soak/wait_ms.ts";
import { buildBundle } from "./bundle.ts";
import { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

const STATUS_OK = 200;
const STATUS_UNAUTHORIZED = 401;
const OLD_KEY = "key-of-dance";
const NEW_KEY = "key-of-song";
/** Time within which a withdrawn key must stop working. */
const REVOCATION_MS = 5_000;
/** Time for which the store is away before it returns from the copy. */
const AWAY_MS = 700;
/** Time from the return until the operator writes its records again. */
const REWRITE_MS = 400;
/** The same for operators who are late. */
const LATE_REWRITE_MS = 4_000;
/** A twentieth of the reads that the users' store allows in a second. */
const MAX_CALLS_PER_SECOND = 100;

// Guards against a fleet that takes records of a store which has returned from
// an older copy for old ones, since their offsets are lower: it would follow no
// change any more, and accept withdrawn keys for ever.
describe("a store that returns from an older copy", () => {
  let fleet: FleetProcesses;
  beforeAll(() => {
    buildBundle();
  });
  beforeEach(async () => {
    fleet = new FleetProcesses();
    await fleet.start({ servers: 3, zones: [2, 2] });
  });
  afterEach(async () => {
    await fleet.stop();
  });

  async function sendRead(vm: VmProcessHandle, key: string): Promise<number> {
    return (await fleet.send(vm, { path: "/read/1", key })).status;
  }

  async function readStatuses(key: string): Promise<readonly number[]> {
    return await Promise.all(fleet.vms.map((vm) => sendRead(vm, key)));
  }

  // Publishes versions 2 to 8, and returns to the store as it was at version 5.
  async function returnFromCopy(): Promise<void> {
    for (let version = 2; version <= 5; version++) {
      publishConfiguration(fleet.store, version);
    }
    const copy = fleet.store.buildCopy();
    for (let version = 6; version <= 8; version++) {
      publishConfiguration(fleet.store, version);
      await waitMs(300);
    }
    await fleet.waitUntil(async () =>
      (await readStatuses(OLD_KEY)).every((status) => status === STATUS_OK)
    );
    fleet.store.fault = STORE_FAULT.busy;
    await waitMs(AWAY_MS);
    fleet.store.restore(copy);
    fleet.store.fault = STORE_FAULT.none;
    await waitMs(REWRITE_MS);
    publishConfiguration(fleet.store, 8);
  }

  it(
    "does not keep a key from being withdrawn afterwards",
    async () => {
      await returnFromCopy();
      const callsBefore = fleet.store.requestCount;
      publishConfiguration(fleet.store, 9, { key: NEW_KEY });
      const publishedAtMs = Date.now();
      await waitMs(REVOCATION_MS);
      const statuses = await readStatuses(OLD_KEY);
      const seconds = (Date.now() - publishedAtMs) / 1_000;
      expect((fleet.store.requestCount - callsBefore) / seconds)
        .toBeLessThanOrEqual(MAX_CALLS_PER_SECOND);
      expect(statuses).toEqual(statuses.map(() => STATUS_UNAUTHORIZED));
      const accepted = await readStatuses(NEW_KEY);
      expect(accepted).toEqual(accepted.map(() => STATUS_OK));
    },
    40_000,
  );

  // No process is left that knows the configuration which withdrew the key.
  it(
    "does not bring a withdrawn key back to a fleet that was killed",
    async () => {
      const copy = fleet.store.buildCopy();
      publishConfiguration(fleet.store, 2, { key: NEW_KEY });
      await fleet.waitUntil(async () =>
        (await readStatuses(OLD_KEY)).every((status) =>
          status === STATUS_UNAUTHORIZED
        )
      );
      fleet.store.fault = STORE_FAULT.busy;
      for (const vm of fleet.vms) {
        vm.sendSignal("SIGKILL");
        await vm.waitForExit();
      }
      fleet.store.restore(copy);
      fleet.store.fault = STORE_FAULT.none;
      const rewriteAtMs = Date.now() + LATE_REWRITE_MS;
      await Promise.all(fleet.vms.map((vm) => fleet.startIfStopped(vm)));
      await fleet.waitUntil(() => fleet.isFleetReady());
      const seen: number[] = [];
      while (Date.now() < rewriteAtMs) {
        seen.push(...await readStatuses(OLD_KEY));
        await waitMs(50);
      }
      expect(seen.length).toBeGreaterThan(0);
      expect(seen).not.toContain(STATUS_OK);
      publishConfiguration(fleet.store, 2, { key: NEW_KEY });
      await fleet.waitUntil(async () =>
        (await readStatuses(NEW_KEY)).every((status) => status === STATUS_OK)
      );
      const after = await readStatuses(OLD_KEY);
      expect(after).toEqual(after.map(() => STATUS_UNAUTHORIZED));
    },
    40_000,
  );

  it("does not bring a withdrawn key back", async () => {
    const copy = fleet.store.buildCopy();
    publishConfiguration(fleet.store, 2, { key: NEW_KEY });
    await fleet.waitUntil(async () =>
      (await readStatuses(OLD_KEY)).every((status) =>
        status === STATUS_UNAUTHORIZED
      )
    );
    fleet.store.restore(copy);
    const [first, second] = fleet.vms;
    for (const vm of [first, second]) {
      vm?.sendSignal("SIGKILL");
      await vm?.waitForExit();
      await (vm && fleet.startIfStopped(vm));
    }
    const seen: number[] = [];
    for (let count = 0; count < 20; count++) {
      seen.push(...await readStatuses(OLD_KEY));
      await waitMs(200);
    }
    expect(seen).not.toContain(STATUS_OK);
    publishConfiguration(fleet.store, 2, { key: NEW_KEY });
    await fleet.waitUntil(async () =>
      (await readStatuses(NEW_KEY)).every((status) => status === STATUS_OK)
    );
  }, 40_000);
});
