import { SuspicionRegistry } from "@limpetford/core/quarantine/suspicion_registry";
import { FakeClock } from "@limpetford/core/time/fake_clock";
import { CollectedExceptions } from "@limpetford/entry/fakes/collected_exceptions";
import { FleetLog } from "@limpetford/entry/fleet/fleet_log";
import { SuspicionSync } from "@limpetford/entry/fleet/suspicion_sync";
import {
  SUSPICION_READER,
  type SuspicionReader,
  SuspicionsHandler,
} from "@limpetford/entry/fleet/suspicions_handler";
import { StoreClient } from "@limpetford/platform/store/store_client";
import { TOPIC } from "@limpetford/platform/store/wire_names";

import { STORE_FAULT, StoreStandin } from "./store_standin.ts";

const REQUEST = "request";
/** Writes that a test waits for on a busy machine. */
const MAX_TRIES = 20;

// The parts of one VM that keep suspicions on the store.
class StoringVm {
  readonly clock = new FakeClock();
  readonly registry = new SuspicionRegistry();
  readonly client: StoreClient;
  readonly handler: SuspicionsHandler;
  reader: SuspicionReader;

  constructor(store: StoreStandin, reader: SuspicionReader) {
    this.reader = reader;
    this.client = new StoreClient(store.address);
    const log = new FleetLog({ clock: this.clock, level: "error", vm: "a" });
    const { registry, clock, client } = this;
    this.clock.advance(10_000);
    this.handler = new SuspicionsHandler({
      registry,
      suspicions: new SuspicionSync({ registry, clock, log }),
      client,
      clock,
      log,
      exceptions: new CollectedExceptions(),
      readReader: () => this.reader,
    });
  }

  // Records a crash that this VM has observed.
  recordCrash(server: string): void {
    const nowMs = this.clock.readMonotonicMs();
    this.registry.recordCrash(
      server,
      [{
        fingerprint: REQUEST,
        id: `run at ${server}`,
        sentAtMs: nowMs - 60,
        endedAtMs: nowMs,
        wasServerRunning: false,
      }],
      nowMs,
    );
    this.handler.recordObserved(REQUEST);
  }

  async loadSnapshot(): Promise<void> {
    const snapshot = await this.client.fetchSnapshot(TOPIC.suspicions);
    if (!snapshot.ok) {
      throw new Error("the store stand-in gave no snapshot");
    }
    const { records, end } = snapshot.value;
    this.handler.applySnapshot(records, end);
  }
}

// Guards against a fleet that forgets which requests crash servers when all its
// VMs are killed.
describe("suspicions on the store", () => {
  let store: StoreStandin;
  const vms: StoringVm[] = [];
  beforeEach(async () => {
    store = new StoreStandin();
    await store.start();
  });
  afterEach(async () => {
    await Promise.all(vms.splice(0).map((vm) => vm.client.close()));
    await store.stop();
  });

  function startVm(reader: SuspicionReader): StoringVm {
    const vm = new StoringVm(store, reader);
    vms.push(vm);
    return vm;
  }

  async function readStatus(): Promise<string> {
    const reader = startVm(SUSPICION_READER.first);
    await reader.loadSnapshot();
    return reader.registry.findStatus(REQUEST);
  }

  async function waitWritten(vm: StoringVm): Promise<void> {
    await vm.handler.writeMissing();
    await new Promise((resolve) => setTimeout(resolve, 50));
  }

  // The VM goes on writing what is missing, as it does several times a second; its
  // clock stands still meanwhile.
  async function expectStatus(vm: StoringVm, status: string): Promise<void> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      await waitWritten(vm);
      if (await readStatus() === status) {
        return;
      }
    }
    expect(await readStatus()).toBe(status);
  }

  it("keep a quarantine at once, whichever VM decided it", async () => {
    const vm = startVm(SUSPICION_READER.none);
    vm.recordCrash("s1");
    vm.clock.advance(400);
    vm.recordCrash("s2");
    await expectStatus(vm, "quarantined");
  });

  it("keep that other servers crashed, of which a VM that starts can't know", async () => {
    const vm = startVm(SUSPICION_READER.none);
    vm.registry.recordCrash("other", [], vm.clock.readMonotonicMs());
    vm.recordCrash("s1");
    vm.clock.advance(600);
    vm.recordCrash("s2");
    vm.clock.advance(1_000);
    await expectStatus(vm, "suspect");
  });

  it("keep a single crash once it was not cleared for a second", async () => {
    const vm = startVm(SUSPICION_READER.none);
    vm.recordCrash("s1");
    await waitWritten(vm);
    expect(await readStatus()).toBe("cleared");
    vm.clock.advance(1_000);
    await expectStatus(vm, "suspect");
  });

  it("are not written for a request that was served meanwhile", async () => {
    const vm = startVm(SUSPICION_READER.none);
    vm.recordCrash("s1");
    vm.registry.recordServed(REQUEST, vm.clock.readMonotonicMs());
    vm.clock.advance(5_000);
    const before = store.requestCount;
    await waitWritten(vm);
    expect(store.requestCount).toBe(before);
  });

  it("are cleared there when the request is served later", async () => {
    const vm = startVm(SUSPICION_READER.first);
    await vm.loadSnapshot();
    vm.recordCrash("s1");
    vm.clock.advance(400);
    vm.recordCrash("s2");
    await expectStatus(vm, "quarantined");
    vm.registry.recordServed(REQUEST, vm.clock.readMonotonicMs());
    await waitWritten(vm);
    vm.clock.advance(4_000);
    await expectStatus(vm, "cleared");
  });

  it("are written when the store is back", async () => {
    const vm = startVm(SUSPICION_READER.none);
    store.fault = STORE_FAULT.busy;
    vm.recordCrash("s1");
    vm.clock.advance(400);
    vm.recordCrash("s2");
    for (
      let tries = 0;
      tries < MAX_TRIES && store.requestCount === 0;
      tries++
    ) {
      await waitWritten(vm);
    }
    await waitWritten(vm);
    store.fault = STORE_FAULT.none;
    vm.clock.advance(1_000);
    await expectStatus(vm, "quarantined");
  });

  it("are written by the first reader if the observer is gone", async () => {
    const reader = startVm(SUSPICION_READER.first);
    await reader.loadSnapshot();
    reader.registry.apply({
      fingerprint: REQUEST,
      generation: 0,
      status: "quarantined",
      runs: [],
    }, reader.clock.readMonotonicMs());
    await waitWritten(reader);
    reader.clock.advance(3_000);
    await expectStatus(reader, "quarantined");
  });

  it("are written again after the store has returned from a copy", async () => {
    const copy = store.buildCopy();
    const reader = startVm(SUSPICION_READER.first);
    await reader.loadSnapshot();
    reader.recordCrash("s1");
    reader.clock.advance(400);
    reader.recordCrash("s2");
    await expectStatus(reader, "quarantined");
    store.restore(copy);
    expect(await readStatus()).toBe("cleared");
    await reader.loadSnapshot();
    expect(reader.registry.findStatus(REQUEST)).toBe("quarantined");
    await waitWritten(reader);
    reader.clock.advance(3_000);
    await expectStatus(reader, "quarantined");
  });

  it("are read once by each VM after its start", async () => {
    const vm = startVm(SUSPICION_READER.none);
    expect(vm.handler.readDueInMs()).toBe(0);
    await vm.loadSnapshot();
    expect(vm.handler.readDueInMs()).toBeGreaterThan(0);
  });

  it("are removed after a day, but for quarantines", async () => {
    const vm = startVm(SUSPICION_READER.first);
    await vm.loadSnapshot();
    vm.recordCrash("s1");
    vm.clock.advance(1_000);
    await expectStatus(vm, "suspect");
    vm.clock.advance(86_500_000);
    vm.registry.expire(vm.clock.readMonotonicMs());
    await expectStatus(vm, "cleared");
  });

  it("ignore records that are none", async () => {
    store.put(TOPIC.suspicions, REQUEST, Buffer.from("{"));
    store.put(TOPIC.suspicions, "other", { status: "guilty" });
    expect(await readStatus()).toBe("cleared");
  });
});
