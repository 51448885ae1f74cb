// Guards the users' bound on extra attempts, and against failures that are not
// retried although the bound allows it: replays steady failures at several leaders.

import { SeededRandomSource } from "../time/random_source.ts";
import { RetryTokenBucket } from "./retry_token_bucket.ts";

const LIMITS = { ratio: 0.2, slack: 60, windowMs: 10_000 };
const LEADERS = 4;
const DURATION_MS = 60_000;
const STEP_MS = 10;

interface Load {
  readonly requestsPerSecond: number;
  readonly failingShare: number;
  /** Times at which all leaders are replaced by others, in milliseconds. */
  readonly replacedAtMs: readonly number[];
}

interface Attempts {
  readonly requestsAtMs: readonly number[];
  readonly retriesAtMs: readonly number[];
  readonly failures: number;
}

function startLeaders(): readonly RetryTokenBucket[] {
  return Array.from({ length: LEADERS }, () => {
    const bucket = new RetryTokenBucket(LIMITS);
    bucket.setVmCount(LEADERS);
    return bucket;
  });
}

function runLoad(load: Load, seed: number): Attempts {
  const random = new SeededRandomSource(seed);
  const requestsAtMs: number[] = [];
  const retriesAtMs: number[] = [];
  let failures = 0;
  let leaders = startLeaders();
  const perStep = load.requestsPerSecond * STEP_MS / 1_000;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    if (load.replacedAtMs.includes(nowMs)) {
      leaders = startLeaders();
    }
    if (random.sampleUniform() >= perStep) {
      continue;
    }
    const at = Math.floor(random.sampleUniform() * LEADERS);
    const leader = leaders[at];
    leader?.refill(nowMs);
    leader?.recordRequest();
    requestsAtMs.push(nowMs);
    if (random.sampleUniform() < load.failingShare) {
      failures += 1;
      if (leader?.take() === true) {
        retriesAtMs.push(nowMs);
      }
    }
  }
  return { requestsAtMs, retriesAtMs, failures };
}

function countBetween(times: readonly number[], fromMs: number): number {
  return times.filter((atMs) =>
    atMs >= fromMs && atMs < fromMs + LIMITS.windowMs
  ).length;
}

// The bound in the window from a retry on, with the requests of that window.
function findExcess({ requestsAtMs, retriesAtMs }: Attempts): number {
  return Math.max(
    ...retriesAtMs.map((fromMs) =>
      countBetween(retriesAtMs, fromMs) -
      countBetween(requestsAtMs, fromMs) * LIMITS.ratio - LIMITS.slack
    ),
  );
}

describe("RetryTokenBucket", () => {
  it.each([
    { requestsPerSecond: 27, failingShare: 0.9, replacedAtMs: [] },
    { requestsPerSecond: 80, failingShare: 1, replacedAtMs: [20_000, 24_000] },
    { requestsPerSecond: 2, failingShare: 1, replacedAtMs: [15_000] },
  ])("keeps the bound in each window: %j", (load) => {
    for (let seed = 1; seed <= 10; seed++) {
      expect(findExcess(runLoad(load, seed))).toBeLessThanOrEqual(0);
    }
  });

  it("retries nearly all failures of a service with gray servers", () => {
    const load = {
      requestsPerSecond: 27,
      failingShare: 0.22,
      replacedAtMs: [],
    };
    const { failures, retriesAtMs } = runLoad(load, 1);
    expect(retriesAtMs.length / failures).toBeGreaterThan(0.95);
  });

  it("gives a VM without callers no part of the slack", () => {
    const bucket = new RetryTokenBucket(LIMITS);
    bucket.setVmCount(undefined);
    bucket.refill(0);
    bucket.refill(DURATION_MS);
    expect(bucket.take()).toBe(false);
  });
});
