import { FakeClock } from "@limpetford/core/time/fake_clock";

import { EventLoopMonitor } from "../vm/event_loop_monitor.ts";
import { ArrivalQueue } from "./arrival_queue.ts";

const HELD_UP_MS = 3_000;
const TIMEOUT_MS = 1_000;

async function waitTurn(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

describe("ArrivalQueue", () => {
  let clock: FakeClock;
  let loop: EventLoopMonitor;
  let acceptQueue: { isBusy: boolean };
  let queue: ArrivalQueue;
  let begun: string[];
  let refused: string[];
  beforeEach(() => {
    clock = new FakeClock();
    loop = new EventLoopMonitor(clock);
    acceptQueue = { isBusy: false };
    queue = new ArrivalQueue(clock, loop, acceptQueue);
    begun = [];
    refused = [];
  });
  // A queue goes on with its turns until it is empty.
  afterEach(async () => {
    acceptQueue.isBusy = false;
    clock.advance(HELD_UP_MS);
    for (let turn = 0; turn < 100; turn++) {
      await waitTurn();
    }
  });

  // Begins a request, which takes some time.
  function begin(name: string, takesMs = 0, lostMs = 0): void {
    queue.begin({
      run: () => {
        begun.push(name);
        clock.advance(takesMs);
      },
      refuse: () => refused.push(name),
      estimateTimes: () => {
        const arrivedAtMs = clock.readMonotonicMs() - lostMs;
        return { arrivedAtMs, deadlineAtMs: arrivedAtMs + TIMEOUT_MS };
      },
    });
  }

  it("begins and sends at once while the loop is not behind", () => {
    begin("read");
    queue.runOnceRead(() => begun.push("sent"));
    expect(begun).toEqual(["read", "sent"]);
  });

  // Guards against sending for callers whose close is the next thing to be read.
  it("waits until the connections have been read once more", async () => {
    clock.advance(HELD_UP_MS);
    begin("read");
    queue.runOnceRead(() => begun.push("sent"));
    await waitTurn();
    expect(begun).toEqual([]);
    await waitTurn();
    await waitTurn();
    expect(begun).toEqual(["sent", "read"]);
  });

  // Guards against timeouts that wait behind all requests that were read before.
  it("takes steps of begun requests before it begins others", async () => {
    clock.advance(HELD_UP_MS);
    for (let index = 0; index < 9; index++) {
      begin(`request-${index}`, 4);
    }
    queue.runOnceRead(() => begun.push("given up"));
    await waitTurn();
    await waitTurn();
    expect(begun[0]).toBe("given up");
  });

  // Guards against requests that wait although their time will be over.
  it("refuses at once what would wait too long for its turn", () => {
    clock.advance(HELD_UP_MS);
    for (let index = 0; index < 600; index++) {
      begin(`request-${index}`);
    }
    expect(refused).toHaveLength(99);
    expect(refused[0]).toBe("request-501");
  });

  // Guards against an accept queue that stays as long as the timeout of its requests.
  it("refuses what has lost too much time while connections wait", () => {
    acceptQueue.isBusy = true;
    begin("fresh", 0, 400);
    begin("late", 0, 600);
    acceptQueue.isBusy = false;
    begin("last", 0, 600);
    expect({ begun, refused }).toEqual({
      begun: ["fresh", "last"],
      refused: ["late"],
    });
  });

  it("refuses the last ones when requests take longer than before", async () => {
    clock.advance(HELD_UP_MS);
    for (let index = 0; index < 100; index++) {
      begin(`request-${index}`, 50);
    }
    expect(refused).toEqual([]);
    for (let turn = 0; turn < 8; turn++) {
      await waitTurn();
    }
    expect(refused[0]).toBe("request-99");
    expect(refused.length).toBeGreaterThan(50);
  });

  // Guards against connections that wait for seconds once requests have waited.
  it("accepts connections between turns that begin requests", async () => {
    clock.advance(HELD_UP_MS);
    acceptQueue.isBusy = true;
    for (let index = 0; index < 9; index++) {
      begin(`request-${index}`, 10);
    }
    clock.advance(100);
    const counts: number[] = [];
    for (let turn = 0; turn < 20; turn++) {
      await waitTurn();
      clock.advance(2);
      counts.push(begun.length);
    }
    expect(counts).toMatchSnapshot();
  });

  it("begins the oldest first, and a few in each turn", async () => {
    clock.advance(HELD_UP_MS);
    const names = Array.from({ length: 9 }, (_, index) => `request-${index}`);
    for (const name of names) {
      begin(name, 4);
    }
    const counts: number[] = [];
    for (let turn = 0; turn < 6; turn++) {
      await waitTurn();
      counts.push(begun.length);
    }
    expect(begun).toEqual(names);
    expect(counts).toMatchSnapshot();
  });

  // Guards against connections that wait while each turn serves requests.
  it("begins nothing for a while as long as connections are accepted", async () => {
    clock.advance(HELD_UP_MS);
    acceptQueue.isBusy = true;
    begin("read");
    for (let turn = 0; turn < 5; turn++) {
      await waitTurn();
    }
    expect(begun).toEqual([]);
    clock.advance(100);
    await waitTurn();
    expect(begun).toEqual(["read"]);
  });

  it("begins at once when no more connections are accepted", async () => {
    clock.advance(HELD_UP_MS);
    acceptQueue.isBusy = true;
    begin("read");
    for (let turn = 0; turn < 5; turn++) {
      await waitTurn();
    }
    acceptQueue.isBusy = false;
    await waitTurn();
    expect(begun).toEqual(["read"]);
  });

  it("leaves to later turns what a turn has no time for", async () => {
    for (let index = 0; index < 6; index++) {
      begin(`request-${index}`, 4);
    }
    expect(begun).toHaveLength(3);
    for (let turn = 0; turn < 4; turn++) {
      await waitTurn();
    }
    expect(begun).toHaveLength(6);
  });

  it("records for how long requests waited", async () => {
    clock.advance(HELD_UP_MS);
    begin("read");
    clock.advance(40);
    await waitTurn();
    await waitTurn();
    expect(loop.longestDelayMs).toBe(40);
  });
});
