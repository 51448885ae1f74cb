import { FakeClock } from "@limpetford/core/time/fake_clock";

import { EventLoopMonitor } from "./event_loop_monitor.ts";

async function waitTurn(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

describe("EventLoopMonitor", () => {
  it("bounds how long something lay unread by the turn before the last", async () => {
    const clock = new FakeClock();
    const loop = new EventLoopMonitor(clock);
    for (let turn = 0; turn < 3; turn++) {
      clock.advance(50);
      loop.observeTurn();
      await waitTurn();
    }
    expect(loop.maxUnreadMs).toBe(50);
    clock.advance(3_000);
    expect(loop.maxUnreadMs).toBe(3_050);
  });

  it("tells how late the regular timer is, and for what is read after it", async () => {
    const clock = new FakeClock();
    const loop = new EventLoopMonitor(clock);
    expect(loop.likelyUnreadMs).toBe(0);
    loop.setTimerDue(clock.readMonotonicMs() + 50);
    clock.advance(40);
    expect(loop.likelyUnreadMs).toBe(0);
    clock.advance(710);
    expect(loop.likelyUnreadMs).toBe(700);
    loop.observeTimer();
    loop.setTimerDue(clock.readMonotonicMs() + 50);
    expect(loop.likelyUnreadMs).toBe(700);
    await waitTurn();
    await waitTurn();
    expect(loop.likelyUnreadMs).toBe(0);
  });

  it("keeps the longest delay for one to two seconds", () => {
    const clock = new FakeClock();
    const loop = new EventLoopMonitor(clock);
    loop.recordDelay(30);
    loop.recordDelay(10);
    expect(loop.longestDelayMs).toBe(30);
    clock.advance(1_100);
    loop.recordDelay(5);
    expect(loop.longestDelayMs).toBe(30);
    clock.advance(1_100);
    expect(loop.longestDelayMs).toBe(5);
    clock.advance(3_000);
    expect(loop.longestDelayMs).toBe(0);
  });
});
