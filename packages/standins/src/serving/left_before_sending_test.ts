import { SimpleServerRouter } from "@limpetford/entry/fakes/simple_server_router";
import type {
  PlacementRequest,
  PlacementVerdict,
  RetryVerdict,
} from "@limpetford/entry/ports/server_router";

import { sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

/** Its first servers leave after they were chosen, before the request is sent. */
class LeavingServersRouter extends SimpleServerRouter {
  leaving = 0;
  readonly left = new Set<number>();

  override async acquire(request: PlacementRequest): Promise<PlacementVerdict> {
    const verdict = await super.acquire(request);
    if (verdict.kind !== "placed" || this.left.size >= this.leaving) {
      return verdict;
    }
    const { placement } = verdict;
    this.left.add(placement.server.address.port);
    return {
      kind: "placed",
      placement: { ...placement, isServerInUse: () => false },
    };
  }

  override planRetry(): RetryVerdict {
    return { kind: "retry", delayMs: 0 };
  }
}

// Guards against a request that is sent to a server which has left while the
// connection was made, or a token was waited for.
describe("a server that leaves between the choice and the sending", () => {
  let router: LeavingServersRouter;
  let harness: ServingHarness;
  beforeEach(async () => {
    harness = new ServingHarness({
      serverCount: 3,
      preparePorts: (ports) => {
        router = new LeavingServersRouter(ports.configuration, ports.random);
        return { ...ports, router };
      },
    });
    await harness.start();
  });
  afterEach(async () => {
    await harness.stop();
  });

  async function sendTo(path: string): Promise<number | undefined> {
    const { status } = await sendRequest(harness.address, path, {
      method: path === "/confirm" ? "POST" : "GET",
      headers: {
        authorization: `Bearer ${HARNESS_KEY}`,
        "idempotency-key": "a",
      },
    });
    return status;
  }

  it.each([
    ["/read", 1],
    ["/read", 2],
    ["/confirm", 1],
  ])("gets no request; another one does: %s, %i", async (path, leaving) => {
    router.leaving = leaving;
    expect(await sendTo(path)).toBe(200);
    const got = harness.backends.map(({ address, received }) => ({
      hasLeft: router.left.has(address.port),
      count: received.length,
    }));
    expect(got.filter(({ hasLeft }) => hasLeft).map(({ count }) => count))
      .toEqual(Array.from({ length: leaving }, () => 0));
    expect(got.reduce((sum, { count }) => sum + count, 0)).toBe(1);
  });

  it("is refused as not run if there is no other", async () => {
    router.leaving = 3;
    expect(await sendTo("/confirm")).toBe(503);
    expect(harness.backends.flatMap(({ received }) => received)).toEqual([]);
  });
});
