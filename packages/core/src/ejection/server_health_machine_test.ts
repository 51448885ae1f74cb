import { transition } from "xstate";
import { getShortestPaths } from "xstate/graph";

import { ServerHealth } from "./server_health.ts";
import {
  computeBackoffMs,
  FIRST_BACKOFF_MS,
  MAX_BACKOFF_MS,
  SERVER_HEALTH_MACHINE,
  type ServerHealthEvent,
  TRIAL_SUCCESSES,
} from "./server_health_machine.ts";

const LATER_MS = 10_000_000;
const EVENTS: readonly ServerHealthEvent[] = [
  { type: "accused", severity: 0.8, alternative: "slow", nowMs: 0 },
  { type: "spared", nowMs: 0 },
  { type: "probe-answered", nowMs: 0 },
  { type: "trial-succeeded", nowMs: 0 },
  { type: "trial-failed", nowMs: 0 },
  { type: "time-passed", nowMs: LATER_MS },
];

// Guards against a gray server that is readmitted because its health endpoint
// still answers, or before enough requests of a trial have succeeded.
describe("SERVER_HEALTH_MACHINE", () => {
  const paths = getShortestPaths(SERVER_HEALTH_MACHINE, {
    events: [...EVENTS],
    serializeState: (state) =>
      `${state.value}|${
        Math.min(2, state.context.strikes)
      }|${state.context.successes}`,
    limit: 1_000,
  });

  it("reaches every state", () => {
    const states = new Set(paths.map((path) => path.state.value));
    expect([...states].sort()).toEqual([
      "ejected",
      "healthy",
      "ramping",
      "trial",
    ]);
  });

  it("never changes the state on a probe alone", () => {
    for (const { state } of paths) {
      const probe = { type: "probe-answered", nowMs: 0 } as const;
      const [next] = transition(SERVER_HEALTH_MACHINE, state, probe);
      expect(next.value).toBe(state.value);
    }
  });

  it("ends a trial early only after enough successful requests", () => {
    for (const { state } of paths) {
      const success = { type: "trial-succeeded", nowMs: 0 } as const;
      const [next] = transition(SERVER_HEALTH_MACHINE, state, success);
      const isLast = state.context.successes === TRIAL_SUCCESSES - 1;
      const leaves = state.value === "trial" && isLast;
      expect(next.value).toBe(leaves ? "ramping" : state.value);
    }
  });
});

// Guards against a flapping server that gets requests again too often.
describe("ServerHealth", () => {
  it("backs off longer with each ejection of a flapping server", () => {
    const health = new ServerHealth();
    let nowMs = 0;
    const waits: number[] = [];
    for (let round = 0; round < 8; round += 1) {
      const before = nowMs;
      health.apply({ type: "accused", severity: 1, alternative: "x", nowMs });
      nowMs = health.readContext().untilMs;
      waits.push(nowMs - before);
      health.apply({ type: "time-passed", nowMs });
      for (let count = 0; count < TRIAL_SUCCESSES; count += 1) {
        health.apply({ type: "trial-succeeded", nowMs });
      }
      expect(health.readState()).toBe("ramping");
    }
    expect(waits).toEqual(waits.map((_, index) => computeBackoffMs(index + 1)));
    expect(waits[0]).toBe(FIRST_BACKOFF_MS);
    expect(waits.at(-1)).toBe(MAX_BACKOFF_MS);
  });
});
