// Guards against a server that gets one request only, until a long response has
// ended, because it named a pause before.

import { buildAnnouncedServer } from "@limpetford/core/fakes/announced_server";
import { buildPlacementDemand } from "@limpetford/core/fakes/placement_demand";
import { ServicePlacement } from "@limpetford/core/placement/service_placement";
import { FakeClock } from "@limpetford/core/time/fake_clock";
import { SeededRandomSource } from "@limpetford/core/time/random_source";

import { ExchangeSide } from "../fakes/exchange_side.ts";
import { buildPlacementRequest } from "../fakes/placement_request.ts";
import { ServerNotices } from "./server_notices.ts";
import type { PendingPlacement } from "./service_balancers.ts";

const SERVER = buildAnnouncedServer("i-1");
const PAUSE_MS = 200;
const DEMAND = buildPlacementDemand({ targetAtMs: 9_000, deadlineAtMs: 9_000 });

describe("the head of the first response after a pause", () => {
  it.each([
    { says: "no pause", pauseMs: undefined, isOnTrial: false },
    { says: "a pause of no length", pauseMs: 0, isOnTrial: false },
    { says: "another pause", pauseMs: 50, isOnTrial: true },
  ])("says $says: on trial is $isOnTrial", ({ pauseMs, isOnTrial }) => {
    const clock = new FakeClock();
    const { state, limits, log } = new ExchangeSide("a", clock);
    const notices = new ServerNotices({
      state,
      limits,
      clock,
      log,
      notifyChange: () => undefined,
    });
    const balancer = new ServicePlacement<PendingPlacement>({
      zone: SERVER.zone,
      random: new SeededRandomSource(1),
      minimumShare: 0.7,
      retryBounds: { ratio: 0.2, slack: 60, windowMs: 10_000 },
      findRateLimit: () => undefined,
    });
    const startMs = clock.readMonotonicMs();
    balancer.setServers([SERVER], startMs);
    balancer.servers.recordPause(SERVER, startMs + PAUSE_MS, startMs);
    clock.advance(PAUSE_MS);
    const pending = {
      request: buildPlacementRequest("r"),
      askedAtMs: startMs,
      resolve: () => undefined,
    };
    const decision = balancer.acquire(DEMAND, pending, startMs + PAUSE_MS);
    if (decision.kind !== "placed") {
      throw new Error("the request was not placed");
    }
    const { slot } = decision;
    expect(slot.server.isOnTrial()).toBe(true);
    notices.observe(SERVER, {
      rateLimit: { kind: "none" },
      isLeaving: false,
      pauseMs,
    }, { balancer, slot, request: { id: "r", grant: undefined } });
    expect(slot.server.isOnTrial()).toBe(isOnTrial);
  });
});
