import {
  PlacementReplay,
  type ReplayedKind,
  type ReplayedOutcome,
} from "./placement_replay.ts";

const UNSAFE: ReplayedKind = {
  name: "unsafe",
  isRepeatable: false,
  perSecond: 72,
  workMs: 200,
  priority: 1,
};
const SAFE: ReplayedKind = {
  name: "safe",
  isRepeatable: true,
  perSecond: 34,
  workMs: 150,
  priority: 2,
};
const SEEDS = [1, 2, 3, 4];

interface FailureShares {
  readonly safe: number;
  readonly unsafe: number;
}

function measureFailures(
  servers: number,
  grayShare: number,
): FailureShares {
  const totals = { safe: 0, unsafe: 0, safeCount: 0, unsafeCount: 0 };
  for (const seed of SEEDS) {
    const outcomes = new PlacementReplay({
      seed,
      servers,
      slots: 3,
      kinds: [UNSAFE, SAFE],
      lengthMs: 60_000,
      grayShare,
      grayPeriodMs: 9_000,
      grayMs: 4_500,
      grayFailures: 0.75,
      wellFailures: 0.012,
    }).run();
    const safe = readOutcome(outcomes, SAFE);
    const unsafe = readOutcome(outcomes, UNSAFE);
    totals.safe += safe.failed;
    totals.safeCount += safe.count;
    totals.unsafe += unsafe.failed;
    totals.unsafeCount += unsafe.count;
  }
  return {
    safe: totals.safe / totals.safeCount,
    unsafe: totals.unsafe / totals.unsafeCount,
  };
}

function readOutcome(
  outcomes: ReadonlyMap<string, Readonly<ReplayedOutcome>>,
  kind: ReplayedKind,
): Readonly<ReplayedOutcome> {
  const outcome = outcomes.get(kind.name);
  if (outcome === undefined) {
    throw new Error(`${kind.name} was not replayed`);
  }
  return outcome;
}

describe("placement while many servers are gray at once", () => {
  // A request that may be sent twice must not fare worse than one that may not,
  // which it does when it is used up as a probe.
  it.each([
    { servers: 18, grayShare: 0.3 },
    { servers: 15, grayShare: 0.45 },
    { servers: 12, grayShare: 0.3 },
  ])(
    "repeatable requests fail no more often: $servers servers, $grayShare gray",
    ({ servers, grayShare }) => {
      const { safe, unsafe } = measureFailures(servers, grayShare);
      expect(safe).toBeLessThanOrEqual(unsafe);
    },
  );
});
