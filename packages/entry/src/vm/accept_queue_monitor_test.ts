import { PassThrough } from "node:stream";

import { FakeClock } from "@limpetford/core/time/fake_clock";

import { AcceptQueueMonitor } from "./accept_queue_monitor.ts";
import { EventLoopMonitor } from "./event_loop_monitor.ts";

async function waitTurn(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

describe("AcceptQueueMonitor", () => {
  let clock: FakeClock;
  let loop: EventLoopMonitor;
  let monitor: AcceptQueueMonitor;
  beforeEach(() => {
    clock = new FakeClock();
    loop = new EventLoopMonitor(clock);
    monitor = new AcceptQueueMonitor(clock, loop);
  });

  async function acceptInTurns(count: number): Promise<readonly number[]> {
    const waits: number[] = [];
    for (let turn = 0; turn < count; turn++) {
      const socket = new PassThrough();
      monitor.observeAccept(socket);
      waits.push(monitor.estimateUnreadMs(socket));
      clock.advance(20);
      await waitTurn();
    }
    return waits;
  }

  it("finds no wait while the queue is empty between connections", async () => {
    expect(await acceptInTurns(1)).toEqual([0]);
    await waitTurn();
    clock.advance(5_000);
    expect(await acceptInTurns(1)).toEqual([0]);
  });

  it("finds growing waits while each turn accepts a connection", async () => {
    expect(await acceptInTurns(5)).toEqual([0, 10, 20, 30, 40]);
    expect(loop.longestDelayMs).toBe(40);
    expect(loop.longestQueueMs).toBe(40);
  });

  it("finds the pause in all connections that came meanwhile", async () => {
    loop.setTimerDue(clock.readMonotonicMs() + 50);
    clock.advance(850);
    loop.observeTimer();
    expect(await acceptInTurns(3)).toEqual([800, 800, 800]);
    expect(loop.longestQueueMs).toBe(20);
  });

  it("finds no wait of a request that comes after its connection", async () => {
    const socket = new PassThrough();
    monitor.observeAccept(socket);
    await waitTurn();
    await waitTurn();
    clock.advance(1_000);
    expect(monitor.estimateUnreadMs(socket)).toBe(0);
  });
});
