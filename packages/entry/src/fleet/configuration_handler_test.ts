// Guards against keys that stay valid because the configuration that withdraws
// them cannot be read.

import { FakeClock } from "@limpetford/core/time/fake_clock";
import type { KeyedRecord } from "@limpetford/platform/store/log_records";

import { FleetLog } from "./fleet_log.ts";
import { FleetState } from "./fleet_state.ts";
import { ConfigurationHandler } from "./store_handlers.ts";

const DOCUMENT = {
  routes: {},
  services: {},
  limits: {
    maximum_header_bytes: 1,
    maximum_body_bytes: 1,
    header_timeout_s: 1,
    idle_timeout_s: 1,
  },
};

function buildRecord(version: unknown, offset: number): KeyedRecord {
  const value = Buffer.from(JSON.stringify({ ...DOCUMENT, version }));
  return { key: "config", value, offset };
}

describe("ConfigurationHandler", () => {
  let clock: FakeClock;
  let state: FleetState;
  let handler: ConfigurationHandler;
  beforeEach(() => {
    clock = new FakeClock();
    state = new FleetState(clock);
    handler = new ConfigurationHandler({
      state,
      clock,
      log: new FleetLog({ clock, level: "error", vm: "a" }),
      readMaxAgeMs: () => 0,
      notifyChange: () => undefined,
    }, 0);
    read(buildRecord(1, 0));
    clock.advance(3_000);
  });

  function read(...records: readonly KeyedRecord[]): void {
    const offset = (records.at(-1)?.offset ?? -1) + 1;
    handler.applyRecords(records, { era: 0, offset });
    handler.recordFreshness(clock.readMonotonicMs());
  }

  it("confirms the active configuration by a read without a newer one", () => {
    read();
    expect(state.configurationAgeMs).toBe(0);
  });

  it("does not confirm it while a newer one cannot be read", () => {
    read(buildRecord("two", 1));
    expect(state.configurationAgeMs).toBe(3_000);
    clock.advance(1_000);
    read();
    expect(state.configurationAgeMs).toBe(4_000);
  });

  it("confirms the next one that can be read", () => {
    read(buildRecord("two", 1));
    read(buildRecord(3, 2));
    expect(state.configurationAgeMs).toBe(0);
  });

  it("confirms one of another VM that is newer than the unreadable one", () => {
    read(buildRecord("two", 1));
    const active = state.active?.configuration;
    if (active === undefined) {
      throw new Error("the first configuration is not active");
    }
    state.applyConfiguration({
      configuration: { ...active, version: 3 },
      position: { era: 0, offset: 2 },
    });
    read();
    expect(state.configurationAgeMs).toBe(0);
  });

  describe("before the first configuration", () => {
    const MAX_AGE_MS = 1_600;
    beforeEach(() => {
      state = new FleetState(clock);
      handler = new ConfigurationHandler({
        state,
        clock,
        log: new FleetLog({ clock, level: "error", vm: "a" }),
        readMaxAgeMs: () => MAX_AGE_MS,
        notifyChange: () => undefined,
      }, 0);
    });

    it("reads again when the topic may have changed", () => {
      read();
      expect(handler.readDueInMs()).toBe(MAX_AGE_MS);
      clock.advance(MAX_AGE_MS);
      expect(handler.readDueInMs()).toBe(0);
    });

    it("does not read while another VM has found the topic empty", () => {
      read();
      clock.advance(MAX_AGE_MS);
      state.recordConfigurationFreshness(clock.readMonotonicMs() - 300);
      expect(handler.readDueInMs()).toBe(MAX_AGE_MS - 300);
    });

    it("knows nothing of a topic that it cannot read", () => {
      read(buildRecord("one", 0));
      expect(state.configurationAgeMs).toBe(Infinity);
    });

    it("knows nothing while the store shows an older copy", () => {
      state.observeStoreEra(1);
      read();
      expect(state.configurationAgeMs).toBe(Infinity);
    });
  });
});
