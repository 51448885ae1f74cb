// Guards against a router that sends requests to a server beyond its slots or
// after it has left, or excludes so many servers that too little capacity
// remains. Both come about when servers leave, fail and are ejected while
// requests are in flight or queued.

import {
  type RouteId,
  type ServerId,
  type ServiceId,
  type TeamId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { BackendServer, Service } from "@limpetford/domain/service";
import fc from "fast-check";

import type { EjectionDecision } from "../ejection/ejection_decision.ts";
import { selectEjectable, sumSlots } from "../ejection/floor.ts";
import type { AttemptOutcome } from "../evidence/attempt_sample.ts";
import { QuarantineRegistry } from "../quarantine/quarantine_registry.ts";
import { Clock } from "../time/clock.ts";
import { SeededRandomSource } from "../time/random_source.ts";
import { type PermitReply, RouterOutbox } from "./router_outbox.ts";
import type {
  RoutingRequest,
  RoutingVerdict,
  SlotLease,
} from "./routing_request.ts";
import { ServiceRouter } from "./service_router.ts";

const SEED = 11;
const SLOTS = 3;
const SERVER_COUNT = 6;
const FLOOR = 0.5;
const SERVICE: Service = {
  id: toId<ServiceId>("calendar"),
  floor: FLOOR,
  falseEjectionsPerServerDay: 0.01,
  healthPath: "/health",
};
const SELF = { vm: toId<VmId>("v0"), zone: toId<ZoneId>("z0") };

class ManualClock extends Clock {
  nowMs = 0;

  override readMonotonicMs(): number {
    return this.nowMs;
  }

  override readWallMs(): number {
    return this.nowMs;
  }
}

class FixedOutbox extends RouterOutbox {
  reply: PermitReply = "granted";
  readonly crashes: string[] = [];
  readonly released: boolean[] = [];

  override sendCrash(notice: { readonly fingerprint: string }): void {
    this.crashes.push(notice.fingerprint);
  }

  override fetchPermit(
    _fingerprint: string,
    deliver: (reply: PermitReply) => void,
  ): void {
    deliver(this.reply);
  }

  override releasePermit(_fingerprint: string, hasServed: boolean): void {
    this.released.push(hasServed);
  }
}

function makeServers(): readonly BackendServer[] {
  return Array.from({ length: SERVER_COUNT }, (_, index) => ({
    id: toId<ServerId>(`s${index}`),
    service: SERVICE.id,
    zone: toId<ZoneId>(`z${index % 3}`),
    address: { host: "127.0.0.1", port: index + 1 },
    slots: SLOTS,
    connections: 400,
    state: "active",
  }));
}

function makeRequest(options: Partial<RoutingRequest> = {}): RoutingRequest {
  return {
    fingerprint: "f",
    route: toId<RouteId>("read"),
    team: toId<TeamId>("t"),
    weight: 1,
    isIdempotent: true,
    deadlineAtMs: 1e9,
    tried: [],
    attempt: 1,
    isHedge: false,
    ...options,
  };
}

function makeRouter() {
  const clock = new ManualClock();
  const outbox = new FixedOutbox();
  const quarantine = new QuarantineRegistry();
  const router = new ServiceRouter({
    self: SELF,
    clock,
    random: new SeededRandomSource(SEED),
    outbox,
    quarantine,
  });
  router.setServers(SERVICE, makeServers(), [SELF]);
  return { clock, outbox, quarantine, router };
}

function acquireNow(
  router: ServiceRouter,
  request: RoutingRequest,
): RoutingVerdict | undefined {
  let verdict: RoutingVerdict | undefined;
  router.acquire(request, (delivered) => {
    verdict = delivered;
  });
  return verdict;
}

function takeLease(verdict: RoutingVerdict | undefined): SlotLease {
  if (verdict?.kind !== "placed") {
    throw new Error(`not placed: ${verdict?.kind ?? "waiting"}`);
  }
  return verdict.lease;
}

function completeAttempt(lease: SlotLease, outcome: AttemptOutcome): void {
  lease.complete({
    outcome,
    firstByteMs: 20,
    totalMs: 20,
    wasConnectionReused: true,
    answerBytes: 100,
  });
}

const OUTCOMES: readonly AttemptOutcome[] = [
  "served",
  "failed",
  "shed",
  "connect-failed",
  "reset-before-first-byte",
  "cut",
  "timed-out",
  "cancelled",
];

type Step =
  | { readonly kind: "acquire"; readonly isIdempotent: boolean }
  | { readonly kind: "end"; readonly index: number; readonly outcome: number }
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "leave"; readonly server: number }
  | { readonly kind: "eject"; readonly servers: readonly number[] };

const STEP: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("acquire" as const),
      isIdempotent: fc.boolean(),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("end" as const),
      index: fc.nat(20),
      outcome: fc.nat(OUTCOMES.length - 1),
    }),
  },
  fc.record({ kind: fc.constant("wait" as const), ms: fc.nat(3_000) }),
  fc.record({
    kind: fc.constant("leave" as const),
    server: fc.nat(SERVER_COUNT - 1),
  }),
  fc.record({
    kind: fc.constant("eject" as const),
    servers: fc.uniqueArray(fc.nat(SERVER_COUNT - 1)),
  }),
);

function makeDecision(
  servers: readonly number[],
  revision: number,
): EjectionDecision {
  return {
    service: SERVICE.id,
    epoch: 1,
    revision,
    servers: servers.map((index) => ({
      server: toId<ServerId>(`s${index}`),
      mode: "ejected",
      severity: 1,
      reason: "fails-all",
      ageMs: 0,
      probers: [],
      strikes: 1,
    })),
    references: [],
  };
}

describe("ServiceRouter", () => {
  it("respects the floor and slot limits, and uses no server that has left", () => {
    fc.assert(
      fc.property(fc.array(STEP, { maxLength: 120 }), (steps) => {
        const { clock, router } = makeRouter();
        const open: SlotLease[] = [];
        const inFlight = new Map<ServerId, number>();
        let servers = makeServers();
        let revision = 0;
        const accept = (verdict: RoutingVerdict): void => {
          if (verdict.kind === "placed") {
            const { id } = verdict.lease.server;
            expect(servers.map((server) => server.id)).toContain(id);
            inFlight.set(id, (inFlight.get(id) ?? 0) + 1);
            expect(inFlight.get(id)).toBeLessThanOrEqual(SLOTS);
            open.push(verdict.lease);
          }
        };
        for (const step of steps) {
          switch (step.kind) {
            case "acquire":
              router.acquire(
                makeRequest({ isIdempotent: step.isIdempotent }),
                accept,
              );
              break;
            case "end": {
              const [lease] = open.splice(step.index % (open.length || 1), 1);
              if (lease !== undefined) {
                const { id } = lease.server;
                inFlight.set(id, (inFlight.get(id) ?? 0) - 1);
                completeAttempt(lease, OUTCOMES[step.outcome] ?? "served");
              }
              break;
            }
            case "wait":
              clock.nowMs += step.ms;
              router.advance();
              break;
            case "leave":
              if (servers.length > 1) {
                servers = servers.filter((server) =>
                  server.id !== toId<ServerId>(`s${step.server}`)
                );
                router.setServers(SERVICE, servers, [SELF]);
              }
              break;
            case "eject":
              revision += 1;
              router.applyDecision(makeDecision(step.servers, revision));
              break;
          }
          const leftOut = router.listLeftOut();
          const kept = servers.filter((server) => !leftOut.has(server.id));
          expect(sumSlots(kept)).toBeGreaterThanOrEqual(
            FLOOR * sumSlots(servers),
          );
        }
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  it("leaves out the worst ejected servers as far as the floor allows", () => {
    const { router } = makeRouter();
    router.applyDecision(makeDecision([4, 2, 0, 1], 1));
    const servers = makeServers();
    const order = [4, 2, 0, 1].map((index) => toId<ServerId>(`s${index}`));
    expect([...router.listLeftOut()]).toEqual(
      [...selectEjectable(servers, order, FLOOR)],
    );
    expect([...router.listLeftOut()]).toEqual(["s4", "s2", "s0"]);
  });

  it("ignores an older decision", () => {
    const { router } = makeRouter();
    router.applyDecision(makeDecision([4], 2));
    router.applyDecision(makeDecision([1], 1));
    expect([...router.listLeftOut()]).toEqual(["s4"]);
  });

  it("tries an ejected server on its own when the holder is silent", () => {
    const { clock, router } = makeRouter();
    router.applyDecision(makeDecision([4], 1));
    clock.nowMs = 31_000;
    const used = Array.from(
      { length: 3 },
      () => takeLease(acquireNow(router, makeRequest())).server.id,
    );
    expect(used).toContain("s4");
  });

  it("refuses requests at once when the queue is too long", () => {
    const { router } = makeRouter();
    const kinds = Array.from(
      { length: 2_000 },
      () => acquireNow(router, makeRequest())?.kind ?? "waiting",
    );
    expect(kinds.filter((kind) => kind === "placed"))
      .toHaveLength(SERVER_COUNT * SLOTS);
    expect(kinds.at(-1)).toBe("overloaded");
    expect(kinds).toContain("waiting");
  });

  it.each<{ reply: PermitReply; kind: RoutingVerdict["kind"] }>([
    { reply: "granted", kind: "placed" },
    { reply: "cleared", kind: "placed" },
    { reply: "quarantined", kind: "quarantined" },
    { reply: "no-holder", kind: "overloaded" },
  ])(
    "maps the permit reply $reply for a suspect to the verdict $kind",
    ({ reply, kind }) => {
      const { router, outbox } = makeRouter();
      const lease = takeLease(acquireNow(router, makeRequest()));
      completeAttempt(lease, "reset-before-first-byte");
      expect(outbox.crashes).toEqual(["f"]);
      outbox.reply = reply;
      expect(acquireNow(router, makeRequest())?.kind).toBe(kind);
    },
  );

  it("refuses a quarantined request until it is released", () => {
    const { router, quarantine } = makeRouter();
    quarantine.apply(quarantine.buildFact("f", false));
    expect(acquireNow(router, makeRequest())?.kind).toBe("quarantined");
    expect(acquireNow(router, makeRequest({ fingerprint: "g" }))?.kind)
      .toBe("placed");
    quarantine.apply(quarantine.buildFact("f", true));
    expect(acquireNow(router, makeRequest())?.kind).toBe("placed");
  });
});
