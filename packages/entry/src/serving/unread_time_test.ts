import { FakeClock } from "@limpetford/core/time/fake_clock";

import { UnreadTime } from "./unread_time.ts";

async function waitForTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe("the time for which an end may have lain unread", () => {
  const loop = { likelyUnreadMs: 0 };
  let clock: FakeClock;
  let unreadTime: UnreadTime;
  beforeEach(() => {
    clock = new FakeClock();
    clock.advance(10_000);
    loop.likelyUnreadMs = 0;
    unreadTime = new UnreadTime({ clock, loop });
  });

  it("is not known to be any while the loop is not behind", () => {
    unreadTime.observeRead();
    expect(unreadTime.behindSinceMs).toBeUndefined();
  });

  it("begins with the delay of the loop at a read", () => {
    loop.likelyUnreadMs = 1_500;
    unreadTime.observeRead();
    expect(unreadTime.behindSinceMs).toBe(8_500);
  });

  it("begins with the first of the holds that follow one another", () => {
    unreadTime.observeHold();
    clock.advance(300);
    unreadTime.observeResume();
    unreadTime.observeRead();
    unreadTime.observeHold();
    expect(unreadTime.behindSinceMs).toBe(10_000);
  });

  it("goes on while reads follow one another", async () => {
    unreadTime.observeHold();
    unreadTime.observeResume();
    for (let read = 0; read < 5; read++) {
      unreadTime.observeRead();
      await waitForTurns(1);
    }
    expect(unreadTime.behindSinceMs).toBe(10_000);
  });

  it("ends when the connection brings nothing more", async () => {
    unreadTime.observeHold();
    unreadTime.observeResume();
    unreadTime.observeRead();
    await waitForTurns(4);
    expect(unreadTime.behindSinceMs).toBeUndefined();
  });

  it("goes on during a hold, however long", async () => {
    unreadTime.observeHold();
    await waitForTurns(10);
    expect(unreadTime.behindSinceMs).toBe(10_000);
  });
});
