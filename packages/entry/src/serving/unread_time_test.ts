import { FakeClock } from "@limpetford/core/time/fake_clock";

import { UnreadTime } from "./unread_time.ts";

describe("the time for which an end may have lain unread", () => {
  const loop = { likelyUnreadMs: 0 };
  let clock: FakeClock;
  let unreadTime: UnreadTime;
  beforeEach(() => {
    clock = new FakeClock();
    loop.likelyUnreadMs = 0;
    unreadTime = new UnreadTime(0, { clock, loop });
  });

  function readAfter(afterMs: number, loopDelayMs = 0): number {
    clock.advance(afterMs);
    loop.likelyUnreadMs = loopDelayMs;
    unreadTime.observeRead();
    return unreadTime.unreadMs;
  }

  function stopReads(durationMs: number): void {
    unreadTime.observeHold();
    clock.advance(durationMs);
    unreadTime.observeResume();
  }

  it("is none while the loop is not behind", () => {
    expect(readAfter(5_000)).toBe(0);
  });

  it("is the longest delay of the loop", () => {
    const read = [
      readAfter(2_000, 1_500),
      readAfter(1, 1_501),
      readAfter(40, 30),
    ];
    expect(read).toEqual([1_500, 1_500, 1_500]);
  });

  it("does not add up short delays of a busy loop", () => {
    const read = Array.from({ length: 100 }, () => readAfter(50, 30));
    expect(Math.max(...read)).toBe(30);
  });

  it("is at most the time since the request was sent", () => {
    expect(readAfter(100, 1_500)).toBe(100);
  });

  it("adds up over holds that follow one another", () => {
    stopReads(300);
    readAfter(1);
    stopReads(300);
    expect(readAfter(1)).toBe(600);
  });

  it("includes the present hold", () => {
    unreadTime.observeHold();
    clock.advance(700);
    unreadTime.observeHold();
    expect(unreadTime.unreadMs).toBe(700);
  });

  it("ends when the connection has been quiet", () => {
    stopReads(300);
    expect([readAfter(150), readAfter(250)]).toEqual([300, 0]);
  });

  it("goes on if the loop was behind meanwhile", () => {
    stopReads(300);
    expect(readAfter(250, 200)).toBe(500);
  });
});
