/** Replays a load pattern on a placement, in virtual time; for tests. */

import type { AnnouncedServer } from "@limpetford/domain/announced_server";
import {
  type RouteId,
  type ServerId,
  type ServiceId,
  toId,
  type ZoneId,
} from "@limpetford/domain/ids";

import type { AttemptOutcome } from "../evidence/attempt_sample.ts";
import { SeededRandomSource } from "../time/random_source.ts";
import type { PlacementDemand } from "./placement_demand.ts";
import {
  type PlacementDecision,
  ServicePlacement,
  type TakenSlot,
} from "./service_placement.ts";

const ZONES = ["z1", "z2", "z3"].map((name) => toId<ZoneId>(name));
const TICK_MS = 20;
/** How fast a gray server fails. */
const GRAY_FAILURE_MS = 4;
const TARGET_MS = 600;
const DEADLINE_MS = 2_500;
/** Servers turn gray within this time of each other. */
const GRAY_SPREAD_MS = 500;
/** Worth of an answer after the target, as a part of a timely one's. */
const LATE_WORTH = 0.3;

/** One kind of request. */
export interface ReplayedKind {
  readonly name: string;
  readonly isRepeatable: boolean;
  readonly perSecond: number;
  readonly workMs: number;
  readonly priority: number;
}

/** What is replayed. */
export interface ReplayOptions {
  readonly seed: number;
  readonly servers: number;
  readonly slots: number;
  readonly kinds: readonly ReplayedKind[];
  readonly lengthMs: number;
  /** Share of the servers that turn gray in each period. */
  readonly grayShare: number;
  readonly grayPeriodMs: number;
  readonly grayMs: number;
  /** Share of its requests that a gray server fails. */
  readonly grayFailures: number;
  /** Share of its requests that a server fails that is well. */
  readonly wellFailures: number;
}

/** What became of the requests of one kind. */
export interface ReplayedOutcome {
  count: number;
  served: number;
  failed: number;
  refused: number;
  /** Worth earned, as a part of what could be earned. */
  worth: number;
  firstFailures: number;
}

interface ReplayedRequest {
  readonly kind: ReplayedKind;
  readonly arrivedAtMs: number;
  readonly tried: ServerId[];
  attempts: number;
}

interface ReplayEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/** A placement with simulated servers and callers. */
export class PlacementReplay {
  readonly #options: ReplayOptions;
  readonly #random: SeededRandomSource;
  readonly #placement: ServicePlacement<ReplayedRequest>;
  readonly #events: ReplayEvent[] = [];
  readonly #grayUntilMs = new Map<ServerId, number>();
  readonly #outcomes = new Map<string, ReplayedOutcome>();
  #nowMs = 0;

  /**
   * Prepares a replay.
   *
   * @param options - what is replayed
   */
  constructor(options: ReplayOptions) {
    this.#options = options;
    this.#random = new SeededRandomSource(options.seed);
    this.#placement = new ServicePlacement({
      zone: ZONES[0] ?? toId<ZoneId>("z1"),
      random: new SeededRandomSource(options.seed + 1),
      retryBounds: { ratio: 0.2, slack: 60 },
    });
    this.#placement.setServers(
      Array.from(
        { length: options.servers },
        (_, index) => buildServer(index, options.slots),
      ),
      0,
    );
    this.#placement.setVmCount(1);
  }

  /**
   * Runs everything.
   *
   * @returns what became of the requests, by kind
   */
  run(): ReadonlyMap<string, Readonly<ReplayedOutcome>> {
    for (const kind of this.#options.kinds) {
      this.#outcomes.set(kind.name, {
        count: 0,
        served: 0,
        failed: 0,
        refused: 0,
        worth: 0,
        firstFailures: 0,
      });
      this.#scheduleArrival(kind);
    }
    this.#scheduleGray();
    this.#scheduleTick();
    while (this.#events.length > 0) {
      const next = this.#takeNext();
      this.#nowMs = next.atMs;
      next.run();
    }
    for (const outcome of this.#outcomes.values()) {
      outcome.worth /= outcome.count;
    }
    return this.#outcomes;
  }

  #schedule(delayMs: number, run: () => void): void {
    const atMs = this.#nowMs + delayMs;
    let index = this.#events.length;
    while (index > 0 && (this.#events[index - 1]?.atMs ?? 0) < atMs) {
      index -= 1;
    }
    this.#events.splice(index, 0, { atMs, run });
  }

  #takeNext(): ReplayEvent {
    const next = this.#events.pop();
    if (next === undefined) {
      throw new Error("there are no events left");
    }
    return next;
  }

  #scheduleArrival(kind: ReplayedKind): void {
    const delayMs = -Math.log(1 - this.#random.takeUnit()) * 1_000 /
      kind.perSecond;
    if (this.#nowMs + delayMs > this.#options.lengthMs) {
      return;
    }
    this.#schedule(delayMs, () => {
      this.#scheduleArrival(kind);
      this.#getOutcome(kind).count += 1;
      this.#placement.recordRequest();
      this.#acquire({
        kind,
        arrivedAtMs: this.#nowMs,
        tried: [],
        attempts: 0,
      });
    });
  }

  #scheduleGray(): void {
    const { grayPeriodMs, grayShare, grayMs, lengthMs } = this.#options;
    for (const server of this.#placement.listServers()) {
      if (this.#random.takeUnit() < grayShare) {
        const startMs = this.#random.takeUnit() * GRAY_SPREAD_MS;
        this.#schedule(startMs, () => {
          this.#grayUntilMs.set(server.announced.id, this.#nowMs + grayMs);
        });
      }
    }
    if (this.#nowMs + grayPeriodMs < lengthMs) {
      this.#schedule(grayPeriodMs, () => {
        this.#scheduleGray();
      });
    }
  }

  #scheduleTick(): void {
    this.#schedule(TICK_MS, () => {
      this.#decideWaiting();
      if (this.#nowMs < this.#options.lengthMs) {
        this.#scheduleTick();
      }
    });
  }

  #acquire(request: ReplayedRequest): void {
    const demand = buildDemand(request);
    this.#settle(
      request,
      this.#placement.acquire(demand, request, this.#nowMs),
    );
  }

  #decideWaiting(): void {
    for (
      const { waiter, decision } of this.#placement.decideWaiting(this.#nowMs)
    ) {
      this.#settle(waiter.item, decision);
    }
  }

  #settle(
    request: ReplayedRequest,
    decision: PlacementDecision<ReplayedRequest>,
  ): void {
    switch (decision.kind) {
      case "placed":
        this.#start(request, decision.slot);
        break;
      case "waiting":
        break;
      case "overloaded":
      case "no-server":
        this.#getOutcome(request.kind).refused += 1;
        break;
    }
  }

  #start(request: ReplayedRequest, slot: TakenSlot): void {
    const { grayFailures, wellFailures } = this.#options;
    const { id } = slot.server.announced;
    const isGray = this.#nowMs < (this.#grayUntilMs.get(id) ?? 0);
    const isFailing = this.#random.takeUnit() <
      (isGray ? grayFailures : wellFailures);
    const workMs = request.kind.workMs * (0.5 + this.#random.takeUnit());
    const durationMs = isFailing && isGray ? GRAY_FAILURE_MS : workMs;
    request.attempts += 1;
    request.tried.push(id);
    this.#schedule(durationMs, () => {
      this.#complete(request, slot, {
        outcome: isFailing ? "failed" : "served",
        totalMs: durationMs,
      });
    });
  }

  #complete(
    request: ReplayedRequest,
    slot: TakenSlot,
    end: { readonly outcome: AttemptOutcome; readonly totalMs: number },
  ): void {
    const outcome = this.#getOutcome(request.kind);
    this.#placement.complete(slot, {
      ...end,
      firstByteMs: end.totalMs,
      wasConnectionReused: true,
      answerBytes: 100,
    }, this.#nowMs);
    if (end.outcome === "served") {
      outcome.served += 1;
      const isLate = this.#nowMs > request.arrivedAtMs + TARGET_MS;
      outcome.worth += isLate ? LATE_WORTH : 1;
    } else {
      outcome.firstFailures += request.attempts === 1 ? 1 : 0;
      const mayRepeat = request.kind.isRepeatable && request.attempts < 2;
      if (mayRepeat && this.#placement.takeRetry()) {
        this.#acquire(request);
      } else {
        outcome.failed += 1;
      }
    }
    this.#decideWaiting();
  }

  #getOutcome(kind: ReplayedKind): ReplayedOutcome {
    const outcome = this.#outcomes.get(kind.name);
    if (outcome === undefined) {
      throw new Error(`${kind.name} is no kind of this replay`);
    }
    return outcome;
  }
}

function buildServer(index: number, slots: number): AnnouncedServer {
  return {
    id: toId<ServerId>(`server-${index}`),
    service: toId<ServiceId>("service"),
    zone: ZONES[index % ZONES.length] ?? toId<ZoneId>("z1"),
    address: { host: "10.0.0.1", port: 1_000 + index },
    slots,
    state: "active",
    warmUpLeftMs: 0,
    startedAtMs: 1,
    sequence: 1,
  };
}

function buildDemand(request: ReplayedRequest): PlacementDemand {
  const { kind, arrivedAtMs, tried, attempts } = request;
  return {
    route: toId<RouteId>(kind.name),
    isRepeatable: kind.isRepeatable,
    tried,
    mayFollowUp: attempts < 1,
    priority: kind.priority,
    targetAtMs: arrivedAtMs + TARGET_MS,
    deadlineAtMs: arrivedAtMs + DEADLINE_MS,
  };
}
