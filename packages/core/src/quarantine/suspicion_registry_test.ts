import * as fc from "fast-check";

import { SeededRandomSource } from "../time/random_source.ts";
import {
  countCrashes,
  isSameSuspicion,
  type Suspicion,
  SUSPICION_STATUS,
} from "./suspicion.ts";
import { SuspicionRegistry } from "./suspicion_registry.ts";

const REQUEST = "request";
/** How long a request is held that crashed servers in quick succession. */
const CONFIRMATION_MS = 1_000;
const RUN_TIMES_MS: Readonly<Record<string, number>> = {
  a: 0,
  b: 50,
  c: 600,
  d: 900,
};

// One event at a VM. A crash names the server and when the run was sent before
// it, by default over an open connection; without a run, the server crashed with
// other requests in flight.
type Event =
  | {
    readonly at: number;
    readonly crash: string;
    readonly ranMs?: number;
    readonly isNewConnection?: true;
    /** True if the run had been given up before the crash. */
    readonly isGivenUp?: true;
  }
  | { readonly at: number; readonly served: true };

interface RegistryCase {
  readonly name: string;
  readonly events: readonly Event[];
  readonly status: string;
  readonly crashCount: number;
}

const CASES: readonly RegistryCase[] = [
  {
    name: "two crashes after it was given up",
    events: [
      { at: 0, crash: "s1", ranMs: 60, isGivenUp: true },
      { at: 400, crash: "s2", ranMs: 60, isGivenUp: true },
    ],
    status: "suspect",
    crashCount: 2,
  },
  {
    name: "three crashes after it was given up",
    events: [
      { at: 0, crash: "s1", ranMs: 60, isGivenUp: true },
      { at: 400, crash: "s2", ranMs: 60, isGivenUp: true },
      { at: 800, crash: "s3", ranMs: 60, isGivenUp: true },
    ],
    status: "quarantined",
    crashCount: 3,
  },
  {
    name: "a crash after it was given up and one while it ran",
    events: [
      { at: 0, crash: "s1", ranMs: 60, isGivenUp: true },
      { at: 400, crash: "s2", ranMs: 60 },
    ],
    status: "quarantined",
    crashCount: 2,
  },
  {
    name: "three crashes after it was given up, while other servers crash",
    events: [
      { at: 0, crash: "s1", ranMs: 60, isGivenUp: true },
      { at: 300, crash: "s9" },
      { at: 400, crash: "s2", ranMs: 60, isGivenUp: true },
      { at: 800, crash: "s3", ranMs: 60, isGivenUp: true },
    ],
    status: "suspect",
    crashCount: 3,
  },
  {
    name: "crashes after it was given up, served in between",
    events: [
      { at: 0, crash: "s1", ranMs: 60, isGivenUp: true },
      { at: 400, crash: "s2", ranMs: 60, isGivenUp: true },
      { at: 500, served: true },
      { at: 800, crash: "s3", ranMs: 60, isGivenUp: true },
      { at: 1_200, crash: "s4", ranMs: 60, isGivenUp: true },
    ],
    status: "suspect",
    crashCount: 2,
  },
  {
    name: "one crash",
    events: [{ at: 0, crash: "s1", ranMs: 60 }],
    status: "suspect",
    crashCount: 1,
  },
  {
    name: "two crashes in a row",
    events: [
      { at: 0, crash: "s1", ranMs: 60 },
      { at: 400, crash: "s2", ranMs: 60 },
    ],
    status: "quarantined",
    crashCount: 2,
  },
  {
    name: "a retry sent after the first crash",
    events: [
      { at: 0, crash: "s1", ranMs: 60 },
      { at: 65, crash: "s2", ranMs: 60, isNewConnection: true },
    ],
    status: "quarantined",
    crashCount: 2,
  },
  {
    name: "copies on open connections whose reset a busy VM notices late",
    events: [
      { at: 0, crash: "s1", ranMs: 60 },
      { at: 26, crash: "s2", ranMs: 25 },
      { at: 55, crash: "s3", ranMs: 28 },
      { at: 110, crash: "s4", ranMs: 50 },
    ],
    status: "suspect",
    crashCount: 1,
  },
  {
    name: "a retry that is reset at once by a server of the same rack",
    events: [
      { at: 0, crash: "s1", ranMs: 60 },
      { at: 8, crash: "s2", ranMs: 4 },
    ],
    status: "suspect",
    crashCount: 1,
  },
  {
    name: "copies in flight when a rack fails",
    events: [
      { at: 0, crash: "s1", ranMs: 60 },
      { at: 1, crash: "s2", ranMs: 40 },
      { at: 30, crash: "s3", ranMs: 90 },
    ],
    status: "suspect",
    crashCount: 1,
  },
  {
    name: "served between two crashes",
    events: [
      { at: 0, crash: "s1", ranMs: 60 },
      { at: 300, served: true },
      { at: 900, crash: "s2", ranMs: 60 },
    ],
    status: "suspect",
    crashCount: 1,
  },
  {
    name: "served after a quarantine",
    events: [
      { at: 0, crash: "s1", ranMs: 60 },
      { at: 400, crash: "s2", ranMs: 60 },
      { at: 500, served: true },
    ],
    status: "cleared",
    crashCount: 0,
  },
  {
    name: "two crashes while other servers crash without it",
    events: [
      { at: 0, crash: "s1", ranMs: 60 },
      { at: 200, crash: "other" },
      { at: 400, crash: "s2", ranMs: 60 },
    ],
    status: "suspect",
    crashCount: 2,
  },
  {
    name: "three crashes while other servers crash without it",
    events: [
      { at: 0, crash: "s1", ranMs: 60 },
      { at: 200, crash: "other" },
      { at: 400, crash: "s2", ranMs: 60 },
      { at: 800, crash: "s3", ranMs: 60 },
    ],
    status: "quarantined",
    crashCount: 3,
  },
  {
    name: "two crashes long after another server's",
    events: [
      { at: 0, crash: "other" },
      { at: 20_000, crash: "s1", ranMs: 60 },
      { at: 20_400, crash: "s2", ranMs: 60 },
    ],
    status: "quarantined",
    crashCount: 2,
  },
  {
    name: "two crashes hours apart",
    events: [
      { at: 0, crash: "s1", ranMs: 60 },
      { at: 7_200_000, crash: "s2", ranMs: 60 },
    ],
    status: "quarantined",
    crashCount: 2,
  },
];

function applyEvent(registry: SuspicionRegistry, event: Event): void {
  registry.expire(event.at);
  if ("served" in event) {
    registry.recordServed(REQUEST, event.at);
    return;
  }
  const { at, crash, ranMs, isNewConnection, isGivenUp } = event;
  const runs = ranMs === undefined ? [] : [{
    fingerprint: REQUEST,
    id: `run at ${crash}`,
    sentAtMs: at - ranMs,
    endedAtMs: at,
    wasServerRunning: isNewConnection === true,
    wasGivenUp: isGivenUp === true,
  }];
  registry.recordCrash(crash, runs, at);
}

// Guards against a crashing request that is let run again, and against a
// harmless one that is refused because it was in flight at unrelated crashes.
describe("SuspicionRegistry", () => {
  it.each(CASES)("$name: $status", ({ events, status, crashCount }) => {
    const registry = new SuspicionRegistry();
    for (const event of events) {
      applyEvent(registry, event);
    }
    registry.settle((events.at(-1)?.at ?? 0) + CONFIRMATION_MS);
    expect(registry.findStatus(REQUEST)).toBe(status);
    expect(countCrashes(registry.find(REQUEST)?.runs ?? [])).toBe(crashCount);
    expect(registry.isEmpty).toBe(status === "cleared");
  });

  it("never lets a retry run again that crashed a second server", () => {
    const registry = new SuspicionRegistry();
    applyEvent(registry, { at: 0, crash: "s1", ranMs: 60 });
    expect(registry.computeHoldMs(REQUEST, 0)).toBe(0);
    applyEvent(registry, {
      at: 65,
      crash: "s2",
      ranMs: 60,
      isNewConnection: true,
    });
    registry.settle(1_064);
    expect(registry.findStatus(REQUEST)).toBe("suspect");
    expect(registry.computeHoldMs(REQUEST, 1_064)).toBe(1);
    registry.settle(1_065);
    expect(registry.findStatus(REQUEST)).toBe("quarantined");
  });

  // A rack fails server by server and takes a popular request and its retry with
  // it. Another VM's server serves the request soon after, but that VM's notice
  // takes up to half a second.
  it("does not refuse a popular request when a rack goes down in turn", () => {
    const random = new SeededRandomSource(5);
    const statuses = Array.from({ length: 500 }, () => {
      const here = new SuspicionRegistry();
      const there = new SuspicionRegistry();
      const secondAtMs = 20 + random.pickIndex(200);
      const servedAtMs = random.pickIndex(400);
      const heardAtMs = servedAtMs + random.pickIndex(500);
      applyEvent(here, { at: 0, crash: "s1", ranMs: 38 });
      here.list().forEach((one) => there.apply(one, 0));
      there.recordServed(REQUEST, servedAtMs);
      if (heardAtMs < secondAtMs) {
        there.list().forEach((one) => here.apply(one, heardAtMs));
      }
      applyEvent(here, {
        at: secondAtMs,
        crash: "s2",
        ranMs: secondAtMs - 11,
        isNewConnection: true,
      });
      const lastAtMs = Math.max(heardAtMs, secondAtMs);
      here.settle(lastAtMs);
      const before = here.findStatus(REQUEST);
      there.list().forEach((one) => here.apply(one, lastAtMs));
      here.settle(lastAtMs + CONFIRMATION_MS);
      return `${before}, ${here.findStatus(REQUEST)}`;
    });
    expect(statuses.filter((status) => status.includes("quarantined")))
      .toEqual([]);
  });

  it("keeps a quarantine for a day, and forgets a cleared request", () => {
    const registry = new SuspicionRegistry();
    for (const fingerprint of ["crashing", "cleared"]) {
      for (const [at, server] of [[0, "s1"], [400, "s2"]] as const) {
        registry.recordCrash(
          server,
          [{
            fingerprint,
            id: server,
            sentAtMs: at - 60,
            endedAtMs: at,
            wasServerRunning: false,
          }],
          at,
        );
      }
    }
    registry.recordServed("cleared", 500);
    registry.expire(86_400_000);
    expect(registry.findStatus("crashing")).toBe("quarantined");
    expect(registry.find("cleared")).toBeUndefined();
  });

  it("keeps quarantines when many requests become suspect", () => {
    const registry = new SuspicionRegistry();
    registry.recordCrash(
      "s1",
      [{
        fingerprint: REQUEST,
        id: "a",
        sentAtMs: 0,
        endedAtMs: 60,
        wasServerRunning: false,
      }],
      60,
    );
    registry.recordCrash(
      "s2",
      [{
        fingerprint: REQUEST,
        id: "b",
        sentAtMs: 400,
        endedAtMs: 460,
        wasServerRunning: false,
      }],
      460,
    );
    const runs = Array.from({ length: 5_000 }, (_, index) => ({
      fingerprint: `other-${index}`,
      id: "c",
      sentAtMs: 900,
      endedAtMs: 960,
      wasServerRunning: false,
    }));
    registry.recordCrash("s3", runs, 960);
    expect(registry.list().length).toBeLessThanOrEqual(1_000);
    expect(registry.findStatus(REQUEST)).toBe("quarantined");
  });

  it("gives VMs the same knowledge in whichever order they exchange it", () => {
    const run = fc.record({
      id: fc.constantFrom("a", "b", "c", "d"),
      server: fc.constant("s"),
      ranMs: fc.constant(60),
    }).map((one) => ({ ...one, crashedAtMs: RUN_TIMES_MS[one.id] ?? 0 }));
    const suspicion = fc.record({
      fingerprint: fc.constant(REQUEST),
      generation: fc.integer({ min: 0, max: 2 }),
      status: fc.constantFrom(...Object.values(SUSPICION_STATUS)),
      runs: fc.uniqueArray(run, { maxLength: 3, selector: ({ id }) => id }),
    });
    fc.assert(
      fc.property(
        fc.array(suspicion, { minLength: 1, maxLength: 6 }),
        fc.integer({ min: 0, max: 5 }),
        (all: readonly Suspicion[], shift) => {
          const results = [all, [...all].reverse(), sortFrom(all, shift)].map(
            (order) => {
              const registry = new SuspicionRegistry();
              order.forEach((one) => registry.apply(one, 5_000));
              return registry.find(REQUEST);
            },
          );
          const [first] = results;
          results.forEach((result) => {
            expect(first && result && isSameSuspicion(first, result)).toBe(
              true,
            );
          });
        },
      ),
      { seed: 1, numRuns: 500 },
    );
  });
});

function sortFrom<T>(items: readonly T[], first: number): readonly T[] {
  const cut = first % items.length;
  return [...items.slice(cut), ...items.slice(0, cut)];
}
