// Guards against teams that go over their limit in any window of a schedule of
// kills, cuts and changed limits, and against refusals of what is within it.

import { LimitSchedule } from "../fakes/limit_schedule.ts";

/** `LIMIT_SEEDS=1-200` plays these by hand. */
const [FIRST_SEED, LAST_SEED] = (process.env["LIMIT_SEEDS"] ?? "1-6").split(
  "-",
)
  .map(Number);
const SEEDS = Array.from(
  { length: (LAST_SEED ?? 1) - (FIRST_SEED ?? 1) + 1 },
  (_, index) => (FIRST_SEED ?? 1) + index,
);
/** Requests per second as a multiple of the rate. */
const USUAL_DEMAND = 0.6;
const KILLS = [
  "kill all",
  "kill zone",
  "kill leaders",
  "kill some",
  "change limit",
];

describe("SharedRateLimiter over random schedules", () => {
  it("keeps the limit in each window", async () => {
    const over: string[] = [];
    for (const seed of SEEDS) {
      const { excess, events } = await new LimitSchedule(seed).run();
      if (excess > 0) {
        over.push(
          `seed ${seed}, ${Math.round(excess)} over: ${events.join("; ")}`,
        );
      }
    }
    expect(over).toEqual([]);
  }, 600_000);

  it.each([
    { faults: KILLS, demand: USUAL_DEMAND, maxRefusedShare: 0.1 },
    { demand: USUAL_DEMAND, maxRefusedShare: 0.1 },
  ])("refuses little within the limit: %j", async (each) => {
    let asked = 0;
    let refused = 0;
    for (const seed of SEEDS) {
      const outcome = await new LimitSchedule(seed, each).run();
      asked += outcome.asked;
      refused += outcome.refusedWithinLimit;
    }
    const share = refused / asked;
    expect({ asked, refused, isKept: share <= each.maxRefusedShare })
      .toEqual({ asked, refused, isKept: true });
  }, 600_000);
});
