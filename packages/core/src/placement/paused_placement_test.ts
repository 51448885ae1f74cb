// Guards against requests to servers that want none for a while, over random
// schedules of pauses, restarts of servers, and server lists with gaps; and
// against callers that wait for servers which do not take them.

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import { type ServerId, toId, type ZoneId } from "@limpetford/domain/ids";
import { SERVER_STATE } from "@limpetford/domain/service";

import { buildAnnouncedServer } from "../fakes/announced_server.ts";
import { buildPlacementDemand } from "../fakes/placement_demand.ts";
import { SeededRandomSource } from "../time/random_source.ts";
import type { TakenSlot } from "./placement_decision.ts";
import type { PlacementDemand } from "./placement_demand.ts";
import { ServicePlacement } from "./service_placement.ts";

const ZONE = toId<ZoneId>("z");
const SEEDS = 20;
const SERVER_COUNT = 4;
const STEP_MS = 10;
const RUN_MS = 30_000;
const SERVICE_MS = 50;
const TARGET_MS = 1_000;
const DEADLINE_MS = 3_000;
const MAX_PAUSE_MS = 6_000;
const REUSE_MS = 1_000;

function buildServer(index: number, startedAtMs = 1): AnnouncedServer {
  return buildAnnouncedServer(`i-${index}`, {
    zone: ZONE,
    address: { host: "10.0.0.1", port: 80 + index },
    startedAtMs,
  });
}

function buildDemand(
  nowMs: number,
  tried: readonly ServerId[] = [],
): PlacementDemand {
  return buildPlacementDemand(
    { targetAtMs: nowMs + TARGET_MS, deadlineAtMs: nowMs + DEADLINE_MS },
    { isIdempotent: true, tried },
  );
}

function createPlacement(seed: number): ServicePlacement<number> {
  return new ServicePlacement<number>({
    zone: ZONE,
    random: new SeededRandomSource(seed),
    minimumShare: 0.7,
    retryBounds: { ratio: 0.2, slack: 60, windowMs: 10_000 },
    findRateLimit: () => undefined,
  });
}

function takePlaced(
  placement: ServicePlacement<number>,
  nowMs: number,
): readonly TakenSlot[] {
  return placement.decideWaiting(nowMs).flatMap(({ decision }) =>
    decision.kind === "placed" ? [decision.slot] : []
  );
}

function completeRun(
  placement: ServicePlacement<number>,
  slot: TakenSlot | undefined,
  end: {
    readonly outcome: "served" | "shed" | "timed-out";
    readonly nowMs: number;
  },
): void {
  if (slot === undefined) {
    throw new Error("no request was placed");
  }
  placement.complete(slot, {
    outcome: end.outcome,
    firstByteMs: SERVICE_MS,
    totalMs: SERVICE_MS,
    wasConnectionReused: true,
    answerBytes: 1,
  }, end.nowMs);
}

// One VM with a service whose servers now and then turn a request away.
class Schedule {
  readonly early: string[] = [];
  readonly unused: string[] = [];
  readonly #random: SeededRandomSource;
  readonly #placement: ServicePlacement<number>;
  readonly #servers = Array.from(
    { length: SERVER_COUNT },
    (_, index) => buildServer(index),
  );
  readonly #pausedUntilMs = new Map<ServerId, number>();
  readonly #usedAtMs = new Map<ServerId, number>();
  readonly #running: { slot: TakenSlot; endAtMs: number }[] = [];
  #requestCount = 0;

  constructor(seed: number) {
    this.#random = new SeededRandomSource(seed);
    this.#placement = createPlacement(seed);
  }

  run(): void {
    for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
      this.#setServers(nowMs);
      this.#completeRuns(nowMs);
      this.#sendRequest(nowMs);
      for (const { waiter, decision } of this.#placement.decideWaiting(nowMs)) {
        this.#settle(waiter.item, decision, nowMs);
      }
      this.#checkUse(nowMs);
    }
  }

  #setServers(nowMs: number): void {
    const chance = this.#random.sampleUniform();
    const index = this.#random.pickIndex(SERVER_COUNT);
    const server = this.#servers[index];
    if (server !== undefined && chance < 0.002) {
      this.#servers[index] = buildServer(index, nowMs + 1);
      this.#pausedUntilMs.delete(server.id);
    }
    // The store may miss a server for a moment.
    const listed = chance > 0.99
      ? this.#servers.filter((other) => other.id !== server?.id)
      : this.#servers;
    this.#placement.setServers(listed, nowMs);
  }

  #sendRequest(nowMs: number): void {
    this.#requestCount += 1;
    this.#placement.recordRequest();
    const decision = this.#placement.acquire(
      buildDemand(nowMs),
      this.#requestCount,
      nowMs,
    );
    if (decision.kind !== "waiting") {
      this.#settle(this.#requestCount, decision, nowMs);
    }
  }

  #settle(
    request: number,
    decision: ReturnType<
      ServicePlacement<number>["decideWaiting"]
    >[number]["decision"],
    nowMs: number,
  ): void {
    if (decision.kind === "placed") {
      this.#startRun(decision.slot, nowMs);
      return;
    }
    if (decision.kind === "overloaded" && !(decision.retryAfterMs > 0)) {
      this.unused.push(`request ${request} got no Retry-After`);
    }
  }

  #startRun(slot: TakenSlot, nowMs: number): void {
    const { id } = slot.server.announced;
    const untilMs = this.#pausedUntilMs.get(id) ?? 0;
    if (nowMs < untilMs) {
      this.early.push(`${id} at ${nowMs} before ${untilMs}`);
    }
    this.#usedAtMs.set(id, nowMs);
    this.#running.push({ slot, endAtMs: nowMs + SERVICE_MS });
  }

  #completeRuns(nowMs: number): void {
    for (const run of [...this.#running]) {
      if (run.endAtMs <= nowMs) {
        this.#running.splice(this.#running.indexOf(run), 1);
        this.#complete(run.slot, nowMs);
      }
    }
  }

  #complete(slot: TakenSlot, nowMs: number): void {
    const { announced } = slot.server;
    const current = this.#servers.find(({ id }) => id === announced.id);
    const isShed = this.#random.sampleUniform() < 0.02;
    if (isShed && current?.startedAtMs === announced.startedAtMs) {
      const pauseMs = this.#random.sampleUniform() * MAX_PAUSE_MS;
      const known = this.#pausedUntilMs.get(announced.id) ?? 0;
      const untilMs = nowMs + pauseMs;
      this.#placement.servers.recordPause(announced, untilMs, nowMs);
      this.#pausedUntilMs.set(announced.id, Math.max(known, untilMs));
    }
    completeRun(this.#placement, slot, {
      outcome: isShed ? "shed" : "served",
      nowMs,
    });
  }

  // With a request every 10 ms, a server whose pause has ended gets one soon.
  #checkUse(nowMs: number): void {
    for (const { id } of this.#servers) {
      const untilMs = this.#pausedUntilMs.get(id);
      const isOverdue = untilMs !== undefined && nowMs > untilMs + REUSE_MS &&
        (this.#usedAtMs.get(id) ?? 0) < untilMs;
      if (isOverdue) {
        this.unused.push(`${id} at ${nowMs}, free since ${untilMs}`);
        this.#pausedUntilMs.delete(id);
      }
    }
  }
}

describe("servers that want no requests for a while", () => {
  it("get none over random schedules, and are used again soon", () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const schedule = new Schedule(seed);
      schedule.run();
      expect({ seed, early: schedule.early, unused: schedule.unused })
        .toEqual({ seed, early: [], unused: [] });
    }
  });

  it("get few from 44 VMs that see a request a second together", () => {
    const vms = Array.from({ length: 44 }, (_, index) => {
      const placement = createPlacement(index);
      placement.setServers([0, 1, 2, 3].map((id) => buildServer(id)), 0);
      return placement;
    });
    const random = new SeededRandomSource(1);
    const pausedUntilMs = new Map<string, number>();
    let early = 0;
    for (let nowMs = 0; nowMs < 600_000; nowMs += 1_000) {
      const index = random.pickIndex(vms.length);
      const decision = vms[index]?.acquire(buildDemand(nowMs), 0, nowMs);
      if (decision?.kind === "placed") {
        const { announced } = decision.slot.server;
        const pair = `${index} ${announced.id}`;
        early += nowMs < (pausedUntilMs.get(pair) ?? 0) ? 1 : 0;
        pausedUntilMs.set(pair, nowMs + 60_000);
        vms[index]?.servers.recordPause(announced, nowMs + 60_000, nowMs);
        decision.slot.server.removeRunning(decision.slot.running);
      }
    }
    expect(early).toBe(0);
  });

  it("keep no caller waiting if none takes requests soon", () => {
    const placement = createPlacement(1);
    const servers = [buildServer(0), buildServer(1)];
    placement.setServers(servers, 0);
    for (const server of servers) {
      placement.servers.recordPause(server, 2_000, 0);
    }
    expect(placement.acquire(buildDemand(100), 1, 100)).toEqual({
      kind: "overloaded",
      retryAfterMs: 1_900,
    });
    expect(placement.acquire(buildDemand(1_800), 2, 1_800).kind).toBe(
      "waiting",
    );
    const first = servers[0];
    if (first !== undefined) {
      placement.servers.recordPause(first, 9_000, 1_810);
    }
    // The other one ends its pause.
    const [decided] = placement.decideWaiting(2_000);
    expect(decided?.decision.kind).toBe("placed");
  });

  // Guards against all waiting requests being sent at once to the first server
  // whose pause ends, which may turn them all away again.
  it("get one request each after their pauses until they have answered it", () => {
    const placement = createPlacement(1);
    const servers = [buildServer(0), buildServer(1)];
    placement.setServers(servers, 0);
    for (const server of servers) {
      placement.servers.recordPause(server, 200, 0);
    }
    for (let request = 1; request <= 6; request++) {
      expect(placement.acquire(buildDemand(0), request, 0).kind).toBe(
        "waiting",
      );
    }
    const slots = takePlaced(placement, 200);
    expect(slots.map(({ server }) => server.announced.id).sort())
      .toEqual(servers.map(({ id }) => id));
    const [first, second] = slots;
    if (second === undefined) {
      throw new Error("no request was placed");
    }
    completeRun(placement, first, { outcome: "served", nowMs: 250 });
    expect(placement.decideWaiting(250)).toHaveLength(3);
    placement.servers.recordPause(second.server.announced, 9_000, 260);
    completeRun(placement, second, { outcome: "shed", nowMs: 260 });
    expect(placement.waitingCount).toBe(1);
  });

  // Guards against a VM that was frozen while the first response lay unread.
  it("get one request at a time until one is accepted, however long it takes", () => {
    const placement = createPlacement(1);
    const server = buildServer(0);
    placement.setServers([server], 0);
    placement.servers.recordPause(server, 200, 0);
    for (let request = 1; request <= 6; request++) {
      placement.acquire(buildDemand(0), request, 0);
    }
    const [first] = takePlaced(placement, 200);
    expect(takePlaced(placement, 1_900)).toEqual([]);
    completeRun(placement, first, { outcome: "timed-out", nowMs: 1_950 });
    const [second, ...others] = takePlaced(placement, 1_950);
    expect(others).toEqual([]);
    second?.server.recordAccepted(second.running);
    expect(takePlaced(placement, 2_000)).toHaveLength(server.slots - 1);
  });

  it("let waiting requests go if they turn away the first one", () => {
    const placement = createPlacement(1);
    const server = buildServer(0);
    placement.setServers([server], 0);
    placement.servers.recordPause(server, 200, 0);
    for (let request = 1; request <= 3; request++) {
      expect(placement.acquire(buildDemand(0), request, 0).kind).toBe(
        "waiting",
      );
    }
    const [tried] = placement.decideWaiting(200);
    if (tried?.decision.kind !== "placed") {
      throw new Error("no request was placed");
    }
    placement.servers.recordPause(server, 5_000, 250);
    completeRun(placement, tried.decision.slot, {
      outcome: "shed",
      nowMs: 250,
    });
    expect(placement.decideWaiting(250).map(({ decision }) => decision.kind))
      .toEqual(["overloaded", "overloaded"]);
  });

  it("let a waiting request go once they want nothing for long", () => {
    const placement = createPlacement(1);
    const server = buildServer(0);
    placement.setServers([server], 0);
    placement.servers.recordPause(server, 200, 0);
    expect(placement.acquire(buildDemand(0), 1, 0).kind).toBe("waiting");
    placement.servers.recordPause(server, 5_000, 100);
    const [decided] = placement.decideWaiting(100);
    expect(decided?.decision).toEqual({
      kind: "overloaded",
      retryAfterMs: 4_900,
    });
  });

  it("are not waited for if they leave, or were all tried", () => {
    const placement = createPlacement(1);
    const leaving = { ...buildServer(0), state: SERVER_STATE.leaving };
    placement.setServers([leaving], 0);
    expect(placement.acquire(buildDemand(0), 1, 0)).toEqual({
      kind: "no-server",
    });
    placement.setServers([leaving, buildServer(1)], 0);
    const tried = [buildServer(1).id];
    expect(placement.acquire(buildDemand(0, tried), 2, 0)).toEqual({
      kind: "no-server",
    });
  });

  it("are paused by their start, and by the longest pause they name", () => {
    const placement = createPlacement(1);
    const server = buildServer(0);
    placement.setServers([server], 0);
    placement.servers.recordPause(server, 5_000, 0);
    placement.servers.recordPause(server, 1_000, 0);
    expect(placement.servers.countPaused(4_999)).toBe(1);
    placement.setServers([], 2_000);
    placement.setServers([server], 2_100);
    expect(placement.acquire(buildDemand(2_100), 1, 2_100).kind).toBe(
      "overloaded",
    );
    placement.setServers([buildServer(0, 2)], 2_200);
    expect(placement.acquire(buildDemand(2_200), 2, 2_200).kind).toBe("placed");
    placement.servers.recordPause(server, 9_000, 2_300);
    expect(placement.acquire(buildDemand(2_300), 3, 2_300).kind).toBe("placed");
    expect(placement.servers.countPaused(9_001)).toBe(0);
  });
});
