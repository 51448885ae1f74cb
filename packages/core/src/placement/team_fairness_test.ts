// Guards against a team that sends too much and crowds out the others while the
// servers of a service are full.

import { type TeamId, toId, type ZoneId } from "@limpetford/domain/ids";

import { buildAnnouncedServer } from "../fakes/announced_server.ts";
import { buildPlacementDemand } from "../fakes/placement_demand.ts";
import { SeededRandomSource } from "../time/random_source.ts";
import type { TakenSlot, WaiterDecision } from "./placement_decision.ts";
import { ServicePlacement } from "./service_placement.ts";

const ZONE = toId<ZoneId>("z");
const SLOTS = 4;
const SERVICE_MS = 100;
const STEP_MS = 20;
const RUN_MS = 20_000;
const TARGET_MS = 600;
const DEADLINE_MS = 2_000;
const CAPACITY_PER_SECOND = SLOTS * 1_000 / SERVICE_MS;

interface TeamLoad {
  readonly team: string;
  readonly perSecond: number;
}

interface SentRequest {
  readonly team: string;
  readonly sentAtMs: number;
}

// One service whose slots are all taken while the teams send more than it serves.
class CrowdedService {
  readonly sent = new Map<string, number>();
  readonly inTime = new Map<string, number>();
  readonly #placement = new ServicePlacement<SentRequest>({
    zone: ZONE,
    random: new SeededRandomSource(1),
    minimumShare: 0.7,
    retryBounds: { ratio: 0.2, slack: 60, windowMs: 10_000 },
    findRateLimit: () => undefined,
  });
  readonly #running: {
    readonly slot: TakenSlot;
    readonly request: SentRequest;
    readonly endAtMs: number;
  }[] = [];

  constructor() {
    const server = buildAnnouncedServer("i", { zone: ZONE, slots: SLOTS });
    this.#placement.setServers([server], 0);
  }

  run(loads: readonly TeamLoad[]): void {
    const due = new Map<string, number>();
    for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
      this.#completeRuns(nowMs);
      for (const { team, perSecond } of loads) {
        let left = (due.get(team) ?? 0) + perSecond * STEP_MS / 1_000;
        for (; left >= 1; left -= 1) {
          this.#send(team, nowMs);
        }
        due.set(team, left);
      }
    }
  }

  // Share of a team's requests that were served within their target.
  computeShare(team: string): number {
    return (this.inTime.get(team) ?? 0) / (this.sent.get(team) ?? 0);
  }

  #send(team: string, nowMs: number): void {
    this.sent.set(team, (this.sent.get(team) ?? 0) + 1);
    const request = { team, sentAtMs: nowMs };
    const decision = this.#placement.acquire(
      buildPlacementDemand(
        { targetAtMs: nowMs + TARGET_MS, deadlineAtMs: nowMs + DEADLINE_MS },
        { team: toId<TeamId>(team), isIdempotent: true },
      ),
      request,
      nowMs,
    );
    if (decision.kind === "placed") {
      this.#startRun(decision.slot, request, nowMs);
    }
  }

  #startRun(slot: TakenSlot, request: SentRequest, nowMs: number): void {
    this.#running.push({ slot, request, endAtMs: nowMs + SERVICE_MS });
  }

  #completeRuns(nowMs: number): void {
    for (const run of this.#running.filter(({ endAtMs }) => endAtMs <= nowMs)) {
      this.#running.splice(this.#running.indexOf(run), 1);
      this.#placement.complete(run.slot, {
        outcome: "served",
        firstByteMs: SERVICE_MS,
        totalMs: SERVICE_MS,
        wasConnectionReused: true,
        answerBytes: 1,
      }, nowMs);
      const { team, sentAtMs } = run.request;
      if (nowMs <= sentAtMs + TARGET_MS) {
        this.inTime.set(team, (this.inTime.get(team) ?? 0) + 1);
      }
    }
    this.#placement.decideWaiting(nowMs).forEach((decided) => {
      this.#settle(decided, nowMs);
    });
  }

  #settle(
    { waiter, decision }: WaiterDecision<SentRequest>,
    nowMs: number,
  ): void {
    if (decision.kind === "placed") {
      this.#startRun(decision.slot, waiter.item, nowMs);
    }
  }
}

describe("teams at a service whose slots are all taken", () => {
  it("are served within their share while one sends far too much", () => {
    const service = new CrowdedService();
    service.run([
      { team: "hot", perSecond: 200 },
      { team: "a", perSecond: 8 },
      { team: "b", perSecond: 2 },
    ]);
    expect(service.computeShare("a")).toBeGreaterThan(0.95);
    expect(service.computeShare("b")).toBeGreaterThan(0.95);
    // The team that sends too much gets what the others leave.
    const inTime = [...service.inTime.values()].reduce((sum, n) => sum + n, 0);
    expect(inTime).toBeGreaterThan(
      0.8 * CAPACITY_PER_SECOND * RUN_MS / 1_000,
    );
  });

  it("are served alike while they send alike", () => {
    const service = new CrowdedService();
    const teams = ["a", "b", "c", "d"];
    service.run(teams.map((team) => ({ team, perSecond: 25 })));
    const shares = teams.map((team) => service.computeShare(team));
    expect(Math.min(...shares)).toBeGreaterThan(0.8 * Math.max(...shares));
  });
});
