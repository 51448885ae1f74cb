import { FakeClock } from "@limpetford/core/time/fake_clock";
import { type ServerId, toId } from "@limpetford/domain/ids";

import { buildPlacementRequest } from "../fakes/placement_request.ts";
import type { AttemptOutcome } from "../ports/server_router.ts";
import { ConnectProbe, type ConnectResult } from "./connect_probe.ts";
import { CrashObserver, type ServerCrash } from "./crash_observer.ts";
import { FleetLog } from "./fleet_log.ts";

const SERVER = {
  id: toId<ServerId>("i-1"),
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

  constructor(results: ConnectResult[]) {
    this.probe = new FakeConnectProbe(results);
    this.observer = new CrashObserver({
      probe: this.probe,
      clock: this.clock,
      log: new FleetLog({ clock: this.clock, level: "error", vm: "vm-1" }),
      verifyLinks: () => Promise.resolve(this.areLinksSound),
      handleCrash: (crash) => this.crashes.push(crash),
    });
  }

  async observe(
    fingerprint: string,
    outcome: AttemptOutcome,
    firstByteMs?: number,
  ): Promise<void> {
    void this.observer.observe({
      server: SERVER,
      request: buildPlacementRequest(`request-${fingerprint}`, { fingerprint }),
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
});
