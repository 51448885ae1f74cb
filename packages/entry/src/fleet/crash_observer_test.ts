import { FakeClock } from "@limpetford/core/time/fake_clock";
import { type ServerId, toId } from "@limpetford/domain/ids";
import { SERVER_STATE } from "@limpetford/domain/service";

import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { buildPlacementRequest } from "../fakes/placement_request.ts";
import type { AttemptOutcome } from "../ports/server_router.ts";
import { ConnectProbe, type ConnectResult } from "./connect_probe.ts";
import {
  CrashObserver,
  type ServerCrash,
  type ServerStart,
} from "./crash_observer.ts";
import { FleetLog } from "./fleet_log.ts";

const SERVER = {
  id: toId<ServerId>("i-1"),
  startedAtMs: 1,
  address: { host: "127.0.0.1", port: 1 },
};

// Gives the results that a test sets, one for each probe.
class FakeConnectProbe extends ConnectProbe {
  probeCount = 0;
  readonly #results: ConnectResult[];

  constructor(results: ConnectResult[]) {
    super();
    this.#results = results;
  }

  override probe(): Promise<ConnectResult> {
    this.probeCount += 1;
    return Promise.resolve(this.#results.shift() ?? "accepted");
  }
}

class Harness {
  readonly clock = new FakeClock();
  readonly crashes: ServerCrash[] = [];
  readonly probe: FakeConnectProbe;
  readonly observer: CrashObserver;
  areLinksSound = true;
  deadlineMs = 1_000;

  constructor(results: ConnectResult[]) {
    this.probe = new FakeConnectProbe(results);
    this.observer = new CrashObserver({
      probe: this.probe,
      clock: this.clock,
      log: new FleetLog({ clock: this.clock, level: "error", vm: "vm-1" }),
      exceptions: new CollectedExceptions(),
      verifyLinks: () => Promise.resolve(this.areLinksSound),
      handleCrash: (crash) => this.crashes.push(crash),
    });
  }

  async observe(
    fingerprint: string,
    outcome: AttemptOutcome,
    firstByteMs?: number,
  ): Promise<void> {
    const request = buildPlacementRequest(`request-${fingerprint}`, {
      fingerprint,
    });
    const context = { ...request.context, deadlineAtMs: this.deadlineMs };
    void this.observer.observe({
      server: SERVER,
      request: { ...request, context },
      sample: {
        outcome,
        firstByteMs,
        totalMs: 60,
        wasConnectionReused: true,
        answerBytes: 0,
      },
      sentAtMs: this.clock.readMonotonicMs(),
    });
    await new Promise((resolve) => setImmediate(resolve));
  }

  // One round of the checks that the VM makes all the time.
  async update(
    suspect: string,
    start: ServerStart = { startedAtMs: 1, state: SERVER_STATE.active },
  ): Promise<void> {
    this.observer.update([suspect], () => start);
    this.clock.advance(500);
    await new Promise((resolve) => setImmediate(resolve));
  }

  listSuspects(): readonly (readonly string[])[] {
    return this.crashes.map(({ attempts }) =>
      attempts.map(({ fingerprint }) => fingerprint)
    );
  }
}

// Guards against taking a single reset, which gray servers, idle timeouts and
// broken links cause, for a crash that the request may be to blame for.
describe("CrashObserver", () => {
  it.each<
    { outcome: AttemptOutcome; result: ConnectResult; isCrash: boolean }
  >([
    { outcome: "reset-before-first-byte", result: "refused", isCrash: true },
    { outcome: "reset-before-first-byte", result: "accepted", isCrash: false },
    {
      outcome: "reset-before-first-byte",
      result: "unanswered",
      isCrash: false,
    },
    { outcome: "cut", result: "refused", isCrash: true },
    { outcome: "timed-out", result: "refused", isCrash: true },
    { outcome: "timed-out", result: "accepted", isCrash: false },
    { outcome: "connect-failed", result: "refused", isCrash: false },
    { outcome: "failed", result: "refused", isCrash: false },
    { outcome: "shed", result: "refused", isCrash: false },
    { outcome: "served", result: "refused", isCrash: false },
  ])("$outcome, connection $result: $isCrash", async (testCase) => {
    const harness = new Harness([testCase.result]);
    await harness.observe("a", testCase.outcome);
    expect(harness.listSuspects()).toEqual(testCase.isCrash ? [["a"]] : []);
  });

  it("suspects a request whose caller left before the crash", async () => {
    const harness = new Harness(["refused"]);
    await harness.observe("impatient", "cancelled");
    expect(harness.probe.probeCount).toBe(0);
    harness.clock.advance(100);
    await harness.observe("other", "connect-failed");
    expect(harness.listSuspects()).toEqual([["impatient"]]);
  });

  it("does not suspect a request that was cancelled long before", async () => {
    const harness = new Harness(["refused"]);
    await harness.observe("early", "cancelled");
    harness.clock.advance(2_500);
    await harness.observe("late", "reset-before-first-byte");
    expect(harness.listSuspects()).toEqual([["late"]]);
  });

  it("suspects a request that crashes its server long after its caller left", async () => {
    const harness = new Harness(["refused"]);
    harness.deadlineMs = 4_000;
    await harness.observe("impatient", "cancelled");
    harness.clock.advance(3_900);
    await harness.observe("other", "reset-before-first-byte");
    expect(harness.listSuspects()).toEqual([["impatient", "other"]]);
  });

  it("suspects a request that is given up at its deadline and crashes its server then", async () => {
    const harness = new Harness(["accepted", "refused"]);
    harness.deadlineMs = 1_000;
    harness.clock.advance(1_000);
    await harness.observe("late", "timed-out");
    harness.clock.advance(400);
    await harness.observe("other", "connect-failed");
    expect(harness.listSuspects()).toEqual([["late"]]);
  });

  it("does not suspect a request after the deadline that its server got", async () => {
    const harness = new Harness(["refused"]);
    harness.deadlineMs = 4_000;
    await harness.observe("impatient", "cancelled");
    harness.clock.advance(5_100);
    await harness.observe("other", "reset-before-first-byte");
    expect(harness.listSuspects()).toEqual([["other"]]);
  });

  it("does not suspect the slower attempt of a hedged request that was served", async () => {
    const harness = new Harness(["refused"]);
    harness.deadlineMs = 4_000;
    await harness.observe("hedged", "cancelled");
    await harness.observe("hedged", "served", 20);
    await harness.observe("other", "reset-before-first-byte");
    expect(harness.listSuspects()).toEqual([["other"]]);
  });

  it("does not take the response to another request for proof", async () => {
    const harness = new Harness(["refused"]);
    harness.deadlineMs = 4_000;
    await harness.observe("impatient", "cancelled");
    await harness.observe("other", "served", 20);
    harness.clock.advance(3_000);
    await harness.observe("third", "connect-failed");
    expect(harness.listSuspects()).toEqual([["impatient"]]);
  });

  it("does not suspect a request that the server had begun to answer", async () => {
    const harness = new Harness(["refused"]);
    await harness.observe("answering", "cancelled", 20);
    await harness.observe("other", "reset-before-first-byte");
    expect(harness.listSuspects()).toEqual([["other"]]);
  });

  it("probes a server once for connections that break together", async () => {
    const harness = new Harness(["refused"]);
    const broken = ["a", "b", "c"].map((fingerprint) =>
      harness.observe(fingerprint, "reset-before-first-byte")
    );
    await Promise.all(broken);
    expect(harness.probe.probeCount).toBe(1);
    expect(harness.listSuspects()).toEqual([["a", "b", "c"]]);
  });

  it("blames no request while all servers refuse this VM", async () => {
    const harness = new Harness(["refused", "refused"]);
    harness.areLinksSound = false;
    await harness.observe("a", "reset-before-first-byte");
    expect(harness.crashes).toEqual([]);
    harness.areLinksSound = true;
    await harness.observe("b", "reset-before-first-byte");
    expect(harness.listSuspects()).toEqual([["b"]]);
  });

  // No other request shows the crash of a server that serves nothing else.
  it("probes a server that may be running a suspect request", async () => {
    const harness = new Harness(["accepted", "refused"]);
    harness.deadlineMs = 4_000;
    await harness.observe("suspect", "cancelled");
    await harness.update("suspect");
    expect(harness.crashes).toEqual([]);
    expect(harness.probe.probeCount).toBe(1);
    await harness.update("suspect");
    expect(harness.listSuspects()).toEqual([["suspect"]]);
  });

  it("does not probe servers for requests that are not suspect", async () => {
    const harness = new Harness(["refused"]);
    harness.deadlineMs = 4_000;
    await harness.observe("impatient", "cancelled");
    await harness.update("suspect");
    expect(harness.probe.probeCount).toBe(0);
  });

  it("probes no longer than a server may run the request", async () => {
    const harness = new Harness([]);
    harness.deadlineMs = 4_000;
    await harness.observe("suspect", "cancelled");
    harness.clock.advance(5_100);
    await harness.update("suspect");
    expect(harness.probe.probeCount).toBe(0);
  });

  it.each([
    { name: "a restart", isLeaving: false, suspects: [["impatient"]] },
    { name: "a planned restart", isLeaving: true, suspects: [] },
  ])("suspects by $name that the server announces", async (testCase) => {
    const harness = new Harness([]);
    harness.deadlineMs = 4_000;
    await harness.observe("impatient", "cancelled");
    const state = testCase.isLeaving
      ? SERVER_STATE.leaving
      : SERVER_STATE.active;
    await harness.update("none", { startedAtMs: 1, state });
    expect(harness.crashes).toEqual([]);
    harness.clock.advance(2_600);
    await harness.update("none", {
      startedAtMs: harness.clock.readWallMs() - 100,
      state: SERVER_STATE.active,
    });
    expect(harness.listSuspects()).toEqual(testCase.suspects);
  });

  it("does not suspect a request that was sent after the restart", async () => {
    const harness = new Harness([]);
    harness.deadlineMs = 4_000;
    harness.clock.advance(1_000);
    await harness.observe("impatient", "cancelled");
    await harness.update("none", {
      startedAtMs: harness.clock.readWallMs() - 100,
      state: SERVER_STATE.active,
    });
    expect(harness.crashes).toEqual([]);
  });

  it.each<{ outcome: AttemptOutcome; isGivenUp: boolean }>([
    { outcome: "cancelled", isGivenUp: true },
    { outcome: "reset-before-first-byte", isGivenUp: false },
  ])("tells whether the run was given up: $outcome", async (testCase) => {
    const harness = new Harness(["refused"]);
    await harness.observe("a", testCase.outcome);
    await harness.observe("b", "connect-failed");
    expect(harness.crashes[0]?.attempts[0]?.wasGivenUp).toBe(
      testCase.isGivenUp,
    );
  });

  it("probes a server that ends an idle connection if it may run a request", async () => {
    const harness = new Harness(["refused"]);
    harness.deadlineMs = 4_000;
    harness.observer.observeIdleLost("127.0.0.1:1");
    expect(harness.probe.probeCount).toBe(0);
    await harness.observe("impatient", "cancelled");
    harness.observer.observeIdleLost("127.0.0.1:2");
    expect(harness.probe.probeCount).toBe(0);
    harness.observer.observeIdleLost("127.0.0.1:1");
    await new Promise((resolve) => setImmediate(resolve));
    expect(harness.listSuspects()).toEqual([["impatient"]]);
  });

  it("suspects what was sent before a crash that another VM has noticed", async () => {
    const harness = new Harness([]);
    harness.deadlineMs = 4_000;
    await harness.observe("impatient", "cancelled");
    harness.clock.advance(1_000);
    await harness.observe("later", "cancelled");
    harness.observer.observePeerCrash(SERVER.id, 500);
    harness.observer.observePeerCrash(SERVER.id, 500);
    expect(harness.listSuspects()).toEqual([["impatient"]]);
  });
});
