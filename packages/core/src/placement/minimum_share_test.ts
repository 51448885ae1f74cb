// Guards against sound servers that get nothing because of old failures, while
// requests fail elsewhere. Replays a service of requests that must not be
// repeated: most servers lose responses for a while and are well again, but some
// requests go on failing at the others.

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import {
  type ServerId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";

import { buildAnnouncedServer } from "../fakes/announced_server.ts";
import { buildPlacementDemand } from "../fakes/placement_demand.ts";
import { SeededRandomSource } from "../time/random_source.ts";
import { EVIDENCE } from "./gray_failure_estimator.ts";
import type { TakenSlot } from "./placement_decision.ts";
import type { PlacementDemand } from "./placement_demand.ts";
import { ServicePlacement } from "./service_placement.ts";

const ZONES = ["a", "b", "c", "d"].map((zone) => toId<ZoneId>(zone));
const SERVER_COUNT = 16;
/** Share of the servers that lose responses at first. */
const LOSING_SHARE = 0.6;
const LOSS_ENDS_MS = 6_000;
const DURATION_MS = 16_000;
const STEP_MS = 25;
const SERVICE_MS = 320;
const REPORT_MS = 500;
/** Requests of one zone in each step, on average. */
const REQUESTS_PER_STEP = 0.5;
/** Share of requests that fail at any server. */
const FAILING_SHARE = 0.14;
const LOSS_SHARE = 0.5;
// The users' rule.
const WINDOW_MS = 2_000;
const MIN_SHARE = 0.7;
const MIN_UNSERVED = 0.1;
const MAX_UNSERVED = 0.5;

interface Run {
  readonly zone: number;
  readonly slot: TakenSlot;
  readonly startedAtMs: number;
}

interface Outcome {
  readonly server: string;
  readonly atMs: number;
  readonly isServed: boolean;
}

function buildServer(index: number): AnnouncedServer {
  return buildAnnouncedServer(`i-${index}`, {
    zone: ZONES[index % ZONES.length] ?? toId<ZoneId>("a"),
    slots: 4,
  });
}

function buildDemand(nowMs: number): PlacementDemand {
  return buildPlacementDemand({
    targetAtMs: nowMs + 1_500,
    deadlineAtMs: nowMs + 5_000,
  });
}

/** Leaders of all zones, which tell each other what they see. */
class Fleet {
  readonly outcomes: Outcome[] = [];
  readonly #random: SeededRandomSource;
  readonly #placements: readonly ServicePlacement<string>[];
  #running: Run[] = [];

  constructor(seed: number) {
    this.#random = new SeededRandomSource(seed);
    this.#placements = ZONES.map((zone, index) => {
      const placement = new ServicePlacement<string>({
        zone,
        random: new SeededRandomSource(seed * ZONES.length + index),
        retryBounds: { ratio: 0.2, slack: 60, windowMs: 10_000 },
        findRateLimit: () => undefined,
        minimumShare: MIN_SHARE,
      });
      const servers = Array.from(
        { length: SERVER_COUNT },
        (_, at) => buildServer(at),
      );
      placement.setServers(servers, 0);
      placement.setVmCount(ZONES.length);
      return placement;
    });
  }

  run(): void {
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
      this.#complete(nowMs);
      if (nowMs % REPORT_MS === 0) {
        this.#report(nowMs);
      }
      for (let zone = 0; zone < ZONES.length; zone++) {
        if (this.#random.sampleUniform() < REQUESTS_PER_STEP) {
          this.#send(zone, nowMs);
        }
      }
    }
  }

  #send(zone: number, nowMs: number): void {
    const placement = this.#placements[zone];
    placement?.recordRequest();
    const decision = placement?.acquire(
      buildDemand(nowMs),
      "request",
      nowMs,
    );
    if (decision?.kind === "placed") {
      const { slot } = decision;
      this.#running.push({ zone, slot, startedAtMs: nowMs });
    }
  }

  #complete(nowMs: number): void {
    const isEnded = (run: Run): boolean =>
      run.startedAtMs + SERVICE_MS <= nowMs;
    for (const { zone, slot, startedAtMs } of this.#running.filter(isEnded)) {
      const { id } = slot.server.announced;
      const isServed = this.#random.sampleUniform() >=
        this.#findFailureShare(id, nowMs);
      this.#placements[zone]?.complete(slot, {
        outcome: isServed ? "served" : "failed",
        firstByteMs: SERVICE_MS,
        totalMs: SERVICE_MS,
        wasConnectionReused: true,
        answerBytes: 1_500,
      }, nowMs);
      this.outcomes.push({ server: id, atMs: startedAtMs, isServed });
      this.#sendEvidence(zone, nowMs, !isServed);
    }
    this.#running = this.#running.filter((run) => !isEnded(run));
  }

  #findFailureShare(id: ServerId, nowMs: number): number {
    const isLosing = Number(id.slice(2)) < SERVER_COUNT * LOSING_SHARE &&
      nowMs < LOSS_ENDS_MS;
    return isLosing ? LOSS_SHARE : FAILING_SHARE;
  }

  // Failures are told at once, successes with the reports.
  #sendEvidence(from: number, nowMs: number, isUrgent: boolean): void {
    if (!isUrgent) {
      return;
    }
    for (const evidence of this.#placements[from]?.takeEvidence() ?? []) {
      this.#placements.forEach((placement, zone) => {
        if (zone !== from) {
          placement.applyPeerEvidence(evidence, nowMs);
        }
      });
    }
  }

  #report(nowMs: number): void {
    this.#placements.forEach((placement, from) => {
      this.#sendEvidence(from, nowMs, true);
      const loads = new Map<string, number>();
      for (const { announced, ownLoad } of placement.listServers()) {
        if (ownLoad > 0) {
          loads.set(announced.id, ownLoad);
        }
      }
      this.#placements.forEach((other, zone) => {
        if (zone !== from) {
          other.setPeerLoads(toId<VmId>(`vm-${from}`), loads, nowMs);
        }
      });
    });
  }
}

// Lists the windows after the loss in which too few servers got a request.
function listViolations(outcomes: readonly Outcome[]): readonly string[] {
  const violations: string[] = [];
  for (
    let fromMs = LOSS_ENDS_MS;
    fromMs + WINDOW_MS <= DURATION_MS - SERVICE_MS;
    fromMs += 100
  ) {
    const inWindow = outcomes.filter(({ atMs }) =>
      atMs >= fromMs && atMs < fromMs + WINDOW_MS
    );
    const unserved = inWindow.filter(({ isServed }) => !isServed).length /
      inWindow.length;
    const used = new Set(inWindow.map(({ server }) => server)).size;
    if (
      unserved > MIN_UNSERVED && unserved < MAX_UNSERVED &&
      used < MIN_SHARE * SERVER_COUNT
    ) {
      violations.push(`${fromMs} ms: ${used} servers`);
    }
  }
  return violations;
}

describe("ServicePlacement after many failures", () => {
  it.each([1, 2, 3, 4, 5, 6, 7, 8])(
    "gives most sound servers requests while some fail, seed %i",
    (seed) => {
      const fleet = new Fleet(seed);
      fleet.run();
      expect(listViolations(fleet.outcomes)).toEqual([]);
    },
  );

  it("leaves failing servers alone while few requests fail", () => {
    const placement = new ServicePlacement<string>({
      zone: ZONES[0] ?? toId<ZoneId>("a"),
      random: new SeededRandomSource(1),
      retryBounds: { ratio: 0.2, slack: 60, windowMs: 10_000 },
      findRateLimit: () => undefined,
      minimumShare: MIN_SHARE,
    });
    placement.setServers([0, 4, 8, 12].map((at) => buildServer(at)), 0);
    for (const server of ["i-0", "i-4"].map((id) => toId<ServerId>(id))) {
      for (let count = 0; count < 3; count++) {
        placement.applyPeerEvidence(
          { server, evidence: EVIDENCE.failure, isLinkFailure: false },
          0,
        );
      }
    }
    const used = new Set<string>();
    for (let nowMs = 0; nowMs < 2_500; nowMs += 100) {
      const decision = placement.acquire(
        buildDemand(nowMs),
        "request",
        nowMs,
      );
      if (decision.kind === "placed") {
        used.add(decision.slot.server.announced.id);
        placement.complete(decision.slot, {
          outcome: "served",
          firstByteMs: 50,
          totalMs: 50,
          wasConnectionReused: true,
          answerBytes: 400,
        }, nowMs + 50);
      }
    }
    expect([...used].sort()).toEqual(["i-12", "i-8"]);
  });
});
