import { FakeClock } from "@limpetford/core/time/fake_clock";
import { SeededRandomSource } from "@limpetford/core/time/random_source";

import { StoreReadSchedule } from "./store_read_schedule.ts";
import { VM_LIST_READER } from "./vms_handler.ts";

const LATER_MS = 1_500;

describe("StoreReadSchedule", () => {
  it.each([
    {
      isSeed: false,
      rank: 0,
      isIsolated: true,
      reader: VM_LIST_READER.isolated,
    },
    { isSeed: false, rank: 0, isIsolated: false, reader: VM_LIST_READER.first },
    { isSeed: false, rank: 1, isIsolated: false, reader: VM_LIST_READER.none },
    {
      isSeed: true,
      rank: Infinity,
      isIsolated: false,
      reader: VM_LIST_READER.none,
    },
  ])("decides who reads the VM list: %j", (options) => {
    const clock = new FakeClock();
    const schedule = new StoreReadSchedule({
      clock,
      random: new SeededRandomSource(1),
      isSeed: options.isSeed,
      readers: {
        computeReaderRank: () => options.rank,
        isIsolated: () => options.isIsolated,
      },
    });
    clock.advance(LATER_MS);
    expect(schedule.decideVmListReader()).toBe(options.reader);
  });

  it("leaves the VM list to the seeds right after the start", () => {
    const build = (isSeed: boolean): StoreReadSchedule =>
      new StoreReadSchedule({
        clock: new FakeClock(),
        random: new SeededRandomSource(1),
        isSeed,
        readers: { computeReaderRank: () => Infinity, isIsolated: () => true },
      });
    expect(
      [build(true), build(false)].map((schedule) =>
        schedule.decideVmListReader()
      ),
    ).toEqual([VM_LIST_READER.isolated, VM_LIST_READER.none]);
  });
});
