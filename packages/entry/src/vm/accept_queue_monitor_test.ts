import { PassThrough } from "node:stream";

import { FakeClock } from "@limpetford/core/time/fake_clock";

import { FakeQueueProbe } from "../fakes/fake_queue_probe.ts";
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
      waits.push(monitor.estimateUnread(socket).likelyUnreadMs);
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
    expect(monitor.estimateUnread(socket)).toEqual({
      minUnreadMs: 0,
      likelyUnreadMs: 0,
    });
  });

  describe("with probes", () => {
    let probes: FakeQueueProbe[];
    beforeEach(() => {
      probes = [];
      monitor = new AcceptQueueMonitor(clock, loop, () => {
        const probe = new FakeQueueProbe(clock.readMonotonicMs());
        probes.push(probe);
        return probe;
      });
    });

    // Accepts a connection, or the next probe, in a turn of 20 ms.
    async function acceptInTurn(
      probe?: FakeQueueProbe,
    ): Promise<readonly number[]> {
      const socket = probe?.otherEnd ?? new PassThrough();
      const isCaller = monitor.observeAccept(socket);
      const { minUnreadMs, likelyUnreadMs } = monitor.estimateUnread(socket);
      clock.advance(20);
      await waitTurn();
      return isCaller ? [minUnreadMs, likelyUnreadMs] : [];
    }

    it("knows for how long those before a probe have waited at least", async () => {
      const waits = [];
      for (let turn = 0; turn < 6; turn++) {
        waits.push(await acceptInTurn());
      }
      expect(probes).toHaveLength(2);
      expect(waits).toEqual([
        [0, 0],
        [0, 10],
        [20, 20],
        [40, 40],
        [60, 60],
        [80, 80],
      ]);
    });

    it("knows that those behind a probe came after it", async () => {
      for (let turn = 0; turn < 50; turn++) {
        await acceptInTurn();
      }
      const [first] = probes;
      const second = probes[1];
      expect(await acceptInTurn(first)).toEqual([]);
      const waitedMs = clock.readMonotonicMs() - (second?.queuedAtMs ?? 0);
      const [minMs = 0, likelyMs = 0] = await acceptInTurn();
      expect(minMs).toBe(waitedMs);
      expect(likelyMs - minMs).toBeLessThanOrEqual(50);
      expect(loop.longestQueueMs).toBeGreaterThan(waitedMs);
    });

    it("opens few probes however long the first one waits", async () => {
      for (let turn = 0; turn < 500; turn++) {
        await acceptInTurn();
      }
      expect(probes.length).toBeLessThan(25);
    });

    // Guards against bounds that grow for good if a probe is not recognized.
    it("forgets those that were not recognized when the queue was empty", async () => {
      for (let turn = 0; turn < 50; turn++) {
        await acceptInTurn();
      }
      await waitTurn();
      await waitTurn();
      clock.advance(5_000);
      expect(await acceptInTurn()).toEqual([0, 0]);
      expect(probes.every(({ isClosed }) => isClosed)).toBe(true);
    });

    it("opens none while connections come one by one", async () => {
      for (let turn = 0; turn < 20; turn++) {
        await acceptInTurn();
        await waitTurn();
      }
      expect(probes).toHaveLength(0);
    });
  });
});
