import { LongestDurations } from "@limpetford/core/placement/longest_durations";

import { buildPlacementRequest } from "../fakes/placement_request.ts";
import { StopSchedule } from "./stop_schedule.ts";

const NOW_MS = 3_000;
const STOP_AT_MS = 5_000;

describe("StopSchedule", () => {
  it.each([
    {
      name: "not stopping",
      stopAtMs: Infinity,
      longestMs: 9_000,
      expected: true,
    },
    {
      name: "ends in time",
      stopAtMs: STOP_AT_MS,
      longestMs: 1_000,
      expected: true,
    },
    {
      name: "may last longer",
      stopAtMs: STOP_AT_MS,
      longestMs: 2_500,
      expected: false,
    },
    {
      name: "ends in time, unless it lasts a little longer than the others",
      stopAtMs: STOP_AT_MS,
      longestMs: 1_900,
      expected: false,
    },
    {
      name: "little known",
      stopAtMs: STOP_AT_MS,
      longestMs: undefined,
      expected: false,
    },
    {
      name: "little known, deadline before the stop",
      stopAtMs: STOP_AT_MS,
      longestMs: undefined,
      deadlineAtMs: 4_900,
      expected: true,
    },
    // Guards against a request that lasts longer than all before it and is cut.
    {
      name: "late in the stop, expected to end in time",
      stopAtMs: STOP_AT_MS,
      estimatesUntilMs: NOW_MS - 1,
      longestMs: 100,
      expected: false,
    },
    {
      name: "late in the stop, deadline before the stop",
      stopAtMs: STOP_AT_MS,
      estimatesUntilMs: NOW_MS - 1,
      longestMs: 100,
      deadlineAtMs: 4_900,
      expected: true,
    },
  ])("decides on a request at 3,000 ms: $name", (testCase) => {
    const { context } = buildPlacementRequest("r");
    const durations = new LongestDurations();
    const { longestMs } = testCase;
    if (longestMs !== undefined) {
      for (let count = 0; count < 10; count++) {
        durations.record(context.route.id, longestMs, NOW_MS);
      }
    }
    const schedule = new StopSchedule();
    schedule.begin({
      estimatesUntilMs: testCase.estimatesUntilMs ?? NOW_MS,
      stopAtMs: testCase.stopAtMs,
    });
    const request = {
      route: context.route,
      deadlineAtMs: testCase.deadlineAtMs ?? 6_000,
    };
    expect(schedule.mayEndInTime(request, durations, NOW_MS)).toBe(
      testCase.expected,
    );
  });
});
