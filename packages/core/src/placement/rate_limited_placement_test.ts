// Replays a service whose servers all name a rate limit, with far more demand
// than they take: callers that cannot be served must hear so at once, and the
// limits must be used.

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import { type ServerId, toId, type ZoneId } from "@limpetford/domain/ids";

import { buildAnnouncedServer } from "../fakes/announced_server.ts";
import { buildPlacementDemand } from "../fakes/placement_demand.ts";
import { ServerLimitBucket } from "../limits/server_limit_bucket.ts";
import { SeededRandomSource } from "../time/random_source.ts";
import type { PlacementDecision, TakenSlot } from "./placement_decision.ts";
import type { PlacementDemand } from "./placement_demand.ts";
import { ServicePlacement } from "./service_placement.ts";

const ZONE = toId<ZoneId>("z");
const SERVER_COUNT = 4;
const LIMIT_PER_SECOND = 2;
const DEMAND_INTERVAL_MS = 20;
const STEP_MS = 10;
const RUN_MS = 20_000;
const SERVICE_MS = 200;
const TARGET_MS = 1_000;
const DEADLINE_MS = 4_000;

function buildServer(index: number): AnnouncedServer {
  return buildAnnouncedServer(`i-${index}`, { zone: ZONE });
}

function buildDemand(nowMs: number): PlacementDemand {
  return buildPlacementDemand({
    targetAtMs: nowMs + TARGET_MS,
    deadlineAtMs: nowMs + DEADLINE_MS,
  });
}

interface ReplayedRequest {
  readonly demand: PlacementDemand;
  readonly arrivedAtMs: number;
}

// Runs one VM that grants its own tokens.
class Replay {
  readonly sentAtMs: number[] = [];
  refusedAtOnce = 0;
  refusedLate = 0;
  readonly #buckets = new Map<ServerId, ServerLimitBucket>();
  readonly #running: { slot: TakenSlot; endAtMs: number }[] = [];
  readonly #placement = new ServicePlacement<number>({
    zone: ZONE,
    random: new SeededRandomSource(1),
    minimumShare: 0.7,
    retryBounds: { ratio: 0.2, slack: 60, windowMs: 10_000 },
    findRateLimit: () => LIMIT_PER_SECOND,
  });

  run(): void {
    const servers = Array.from(
      { length: SERVER_COUNT },
      (_, index) => buildServer(index),
    );
    this.#placement.setServers(servers, 0);
    this.#placement.setVmCount(1);
    for (const { id } of servers) {
      this.#buckets.set(id, new ServerLimitBucket(LIMIT_PER_SECOND, 0));
    }
    for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
      this.#completeDue(nowMs);
      for (const { waiter, decision } of this.#placement.decideWaiting(nowMs)) {
        const { demand, item: arrivedAtMs } = waiter;
        this.#settle(decision, { demand, arrivedAtMs }, nowMs);
      }
      if (nowMs % DEMAND_INTERVAL_MS === 0) {
        const demand = buildDemand(nowMs);
        const decision = this.#placement.acquire(demand, nowMs, nowMs);
        this.#settle(decision, { demand, arrivedAtMs: nowMs }, nowMs);
      }
    }
  }

  #settle(
    decision: PlacementDecision<number>,
    request: ReplayedRequest,
    nowMs: number,
  ): void {
    const { arrivedAtMs } = request;
    switch (decision.kind) {
      case "placed":
        this.#takeToken(decision.slot, request, nowMs);
        break;
      case "overloaded":
        expect(decision.retryAfterMs).toBeGreaterThan(0);
        if (nowMs - arrivedAtMs < 500) {
          this.refusedAtOnce += 1;
        } else {
          this.refusedLate += 1;
        }
        break;
      case "waiting":
      case "no-server":
        break;
    }
  }

  #takeToken(
    slot: TakenSlot,
    request: ReplayedRequest,
    nowMs: number,
  ): void {
    const { demand, arrivedAtMs } = request;
    expect(slot.needsToken).toBe(true);
    const bucket = this.#buckets.get(slot.server.announced.id);
    const waitMs = bucket?.take(1, nowMs) ?? Infinity;
    if (waitMs === 0) {
      this.#placement.grantToken(slot, nowMs);
      this.sentAtMs.push(nowMs);
      this.#running.push({ slot, endAtMs: nowMs + SERVICE_MS });
      return;
    }
    const waiter = { demand, arrivedAtMs, item: arrivedAtMs };
    const times = { nowMs, untilMs: nowMs + waitMs };
    const decision = this.#placement.refuseToken(slot, waiter, times);
    this.#settle(decision, request, nowMs);
  }

  #completeDue(nowMs: number): void {
    while (
      this.#running[0] !== undefined && this.#running[0].endAtMs <= nowMs
    ) {
      const ended = this.#running.shift();
      if (ended !== undefined) {
        this.#placement.complete(ended.slot, {
          outcome: "served",
          firstByteMs: SERVICE_MS,
          totalMs: SERVICE_MS,
          wasConnectionReused: true,
          answerBytes: 1,
        }, nowMs);
      }
    }
  }
}

describe("a service whose servers all name a rate limit", () => {
  it("uses the limits, and refuses at once what is beyond them", () => {
    const replay = new Replay();
    replay.run();
    const allowed = SERVER_COUNT * LIMIT_PER_SECOND * RUN_MS / 1_000;
    expect(replay.sentAtMs.length).toBeLessThanOrEqual(allowed + SERVER_COUNT);
    expect(replay.sentAtMs.length).toBeGreaterThan(allowed * 0.9);
    const refused = replay.refusedAtOnce + replay.refusedLate;
    expect(replay.refusedAtOnce / refused).toBeGreaterThan(0.95);
  });
});
