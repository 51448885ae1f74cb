// Guards against traffic between availability zones that serves nobody: its price
// grows with the size of the responses.

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import { type ServerId, toId, type ZoneId } from "@limpetford/domain/ids";

import { buildAnnouncedServer } from "../fakes/announced_server.ts";
import { buildPlacementDemand } from "../fakes/placement_demand.ts";
import { SeededRandomSource } from "../time/random_source.ts";
import type { TakenSlot } from "./placement_decision.ts";
import type { PlacementDemand } from "./placement_demand.ts";
import { ServicePlacement } from "./service_placement.ts";

const OWN = toId<ZoneId>("own");
const SERVERS_BY_ZONE = [["own", 2], ["b", 3], ["c", 2], ["d", 2]] as const;
const SERVICE_MS = 300;
const DURATION_MS = 30_000;
/** Requests that run at once, of eight slots in the zone. */
const INTERVAL_MS = 50;

function buildServers(): readonly AnnouncedServer[] {
  return SERVERS_BY_ZONE.flatMap(([zone, count]) =>
    Array.from(
      { length: count },
      (_, index) =>
        buildAnnouncedServer(`${zone}-${index}`, {
          zone: toId<ZoneId>(zone),
          slots: 4,
        }),
    )
  );
}

function buildDemand(nowMs: number): PlacementDemand {
  return buildPlacementDemand(
    { targetAtMs: nowMs + 600, deadlineAtMs: nowMs + 2_500 },
    { isIdempotent: true },
  );
}

function buildPlacement(): ServicePlacement<string> {
  const placement = new ServicePlacement<string>({
    zone: OWN,
    random: new SeededRandomSource(1),
    minimumShare: 0.7,
    retryBounds: { ratio: 0.2, slack: 60, windowMs: 10_000 },
    findRateLimit: () => undefined,
  });
  placement.setServers(buildServers(), 0);
  placement.setVmCount(4);
  return placement;
}

interface Counts {
  readonly own: number;
  readonly other: number;
}

// Serves requests at a steady rate. The leaders of the other zones report that
// they use the servers of their own.
function runLoad(
  placement: ServicePlacement<string>,
  options: {
    readonly answerBytes: number;
    readonly failsAt?: string;
    readonly fromMs?: number;
    readonly forMs?: number;
  },
): Counts {
  const { fromMs = 0, forMs = DURATION_MS } = options;
  const counts = { own: 0, other: 0 };
  let running: { readonly slot: TakenSlot; readonly endsAtMs: number }[] = [];
  const complete = (slot: TakenSlot, nowMs: number): void => {
    placement.complete(slot, {
      outcome: slot.server.announced.id === options.failsAt
        ? "failed"
        : "served",
      firstByteMs: SERVICE_MS,
      totalMs: SERVICE_MS,
      wasConnectionReused: true,
      answerBytes: options.answerBytes,
    }, nowMs);
  };
  for (let nowMs = fromMs; nowMs < fromMs + forMs; nowMs += INTERVAL_MS) {
    const ended = running.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    for (const { slot } of ended) {
      complete(slot, nowMs);
    }
    running = running.filter(({ endsAtMs }) => endsAtMs > nowMs);
    for (const { announced } of placement.listServers()) {
      if (announced.zone !== OWN) {
        placement.applyPeerEvidence(
          { server: announced.id, evidence: "success", isLinkFailure: false },
          nowMs,
        );
      }
    }
    placement.recordRequest();
    const decision = placement.acquire(
      buildDemand(nowMs),
      "request",
      nowMs,
    );
    if (decision.kind === "placed") {
      const { slot } = decision;
      counts[slot.server.announced.zone === OWN ? "own" : "other"] += 1;
      running.push({ slot, endsAtMs: nowMs + SERVICE_MS });
    }
  }
  for (const { slot } of running) {
    complete(slot, fromMs + forMs);
  }
  return counts;
}

describe("ServicePlacement between zones", () => {
  it("keeps nearly all requests in the zone while its servers are well", () => {
    const { own, other } = runLoad(buildPlacement(), { answerBytes: 5_000 });
    expect(other / (own + other)).toBeLessThan(0.05);
  });

  // The servers of the zone have failed a moment ago, and may be well again.
  it.each([
    { answerBytes: 400, leavesZone: true },
    { answerBytes: 5_000, leavesZone: false },
  ])("weighs failures against bytes: %j", ({ answerBytes, leavesZone }) => {
    const placement = buildPlacement();
    runLoad(placement, { answerBytes });
    for (
      const id of ["own-0", "own-0", "own-1", "own-1"].map((id) =>
        toId<ServerId>(id)
      )
    ) {
      placement.applyPeerEvidence(
        { server: id, evidence: "failure", isLinkFailure: false },
        DURATION_MS,
      );
    }
    const { own, other } = runLoad(placement, {
      answerBytes,
      fromMs: DURATION_MS + 2_000,
      forMs: 250,
    });
    expect(other > own).toBe(leavesZone);
  });

  it("leaves the zone while its servers fail", () => {
    const placement = buildPlacement();
    const { own, other } = runLoad(placement, {
      answerBytes: 5_000,
      failsAt: "own-0",
    });
    expect(own).toBeGreaterThan(other);
    expect(
      placement.listServers().find(({ announced }) => announced.id === "own-0")
        ?.estimateFailureProbability(placement.grayShare, DURATION_MS),
    )
      .toBeGreaterThan(0.3);
  });

  it("leaves probes of another zone's servers to its own VMs", () => {
    const placement = buildPlacement();
    let probes = 0;
    for (let nowMs = 0; nowMs < 1_400; nowMs += INTERVAL_MS) {
      const decision = placement.acquire(
        buildDemand(nowMs),
        "request",
        nowMs,
      );
      if (decision.kind === "placed") {
        const { slot } = decision;
        probes += slot.server.announced.zone === OWN ? 0 : 1;
        placement.complete(slot, {
          outcome: "served",
          firstByteMs: 10,
          totalMs: 10,
          wasConnectionReused: true,
          answerBytes: 400,
        }, nowMs);
      }
    }
    expect(probes).toBe(0);
  });
});
