import { FakeClock } from "@limpetford/core/time/fake_clock";
import { buildAnnouncementRecord } from "@limpetford/platform/fakes/announcement_record";
import type { KeyedRecord } from "@limpetford/platform/store/log_records";

import { FleetLog } from "./fleet_log.ts";
import { FleetState } from "./fleet_state.ts";
import type { LogEventName } from "./log_events.ts";
import { ServersHandler } from "./store_handlers.ts";

// Announcements expire while the store is unreachable. If the removals took
// effect as soon as it is back, healthy servers would be dropped before they
// could announce themselves again.
function buildRecord(
  offset: number,
  state: "ready" | undefined,
): KeyedRecord {
  return buildAnnouncementRecord({ id: "i-1", offset, state });
}

class RecordingLog extends FleetLog {
  readonly #logged: string[];

  constructor(clock: FakeClock, logged: string[]) {
    super({ clock, level: "error", vm: "a" });
    this.#logged = logged;
  }

  override record(name: LogEventName): void {
    this.#logged.push(name);
  }
}

describe("ServersHandler", () => {
  let clock: FakeClock;
  let state: FleetState;
  let handler: ServersHandler;
  let logged: string[];
  beforeEach(() => {
    clock = new FakeClock();
    state = new FleetState(clock);
    logged = [];
    const log = new RecordingLog(clock, logged);
    handler = new ServersHandler({
      state,
      clock,
      log,
      readMaxAgeMs: () => 0,
      notifyChange: () => undefined,
    }, 0);
    handler.applyRecords([buildRecord(0, "ready")], { era: 0, offset: 1 });
    handler.recordFreshness(clock.readMonotonicMs());
  });

  function countServers(): number {
    handler.expireRemoved();
    return state.servers.listServers().length;
  }

  function runFor(forMs: number): void {
    for (let passedMs = 0; passedMs < forMs; passedMs += 200) {
      clock.advance(200);
      handler.expireRemoved();
    }
  }

  it("removes a server immediately while the store is reachable", () => {
    clock.advance(400);
    handler.applyRecords([buildRecord(1, undefined)], { era: 0, offset: 2 });
    expect(countServers()).toBe(0);
  });

  it("removes it immediately if only this VM could not reach the store", () => {
    clock.advance(6_000);
    // Other VMs reached the store and passed their fresh data on.
    state.recordServersFreshness(clock.readMonotonicMs() - 500);
    handler.applyRecords([buildRecord(1, undefined)], { era: 0, offset: 2 });
    expect(countServers()).toBe(0);
  });

  // Guards against a VM that takes its own lateness for an outage of the store.
  it.each([2_400, 2_600, 2_800])(
    "removes it immediately if this VM reads %i ms after its last read",
    (lateMs) => {
      runFor(lateMs);
      handler.applyRecords([buildRecord(1, undefined)], { era: 0, offset: 2 });
      handler.recordFreshness(clock.readMonotonicMs());
      expect(countServers()).toBe(0);
    },
  );

  it("delays the removal of an expired server after a store outage", () => {
    clock.advance(6_000);
    handler.applyRecords([buildRecord(1, undefined)], { era: 0, offset: 2 });
    handler.recordFreshness(clock.readMonotonicMs());
    clock.advance(2_000);
    expect(countServers()).toBe(1);
    clock.advance(400);
    expect(countServers()).toBe(1);
    handler.recordFreshness(clock.readMonotonicMs());
    expect(countServers()).toBe(0);
  });

  it("delays the removal if a read has failed since the last good one", () => {
    runFor(1_800);
    handler.recordFailure();
    runFor(1_200);
    handler.applyRecords([buildRecord(1, undefined)], { era: 0, offset: 2 });
    handler.recordFreshness(clock.readMonotonicMs());
    expect(countServers()).toBe(1);
    runFor(2_400);
    handler.recordFreshness(clock.readMonotonicMs());
    expect(countServers()).toBe(0);
  });

  it("delays no removal for a failure before the last good read", () => {
    handler.recordFailure();
    runFor(200);
    handler.recordFreshness(clock.readMonotonicMs());
    runFor(2_800);
    handler.applyRecords([buildRecord(1, undefined)], { era: 0, offset: 2 });
    handler.recordFreshness(clock.readMonotonicMs());
    expect(countServers()).toBe(0);
  });

  it("keeps an expired server that has announced itself again", () => {
    clock.advance(6_000);
    handler.applyRecords([buildRecord(1, undefined)], { era: 0, offset: 2 });
    clock.advance(1_000);
    handler.applyRecords([buildRecord(2, "ready")], { era: 0, offset: 3 });
    clock.advance(5_000);
    expect(countServers()).toBe(1);
  });

  // An entry is written again with each heartbeat of its writer.
  it("logs an entry that names no server once, and counts it", () => {
    logged.length = 0;
    const odd = Buffer.from(JSON.stringify({ service: "s" }));
    for (const offset of [1, 2, 3]) {
      handler.applyRecords([{ key: "odd", offset, value: odd }], {
        era: 0,
        offset: offset + 1,
      });
    }
    expect(logged).toEqual(["record-unreadable"]);
    expect(state.refusedServers.count).toBe(1);
    expect(countServers()).toBe(1);
    handler.applyRecords([{ key: "odd", offset: 4, value: undefined }], {
      era: 0,
      offset: 5,
    });
    expect(state.refusedServers.count).toBe(0);
  });

  it("counts no entry that a snapshot lacks, and keeps the sound ones", () => {
    const odd = { key: "odd", offset: 1, value: Buffer.from("{}") };
    handler.applyRecords([odd], { era: 0, offset: 2 });
    handler.applySnapshot([buildRecord(2, "ready")], { era: 0, offset: 3 });
    expect(state.refusedServers.count).toBe(0);
    expect(countServers()).toBe(1);
  });
});
