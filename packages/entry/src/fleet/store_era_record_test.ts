import { FakeClock } from "@limpetford/core/time/fake_clock";
import { makeOk, type Result } from "@limpetford/domain/result";
import { StoreClient } from "@limpetford/platform/store/store_client";

import { buildEmptyConfiguration } from "../fakes/empty_configuration.ts";
import { FleetLog } from "./fleet_log.ts";
import { FleetState } from "./fleet_state.ts";
import { StoreEraRecord } from "./store_era_record.ts";

// Counts the records that it is given.
class CountingStore extends StoreClient {
  appendCount = 0;

  override appendRecord(): Promise<Result<undefined, never>> {
    this.appendCount += 1;
    return Promise.resolve(makeOk(undefined));
  }
}

// Guards against a record that says the store is complete while operators have not
// written the configuration again: if all VMs are killed then, those that start
// would take the older one for the newest, and accept keys that it still has.
describe("StoreEraRecord", () => {
  it("is written once the configuration in force was written again", async () => {
    const clock = new FakeClock();
    const state = new FleetState(clock);
    const client = new CountingStore({ host: "127.0.0.1", port: 9 });
    const record = new StoreEraRecord({
      client,
      state,
      log: new FleetLog({ clock, level: "error", vm: "a" }),
      isWriter: () => true,
    });
    state.observeStoreEra(0);
    const configuration = buildEmptyConfiguration(9);
    state.applyConfiguration({
      configuration,
      position: { era: 0, offset: 40 },
    });
    state.observeStoreEra(1);
    clock.advance(4_000);
    await record.writeIfDue();
    expect(client.appendCount).toBe(0);
    state.applyConfiguration({
      configuration,
      position: { era: 1, offset: 38 },
    });
    await record.writeIfDue();
    await record.writeIfDue();
    expect(client.appendCount).toBe(1);
  });
});
