import { FakeClock } from "@limpetford/core/time/fake_clock";

import { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import { ReadFlow } from "./read_flow.ts";

describe("the time for which an end may have been on its way", () => {
  let clock: FakeClock;
  let loop: EventLoopMonitor;
  let flow: ReadFlow;
  beforeEach(() => {
    clock = new FakeClock();
    loop = new EventLoopMonitor(clock);
    flow = new ReadFlow(0, { clock, loop });
  });

  function readAfter(afterMs: number): number {
    clock.advance(afterMs);
    flow.observeRead();
    return flow.durationMs;
  }

  // The regular timer runs late.
  function stopLoop(durationMs: number): void {
    loop.setTimerDue(clock.readMonotonicMs());
    clock.advance(durationMs);
    loop.observeTimer();
  }

  function stopReads(durationMs: number): void {
    flow.observeHold();
    clock.advance(durationMs);
    flow.observeResume();
  }

  it("is none at the first read", () => {
    expect(readAfter(5_000)).toBe(0);
  });

  it("goes on over reads that follow one another", () => {
    expect([readAfter(100), readAfter(100), readAfter(150)])
      .toEqual([0, 100, 250]);
  });

  it("begins anew when the connection has been quiet", () => {
    expect([readAfter(100), readAfter(100), readAfter(250)])
      .toEqual([0, 100, 0]);
  });

  it("goes on while reads are held back, however long", () => {
    readAfter(100);
    stopReads(1_000);
    expect([readAfter(150), readAfter(250)]).toEqual([1_150, 0]);
  });

  it("includes the time for which the loop stood still, also some turns later", () => {
    clock.advance(2_000);
    stopLoop(1_500);
    expect([readAfter(60), readAfter(1)]).toEqual([1_560, 1_561]);
  });

  it("includes a stall that has not ended", () => {
    loop.setTimerDue(50);
    expect(readAfter(1_550)).toBe(1_500);
  });

  it("does not include a stall after which all was read", () => {
    stopLoop(1_500);
    expect(readAfter(250)).toBe(0);
  });

  it("is at most the time since the request was sent", () => {
    clock.advance(1_000);
    flow = new ReadFlow(1_900, { clock, loop });
    stopLoop(1_500);
    expect(readAfter(0)).toBe(600);
  });

  it("does not begin with short delays of a busy loop", () => {
    stopLoop(30);
    expect(readAfter(20)).toBe(0);
  });
});
