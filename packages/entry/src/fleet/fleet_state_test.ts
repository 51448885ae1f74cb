import { FakeClock } from "@limpetford/core/time/fake_clock";

import { buildEmptyConfiguration } from "../fakes/empty_configuration.ts";
import { FleetState } from "./fleet_state.ts";

// Guards against a read of a store that has returned from an older copy being
// taken for proof that no key was withdrawn since.
describe("FleetState", () => {
  let clock: FakeClock;
  let state: FleetState;
  beforeEach(() => {
    clock = new FakeClock();
    state = new FleetState(clock);
    clock.advance(1_000);
    state.observeStoreEra(0);
    state.applyConfiguration({
      configuration: buildEmptyConfiguration(9),
      position: { era: 0, offset: 40 },
    });
  });

  it("can prove the newest configuration while the store loses nothing", () => {
    expect(state.isConfigurationProvable()).toBe(true);
  });

  it("proves nothing while the store has an older configuration", () => {
    state.observeStoreEra(1);
    state.applyConfiguration({
      configuration: buildEmptyConfiguration(8),
      position: { era: 1, offset: 38 },
    });
    clock.advance(60_000);
    expect(state.active?.configuration.version).toBe(9);
    expect(state.isConfigurationProvable()).toBe(false);
  });

  it("proves nothing before writers have had time to write again", () => {
    state.observeStoreEra(1);
    const position = { era: 1, offset: 38 };
    state.applyConfiguration({
      configuration: buildEmptyConfiguration(9),
      position,
    });
    clock.advance(2_299);
    expect(state.isConfigurationProvable()).toBe(false);
    clock.advance(1);
    expect(state.isConfigurationProvable()).toBe(true);
  });

  it("follows a newer version at a lower offset", () => {
    state.observeStoreEra(1);
    const position = { era: 1, offset: 3 };
    const configuration = buildEmptyConfiguration(10);
    expect(state.applyConfiguration({ configuration, position })).toBe(true);
    expect(state.active?.configuration.version).toBe(10);
  });

  it("trusts an era at once that another VM found complete", () => {
    state.observeStoreEra(1);
    const position = { era: 1, offset: 38 };
    state.applyConfiguration({
      configuration: buildEmptyConfiguration(9),
      position,
    });
    state.markStoreEraSettled(1);
    expect(state.isConfigurationProvable()).toBe(true);
  });

  describe("of a VM that has started after a return of the store", () => {
    beforeEach(() => {
      state = new FleetState(clock);
      state.observeStoreEra(1);
      applyVersion(8, 38);
    });

    function applyVersion(version: number, offset: number): void {
      state.applyConfiguration({
        configuration: buildEmptyConfiguration(version),
        position: { era: 1, offset },
      });
    }

    it("proves nothing while the operators may be 4 s late", () => {
      clock.advance(5_999);
      expect(state.isConfigurationProvable()).toBe(false);
      clock.advance(1);
      expect(state.isConfigurationProvable()).toBe(true);
    });

    it.each([
      { name: "a newer configuration", version: 9 },
      { name: "the same configuration again", version: 8 },
    ])("does not wait longer once they wrote $name", ({ version }) => {
      clock.advance(2_300);
      applyVersion(version, 39);
      expect(state.isConfigurationProvable()).toBe(true);
    });

    it("waits no longer at the next return", () => {
      state.observeStoreEra(2);
      state.applyConfiguration({
        configuration: buildEmptyConfiguration(8),
        position: { era: 2, offset: 38 },
      });
      clock.advance(2_300);
      expect(state.isConfigurationProvable()).toBe(true);
    });

    it("trusts the era at once that an earlier VM found complete", () => {
      state.markStoreEraSettled(1);
      expect(state.isConfigurationProvable()).toBe(true);
    });
  });
});
