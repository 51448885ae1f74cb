// Guards against a request for a token that ends the VM when it throws, keeps the
// slot for good, or leaves its caller without any answer until the deadline.

import { buildAnnouncedServer } from "@limpetford/core/fakes/announced_server";
import { FakeClock } from "@limpetford/core/time/fake_clock";

import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { ExchangeSide } from "../fakes/exchange_side.ts";
import { buildPlacementRequest } from "../fakes/placement_request.ts";
import { PlacementLog } from "./placement_log.ts";
import { PlacementRouter } from "./placement_router.ts";
import { StopSchedule } from "./stop_schedule.ts";

type RouterOptions = ConstructorParameters<typeof PlacementRouter>[0];

const SERVER = buildAnnouncedServer("i-1");

// One service with one server; counts the slots that are taken.
class FakeBalancer {
  readonly reach = { isInDoubt: false };
  readonly slot = {
    server: { announced: SERVER },
    running: { startedAtMs: 0 },
    needsToken: true,
  };
  taken = 0;
  waitingCount = 0;

  recordRequest(): void {
    return;
  }

  acquire(): unknown {
    this.taken += 1;
    return { kind: "placed", slot: this.slot };
  }

  complete(): void {
    this.taken -= 1;
  }

  grantToken(): void {
    return;
  }

  decideWaiting(): readonly never[] {
    return [];
  }
}

describe("an exception while a slot is given", () => {
  const clock = new FakeClock();
  let exceptions: CollectedExceptions;
  let balancer: FakeBalancer;
  beforeEach(() => {
    exceptions = new CollectedExceptions();
    balancer = new FakeBalancer();
    jest.spyOn(PlacementLog.prototype, "recordPlaced").mockReturnValue();
  });
  afterEach(() => {
    jest.restoreAllMocks();
  });

  function buildRouter(changes: Partial<RouterOptions>): PlacementRouter {
    const side = new ExchangeSide("vm-1", clock);
    return new PlacementRouter({
      balancers: { find: () => balancer, list: () => [] },
      state: side.state,
      clock,
      log: side.log,
      guard: side.crashes.guard,
      limits: { client: { take: () => Promise.resolve({ kind: "granted" }) } },
      reach: { schedule: () => undefined },
      forwarder: { forward: () => undefined },
      stop: new StopSchedule(),
      exceptions,
      notifyChange: () => undefined,
      ...changes,
    } as unknown as RouterOptions);
  }

  it.each<[string, boolean, Partial<RouterOptions>]>([
    ["the token", true, {
      limits: {
        client: { take: () => Promise.reject(new Error("fault of a call")) },
      } as unknown as RouterOptions["limits"],
    }],
    ["a placement with a token", true, {
      reach: {
        schedule: () => {
          throw new Error("fault of a placement");
        },
      } as unknown as RouterOptions["reach"],
    }],
    ["a placement without a token", false, {
      reach: {
        schedule: () => {
          throw new Error("fault of a placement");
        },
      } as unknown as RouterOptions["reach"],
    }],
  ])("ends this request alone: %s", async (_name, needsToken, changes) => {
    balancer.slot.needsToken = needsToken;
    const router = buildRouter(changes);
    const verdict = await router.acquire(buildPlacementRequest("r"));
    expect(verdict.kind).toBe("no-server");
    expect(balancer.taken).toBe(0);
    expect(exceptions.sources).toEqual(["caller"]);
  }, 2_000);

  it("does not take back a slot that was given: the queue", async () => {
    balancer.decideWaiting = (): never => {
      throw new Error("fault of a decision");
    };
    const verdict = await buildRouter({}).acquire(buildPlacementRequest("r"));
    expect(verdict.kind).toBe("placed");
    expect(balancer.taken).toBe(1);
    await Promise.resolve();
    expect(exceptions.sources).toEqual(["timer"]);
  });
});

describe("an exception of a call for tokens", () => {
  const clock = new FakeClock();

  function buildThrowingSide(): ExchangeSide {
    const owner = new ExchangeSide("vm-0", clock);
    const side = new ExchangeSide("vm-1", clock, {
      calls: {
        sendServerTokenRequest: () => Promise.reject(new Error("fault")),
        sendServerLimitReport: () => Promise.reject(new Error("fault")),
      },
    });
    side.limits.tracker.recordNamed(SERVER, 10);
    jest.spyOn(side.peers, "listLeaders").mockReturnValue([owner.self]);
    return side;
  }

  it("counts as a reply that was lost", async () => {
    const side = buildThrowingSide();
    const verdict = await side.limits.client.take(SERVER, 0);
    expect(verdict).toMatchObject({ kind: "refused", cause: "owner-silent" });
    expect(side.exceptions.sources).toEqual(["peer"]);
  });

  it("ends a report of a limit alone", async () => {
    const side = buildThrowingSide();
    side.limits.client.report(SERVER, { requestsPerSecond: 10 });
    await new Promise((resolve) => setImmediate(resolve));
    expect(side.exceptions.sources).toEqual(["peer"]);
  });
});
