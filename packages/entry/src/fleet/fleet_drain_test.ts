import { FakeClock } from "@limpetford/core/time/fake_clock";

import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { FleetDrain, type FleetDrainOptions } from "./fleet_drain.ts";

const GRACE_PERIOD_MS = 500;
const FORCED_STOP_MS = 450;
const STEPS = ["begin", "log", "notify", "recent", "drain"];

// Guards against a stop that an exception leaves half done: requests in flight would
// be cut by the end of the process, without an answer.
describe("FleetDrain", () => {
  let steps: string[];
  let exceptions: CollectedExceptions;

  function buildOptions(fault: string): FleetDrainOptions {
    steps = [];
    exceptions = new CollectedExceptions();
    const runStep = (step: string): void => {
      steps.push(step);
      if (step === fault) {
        throw new Error(`fault at ${step}`);
      }
    };
    return {
      gracePeriodMs: GRACE_PERIOD_MS,
      exceptions,
      clock: new FakeClock(),
      peers: { isLeaving: false, ownLeaderSinceMs: 0 },
      stop: {
        begin: () => {
          runStep("begin");
        },
      },
      log: {
        record: () => {
          runStep("log");
        },
      },
      exchange: {
        notifyPartners: () => {
          runStep("notify");
        },
      },
      router: {
        hasRecentRequests: () => {
          runStep("recent");
          return false;
        },
      },
      callerServer: {
        inFlight: 1,
        drain: async () => {
          runStep("drain");
          await new Promise(() => undefined);
        },
        abortRequests: () => {
          runStep("abort");
        },
      },
    };
  }

  it.each(STEPS)("answers what is in flight: %s", async (fault) => {
    const options = buildOptions(fault);
    const startedAtMs = performance.now();
    await new FleetDrain(options).run();
    expect(performance.now() - startedAtMs)
      .toBeGreaterThanOrEqual(FORCED_STOP_MS - 1);
    expect(steps).toEqual([...STEPS, "log", "abort"]);
    expect(options.peers.isLeaving).toBe(true);
    expect(new Set(exceptions.sources)).toEqual(new Set(["stop"]));
  });
});
