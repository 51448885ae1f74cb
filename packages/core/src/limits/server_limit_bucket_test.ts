// Guards against more grants than a server's limit allows, whatever the order in
// which responses arrive, and against limits that never end.

import * as fc from "fast-check";

import { ServerLimitBucket } from "./server_limit_bucket.ts";

const WINDOW_MS = 4_000;

// Takes tokens as fast as possible.
function listGrants(
  bucket: ServerLimitBucket,
  times: { readonly fromMs: number; readonly toMs: number },
): number[] {
  const grants: number[] = [];
  for (let nowMs = times.fromMs; nowMs < times.toMs; nowMs += 10) {
    while (bucket.take(1, nowMs) === 0) {
      grants.push(nowMs);
    }
  }
  return grants;
}

function countMostInWindow(grants: readonly number[]): number {
  return Math.max(
    0,
    ...grants.map((first) =>
      grants.filter((at) => at >= first && at < first + WINDOW_MS).length
    ),
  );
}

describe("ServerLimitBucket", () => {
  it.each([0.3, 1, 2.5, 8, 100])(
    "grants no more than a limit of %d in any window, and uses it",
    (limit) => {
      const grants = listGrants(new ServerLimitBucket(limit, 0), {
        fromMs: 0,
        toMs: 40_000,
      });
      expect(countMostInWindow(grants))
        .toBeLessThanOrEqual(limit * 4.25 + 1);
      expect(grants.length).toBeGreaterThan(limit * 40 * 0.9 - 1);
    },
  );

  it("starts without a token, since another VM may have granted just before", () => {
    const bucket = new ServerLimitBucket(2, 0);
    expect(bucket.take(1, 0)).toBeCloseTo(500);
    expect(bucket.take(1, 500)).toBe(0);
    expect(bucket.take(1, 500)).toBeCloseTo(500);
  });

  it("grants a request every four seconds at a limit of 0", () => {
    const bucket = new ServerLimitBucket(0, 0);
    expect(bucket.take(1, 3_999)).toBeGreaterThan(0);
    expect(bucket.take(1, 4_000)).toBe(0);
  });

  it("grants nothing without a share", () => {
    expect(new ServerLimitBucket(2, 0).take(0, 10_000)).toBe(Infinity);
  });

  it("applies a lower limit at once, and a higher one from a later request only", () => {
    const bucket = new ServerLimitBucket(4, 0);
    bucket.observeNamed(1, undefined, 100);
    expect(bucket.namedPerSecond).toBe(1);
    // Its request was sent before the response that named 1.
    bucket.observeNamed(4, 50, 200);
    bucket.observeNamed(4, undefined, 200);
    expect(bucket.namedPerSecond).toBe(1);
    bucket.observeNamed(4, 150, 300);
    expect(bucket.namedPerSecond).toBe(4);
  });

  it("raises the limit step by step when responses no longer name it", () => {
    const bucket = new ServerLimitBucket(1, 0);
    const waits = [1_000, 2_000, 3_000, 4_000].map((atMs) => {
      bucket.observeNone(atMs - 500, atMs);
      return bucket.hasEnded;
    });
    expect(waits).toEqual([false, false, false, true]);
  });

  it("does not end when earlier responses without a limit arrive late", () => {
    const bucket = new ServerLimitBucket(1, 0);
    for (let count = 0; count < 10; count++) {
      bucket.observeNone(500, 1_000 + count);
    }
    expect(bucket.hasEnded).toBe(false);
  });

  it("starts over when a response names the limit again", () => {
    const bucket = new ServerLimitBucket(1, 0);
    [1_000, 2_000, 3_000].forEach((atMs) => {
      bucket.observeNone(atMs - 500, atMs);
    });
    bucket.observeNamed(1, 3_500, 4_000);
    bucket.observeNone(4_500, 5_000);
    expect(bucket.hasEnded).toBe(false);
  });

  it("keeps the users' rule when only some responses name the limit", () => {
    fc.assert(fc.property(
      fc.infiniteStream(fc.boolean()),
      fc.constantFrom(0.5, 1, 2, 8),
      (namesLimit, limit) => {
        const bucket = new ServerLimitBucket(limit, 0);
        const grants: number[] = [];
        const responses: { atMs: number; grantedAtMs: number }[] = [];
        for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
          while (responses[0] !== undefined && responses[0].atMs <= nowMs) {
            const grantedAtMs = responses.shift()?.grantedAtMs;
            if (namesLimit.next().value) {
              bucket.observeNamed(limit, grantedAtMs, nowMs);
            } else {
              bucket.observeNone(grantedAtMs, nowMs);
            }
          }
          if (bucket.hasEnded) {
            return;
          }
          while (bucket.take(1, nowMs) === 0) {
            grants.push(nowMs);
            responses.push({ atMs: nowMs + 200, grantedAtMs: nowMs });
          }
        }
        const named = grants.length / 20;
        expect(named).toBeLessThanOrEqual(limit * 8 + 1);
      },
    ));
  });
});
