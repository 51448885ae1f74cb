// Guards against a timer that one exception ends for good, or that ends the process.

import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { startRegularSteps } from "./regular_steps.ts";
import { ServerReachMonitor } from "./server_reach_monitor.ts";
import { WaitingRequests } from "./waiting_requests.ts";

type Observed = Parameters<WaitingRequests["observe"]>;
type Balancers = ConstructorParameters<
  typeof WaitingRequests
>[0]["balancers"];

const WAIT_MS = 400;

async function waitMs(durationMs: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

describe("a timer whose step throws", () => {
  let exceptions: CollectedExceptions;
  beforeEach(() => {
    exceptions = new CollectedExceptions();
  });

  it("goes on with the other steps and turns", async () => {
    let count = 0;
    const timer = startRegularSteps(10, exceptions, [
      (): void => {
        throw new Error("fault of a step");
      },
      () => Promise.reject(new Error("fault of a later part")),
      (): void => {
        count += 1;
      },
    ]);
    await waitMs(WAIT_MS);
    clearInterval(timer);
    expect(count).toBeGreaterThan(2);
    expect(exceptions.sources.length).toBe(2 * count);
  });

  it("decides on the requests that wait for other services", async () => {
    const services = [{ waitingCount: 1 }, { waitingCount: 1 }];
    const decided: unknown[] = [];
    const waiting = new WaitingRequests({
      balancers: { list: () => services } as unknown as Balancers,
      exceptions,
      mayEndInTime: () => true,
      decide: (service) => {
        decided.push(service);
        if (decided.length === 1) {
          throw new Error("fault of a decision");
        }
        services.forEach((waitedFor) => {
          waitedFor.waitingCount = decided.length < 4 ? 1 : 0;
        });
      },
    });
    const { signal } = new AbortController();
    const waiter = { item: { request: { signal } } };
    waiting.observe(
      services[0] as unknown as Observed[0],
      waiter as Observed[1],
    );
    await waitMs(WAIT_MS);
    expect(decided).toEqual([...services, ...services]);
    expect(exceptions.sources).toEqual(["timer"]);
  });

  it("checks the links to servers again", async () => {
    let count = 0;
    const options = {
      exceptions,
      clock: { readMonotonicMs: () => 0 },
      balancers: {
        listByService: (): readonly never[] => {
          count += 1;
          if (count === 1) {
            throw new Error("fault of a check");
          }
          return [];
        },
      },
    };
    const monitor = new ServerReachMonitor(
      options as unknown as ConstructorParameters<typeof ServerReachMonitor>[0],
    );
    monitor.schedule();
    await waitMs(WAIT_MS);
    monitor.stop();
    expect(count).toBe(2);
    expect(exceptions.sources).toEqual(["timer"]);
  });
});
