import { type TeamId, toId } from "@limpetford/domain/ids";
import fc from "fast-check";
import { getShortestPaths } from "xstate/graph";

import { CONNECTION_MACHINE } from "../routing/connection_machine.ts";
import { REQUEST_MACHINE } from "./request_machine.ts";
import { RetryBudget } from "./retry_budget.ts";

const SEED = 3;
const MAX_SHARE = 0.1;

describe("RetryBudget", () => {
  it("limits extra attempts to one plus a tenth of the first attempts", () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.boolean(), fc.nat(3)), { maxLength: 400 }),
        (steps) => {
          const budget = new RetryBudget();
          let first = 0;
          let extra = 0;
          for (const [isExtra, teamNumber] of steps) {
            const team = toId<TeamId>(`t${teamNumber}`);
            if (isExtra) {
              extra += budget.take(team) ? 1 : 0;
            } else {
              first += 1;
              budget.recordFirstAttempt(team);
            }
            expect(extra).toBeLessThanOrEqual(1 + MAX_SHARE * first);
          }
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });
});

describe("REQUEST_MACHINE", () => {
  it("ends every request with no attempt running", () => {
    const paths = getShortestPaths(REQUEST_MACHINE, {
      stopWhen: (state) => state.context.attempts > 3,
    });
    const ends = paths.filter(({ state }) => state.status === "done");
    expect(ends.length).toBeGreaterThan(0);
    for (const { state } of paths) {
      expect(state.context.running).toBeGreaterThanOrEqual(0);
    }
    for (const { state } of ends) {
      expect(state.context.running).toBe(0);
    }
  });
});

describe("CONNECTION_MACHINE", () => {
  it("never reuses a connection after a cancellation or a malformed response", () => {
    const paths = getShortestPaths(CONNECTION_MACHINE);
    expect(paths.map(({ state }) => state.value).sort()).toEqual([
      "busy",
      "closed",
      "connecting",
      "idle",
    ]);
    for (const { state, steps } of paths) {
      const isSpoiled = steps.some(({ event }) =>
        event.type === "answer-spoiled"
      );
      expect(isSpoiled && state.value !== "closed").toBe(false);
    }
  });
});
