import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import { type ServerId, toId, type ZoneId } from "@limpetford/domain/ids";

import type {
  AttemptOutcome,
  AttemptSample,
} from "../evidence/attempt_sample.ts";
import { buildAnnouncedServer } from "../fakes/announced_server.ts";
import { buildPlacementDemand } from "../fakes/placement_demand.ts";
import { SeededRandomSource } from "../time/random_source.ts";
import type { PlacementDecision, TakenSlot } from "./placement_decision.ts";
import type { PlacementDemand } from "./placement_demand.ts";
import { ServicePlacement } from "./service_placement.ts";

const ZONE = toId<ZoneId>("z1");

function buildServer(
  name: string,
  changes: Partial<AnnouncedServer> = {},
): AnnouncedServer {
  return buildAnnouncedServer(name, { zone: ZONE, ...changes });
}

function buildDemand(
  nowMs: number,
  changes: Partial<PlacementDemand> = {},
): PlacementDemand {
  return buildPlacementDemand(
    { targetAtMs: nowMs + 600, deadlineAtMs: nowMs + 2_500 },
    changes,
  );
}

function buildSample(
  outcome: AttemptOutcome,
  totalMs = 200,
): AttemptSample {
  return {
    outcome,
    firstByteMs: totalMs,
    totalMs,
    wasConnectionReused: true,
    answerBytes: 100,
  };
}

function buildPlacement(
  servers: readonly AnnouncedServer[],
  slack = 60,
): ServicePlacement<string> {
  const placement = new ServicePlacement<string>({
    zone: ZONE,
    random: new SeededRandomSource(1),
    minimumShare: 0.7,
    retryBounds: { ratio: 0.2, slack, windowMs: 10_000 },
    findRateLimit: () => undefined,
  });
  placement.setServers(servers, 0);
  placement.setVmCount(3);
  return placement;
}

function expectSlot(decision: PlacementDecision<string>): TakenSlot {
  if (decision.kind !== "placed") {
    throw new Error(`expected a slot, got ${decision.kind}`);
  }
  return decision.slot;
}

describe("ServicePlacement", () => {
  it("sends no non-idempotent request to a server that failed", () => {
    const placement = buildPlacement([buildServer("a"), buildServer("b")]);
    const first = expectSlot(placement.acquire(buildDemand(0), "1", 0));
    placement.complete(first, buildSample("failed"), 100);
    for (let count = 0; count < 3; count++) {
      const slot = expectSlot(placement.acquire(buildDemand(100), "2", 100));
      expect(slot.server).not.toBe(first.server);
    }
  });

  it("probes a server without recent outcomes by an idempotent request", () => {
    const placement = buildPlacement([buildServer("a"), buildServer("b")]);
    // Probes need retry tokens, which first attempts add.
    for (let count = 0; count < 40; count++) {
      placement.recordRequest();
    }
    const first = expectSlot(placement.acquire(buildDemand(0), "1", 0));
    placement.complete(first, buildSample("failed"), 0);
    const safe = buildDemand(1_500, { isIdempotent: true });
    const probe = expectSlot(placement.acquire(safe, "2", 1_500));
    const other = expectSlot(placement.acquire(safe, "3", 1_500));
    expect(new Set([probe.server, other.server]).has(first.server)).toBe(true);
  });

  it("does not use a non-idempotent request as a probe", () => {
    const placement = buildPlacement([buildServer("a"), buildServer("b")]);
    const first = expectSlot(placement.acquire(buildDemand(0), "1", 0));
    placement.complete(first, buildSample("failed"), 0);
    const slot = expectSlot(placement.acquire(buildDemand(1_500), "2", 1_500));
    expect(slot.server).not.toBe(first.server);
  });

  it("uses every server that seems healthy within two seconds", () => {
    const servers = Array.from(
      { length: 18 },
      (_, index) =>
        buildServer(`i-${index}`, {
          zone: toId<ZoneId>(index < 6 ? "z1" : "z2"),
        }),
    );
    const placement = buildPlacement(servers);
    const used = new Set<string>();
    for (let nowMs = 2_000; nowMs < 4_000; nowMs += 50) {
      const slot = expectSlot(placement.acquire(buildDemand(nowMs), "", nowMs));
      used.add(slot.server.announced.id);
      placement.complete(slot, buildSample("served"), nowMs + 40);
    }
    expect(used.size).toBe(18);
  });

  it("queues requests without a slot and places the most urgent first", () => {
    const placement = buildPlacement([buildServer("a", { slots: 1 })]);
    const running = expectSlot(placement.acquire(buildDemand(0), "0", 0));
    const low = placement.acquire(buildDemand(0, { priority: 2 }), "low", 0);
    const high = placement.acquire(buildDemand(0, { priority: 1 }), "high", 0);
    expect([low.kind, high.kind]).toEqual(["waiting", "waiting"]);
    placement.complete(running, buildSample("served"), 200);
    const decided = placement.decideWaiting(200);
    expect(decided.map(({ waiter }) => waiter.item)).toEqual(["high"]);
    expect(placement.waitingCount).toBe(1);
  });

  it("refuses a request at once that would wait past its deadline", () => {
    const placement = buildPlacement([buildServer("a", { slots: 1 })]);
    const kinds = Array.from(
      { length: 40 },
      (_, index) => placement.acquire(buildDemand(0), String(index), 0).kind,
    );
    expect(kinds.filter((kind) => kind === "waiting").length)
      .toBeLessThan(12);
    expect(kinds.at(-1)).toBe("overloaded");
  });

  it("refuses a waiting request before its deadline", () => {
    const placement = buildPlacement([buildServer("a", { slots: 1 })]);
    expectSlot(placement.acquire(buildDemand(0), "0", 0));
    placement.acquire(buildDemand(0, { deadlineAtMs: 600 }), "1", 0);
    expect(placement.decideWaiting(350)).toEqual([]);
    const [decided] = placement.decideWaiting(450);
    expect(decided?.decision.kind).toBe("overloaded");
  });

  // Guards against requests that have waited and are cut off by their deadline
  // while a server runs them.
  it("starts no waiting request that may well be cut off by its deadline", () => {
    const placement = buildPlacement([buildServer("a", { slots: 1 })]);
    for (let count = 0; count < 200; count++) {
      const slot = expectSlot(placement.acquire(buildDemand(0), "", 0));
      placement.complete(
        slot,
        buildSample("served", count % 2 === 0 ? 20 : 60),
        0,
      );
    }
    const running = expectSlot(placement.acquire(buildDemand(0), "0", 0));
    placement.acquire(buildDemand(0, { deadlineAtMs: 600 }), "1", 0);
    placement.acquire(buildDemand(0, { deadlineAtMs: 700 }), "2", 0);
    placement.complete(running, buildSample("served", 500), 500);
    // One request in two takes 60 ms; the first one has 100 ms left.
    expect(
      placement.decideWaiting(500).map(({ waiter, decision }) => [
        waiter.item,
        decision.kind,
      ]),
    ).toEqual([["1", "overloaded"], ["2", "placed"]]);
  });

  it("counts the requests that other VMs have in flight", () => {
    const placement = buildPlacement([buildServer("a", { slots: 2 })]);
    placement.setPeerLoads(toId("other"), new Map([["a", 2]]), 0);
    expect(placement.acquire(buildDemand(0), "1", 0).kind).toBe("waiting");
    placement.setPeerLoads(toId("other"), new Map(), 10);
    expect(placement.decideWaiting(10)).toHaveLength(1);
  });

  // Guards against slots that stay taken after a VM was killed, or reports to other
  // VMs than before.
  it("forgets the requests of a VM that no longer reports them", () => {
    const placement = buildPlacement([buildServer("a", { slots: 2 })]);
    placement.setPeerLoads(toId("other"), new Map([["a", 2]]), 0);
    placement.setPeerLoads(toId("other"), new Map([["a", 2]]), 500);
    expect(placement.acquire(buildDemand(1_900), "1", 1_900).kind)
      .toBe("waiting");
    expect(placement.decideWaiting(2_000)).toHaveLength(1);
  });

  it("places no request on a leaving server", () => {
    const placement = buildPlacement([
      buildServer("a", { state: "leaving" }),
      buildServer("b"),
    ]);
    const slot = expectSlot(placement.acquire(buildDemand(0), "1", 0));
    expect(slot.server.announced.id).toBe("b");
  });

  it("avoids a server after a failure that another VM reports", () => {
    const placement = buildPlacement([buildServer("a"), buildServer("b")]);
    placement.applyPeerEvidence({
      server: toId<ServerId>("a"),
      evidence: "failure",
      isLinkFailure: false,
    }, 0);
    const slot = expectSlot(placement.acquire(buildDemand(0), "1", 0));
    expect(slot.server.announced.id).toBe("b");
  });

  it("avoids a server whose running request hangs", () => {
    const placement = buildPlacement([
      buildServer("a"),
      buildServer("b", { zone: toId<ZoneId>("z2") }),
    ]);
    const hung = expectSlot(placement.acquire(buildDemand(0), "1", 0));
    const slot = expectSlot(placement.acquire(buildDemand(900), "2", 900));
    expect(slot.server).not.toBe(hung.server);
  });

  it("allows a retry for the first failure at a VM with callers", () => {
    const placement = buildPlacement([buildServer("a")]);
    placement.recordRequest();
    expect(placement.takeRetry()).toBe(true);
  });

  it("keeps the retries of forty VMs within the limit of the service", () => {
    // Three VMs receive callers; each of the others has four failed requests.
    let taken = 0;
    let requests = 0;
    for (let vm = 0; vm < 40; vm++) {
      const placement = buildPlacement([buildServer("a")], 60);
      placement.setVmCount(vm < 3 ? 3 : undefined);
      for (let count = 0; count < (vm < 3 ? 300 : 4); count++) {
        placement.recordRequest();
        requests += 1;
        taken += placement.takeRetry() ? 1 : 0;
      }
    }
    expect(taken).toBeLessThanOrEqual(requests * 0.2 + 60);
    expect(taken).toBeGreaterThan(requests * 0.1);
  });

  it("keeps the retries of one VM within the limit of the service", () => {
    const placement = buildPlacement([buildServer("a")], 10);
    for (let count = 0; count < 100; count++) {
      placement.recordRequest();
    }
    let taken = 0;
    while (placement.takeRetry()) {
      taken += 1;
    }
    expect(taken).toBeLessThanOrEqual(100 * 0.2 + 10);
  });
});
