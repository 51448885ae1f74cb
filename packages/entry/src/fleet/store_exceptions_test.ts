// Guards against calls to the store that end the VM when they throw, or after whose
// exception the next call is never made.

import { SuspicionRegistry } from "@limpetford/core/quarantine/suspicion_registry";
import { FakeClock } from "@limpetford/core/time/fake_clock";
import { makeOk, type Result } from "@limpetford/domain/result";
import { StoreClient } from "@limpetford/platform/store/store_client";
import { TOPIC } from "@limpetford/platform/store/wire_names";

import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { buildEmptyConfiguration } from "../fakes/empty_configuration.ts";
import { buildExchangeVm } from "../fakes/exchange_side.ts";
import { FleetLog } from "./fleet_log.ts";
import { FleetState } from "./fleet_state.ts";
import { StoreEraRecord } from "./store_era_record.ts";
import { SuspicionSync } from "./suspicion_sync.ts";
import { SUSPICION_READER, SuspicionsHandler } from "./suspicions_handler.ts";
import { TopicConsumer, TopicHandler } from "./topic_consumer.ts";
import { VmRegistration } from "./vm_registration.ts";

/** Longer than the time between two turns of reads or writes. */
const WAIT_MS = 1_500;
const STORE_RETURN_MS = 4_000;

// Throws at its first write.
class FaultyStore extends StoreClient {
  appendCount = 0;

  constructor() {
    super({ host: "127.0.0.1", port: 9 });
  }

  override appendRecord(): Promise<Result<undefined, never>> {
    return this.#append();
  }

  override appendRecords(): Promise<Result<undefined, never>> {
    return this.#append();
  }

  #append(): Promise<Result<undefined, never>> {
    this.appendCount += 1;
    return this.appendCount === 1
      ? Promise.reject(new Error("fault of a write"))
      : Promise.resolve(makeOk(undefined));
  }
}

// Throws when it is first asked whether a read is due.
class FaultyHandler extends TopicHandler {
  override readonly topic = TOPIC.vms;
  override readonly waitMs = 0;
  dueChecks = 0;

  override readNextPosition(): undefined {
    return undefined;
  }

  override readDueInMs(): number {
    this.dueChecks += 1;
    if (this.dueChecks === 1) {
      throw new Error("fault of a turn");
    }
    return Infinity;
  }

  override applySnapshot(): void {
    return;
  }

  override applyRecords(): void {
    return;
  }

  override recordFreshness(): void {
    return;
  }
}

async function waitMs(durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs));
}

describe("an exception of a call to the store", () => {
  let clock: FakeClock;
  let exceptions: CollectedExceptions;
  let client: FaultyStore;
  let log: FleetLog;
  beforeEach(() => {
    clock = new FakeClock();
    clock.advance(10_000);
    exceptions = new CollectedExceptions();
    client = new FaultyStore();
    log = new FleetLog({ clock, level: "error", vm: "vm-1" });
  });
  afterEach(async () => {
    await client.close();
  });

  it("does not end the reads of a topic", async () => {
    const handler = new FaultyHandler();
    const consumer = new TopicConsumer(handler, {
      client,
      clock,
      log,
      exceptions,
    });
    const running = consumer.run();
    await waitMs(WAIT_MS);
    consumer.stop();
    await running;
    expect(handler.dueChecks).toBeGreaterThan(1);
    expect(exceptions.sources).toEqual(["store"]);
  });

  it("does not keep the VM's record from being written", async () => {
    const registration = new VmRegistration(buildExchangeVm("vm-1"), {
      client,
      log,
      exceptions,
    });
    await registration.write();
    expect(client.appendCount).toBe(2);
    expect(exceptions.sources).toEqual(["store"]);
  });

  it("does not keep requests that crash servers from being written", async () => {
    const registry = new SuspicionRegistry();
    const handler = new SuspicionsHandler({
      registry,
      suspicions: new SuspicionSync({ registry, clock, log }),
      client,
      clock,
      log,
      exceptions,
      readReader: () => SUSPICION_READER.none,
    });
    const run = {
      fingerprint: "f",
      id: "r",
      sentAtMs: 9_000,
      endedAtMs: 10_000,
      wasServerRunning: false,
    };
    registry.recordCrash("i-1", [run], clock.readMonotonicMs());
    handler.recordObserved("f");
    clock.advance(WAIT_MS);
    await handler.writeMissing();
    clock.advance(WAIT_MS);
    await handler.writeMissing();
    expect(client.appendCount).toBe(2);
    expect(exceptions.sources).toEqual(["store"]);
  });

  it("does not keep the record of the store's era from being written", async () => {
    const state = new FleetState(clock);
    const record = new StoreEraRecord({
      client,
      state,
      log,
      isWriter: () => true,
    });
    const configuration = buildEmptyConfiguration(9);
    for (const era of [0, 1]) {
      state.observeStoreEra(era);
      clock.advance(STORE_RETURN_MS);
      const position = { era, offset: 38 };
      state.applyConfiguration({ configuration, position });
    }
    await expect(record.writeIfDue()).rejects.toThrow("fault");
    await record.writeIfDue();
    expect(client.appendCount).toBe(2);
  });
});
