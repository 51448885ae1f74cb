import { SuspicionRegistry } from "@limpetford/core/quarantine/suspicion_registry";
import { FakeClock } from "@limpetford/core/time/fake_clock";
import { type ServerId, toId } from "@limpetford/domain/ids";

import { CollectedExceptions } from "../fakes/collected_exceptions.ts";
import { buildPlacementRequest } from "../fakes/placement_request.ts";
import type {
  AttemptOutcome,
  PlacementRequest,
} from "../ports/server_router.ts";
import { ConnectProbe, type ConnectResult } from "./connect_probe.ts";
import { CrashGuard } from "./crash_guard.ts";
import { FleetLog } from "./fleet_log.ts";

const REQUEST = "request";
const GIVEN_UP_CRASHES = [
  ["s1", "suspect"],
  ["s2", "suspect"],
  ["s3", "quarantined"],
] as const;

// Answers each probe when the test says so.
class HeldConnectProbe extends ConnectProbe {
  readonly #waiting: ((result: ConnectResult) => void)[] = [];

  override probe(): Promise<ConnectResult> {
    return new Promise((resolve) => {
      this.#waiting.push(resolve);
    });
  }

  async complete(result: ConnectResult): Promise<void> {
    this.#waiting.splice(0).forEach((resolve) => {
      resolve(result);
    });
    await waitTurn();
  }
}

async function waitTurn(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

// Guards against equal requests that run side by side while nobody knows yet
// whether the first one crashed its server, and against a suspect that holds up
// harmless ones for long.
describe("CrashGuard", () => {
  let clock: FakeClock;
  let probe: HeldConnectProbe;
  let registry: SuspicionRegistry;
  let guard: CrashGuard;
  let count: number;
  beforeEach(() => {
    clock = new FakeClock();
    clock.advance(1_000);
    probe = new HeldConnectProbe();
    registry = new SuspicionRegistry();
    count = 0;
    guard = new CrashGuard({
      registry,
      probe,
      clock,
      log: new FleetLog({ clock, level: "error", vm: "vm-1" }),
      exceptions: new CollectedExceptions(),
      verifyLinks: () => Promise.resolve(true),
      handleCrash: () => undefined,
    });
  });

  function buildRequest(
    attempt = 1,
    signal = new AbortController().signal,
    fingerprint = REQUEST,
  ): PlacementRequest {
    count += 1;
    return buildPlacementRequest(`sending-${count}`, {
      fingerprint,
      attempt,
      signal,
    });
  }

  function complete(
    request: PlacementRequest,
    outcome: AttemptOutcome,
    server = "s1",
  ): void {
    guard.complete({
      server: {
        id: toId<ServerId>(server),
        address: { host: "127.0.0.1", port: 1 },
      },
      request,
      sample: {
        outcome,
        firstByteMs: outcome === "served" ? 20 : undefined,
        totalMs: 60,
        wasConnectionReused: false,
        answerBytes: 0,
      },
      sentAtMs: clock.readMonotonicMs() - 60,
    });
  }

  async function recordCrash(): Promise<void> {
    complete(buildRequest(), "reset-before-first-byte");
    await probe.complete("refused");
    clock.advance(400);
  }

  // Records how an admission ended, since it may wait.
  function admit(request: PlacementRequest): { result: unknown } {
    const admission: { result: unknown } = { result: "waiting" };
    void guard.admit(request).then((refusal) => {
      admission.result = refusal?.kind ?? "admitted";
    });
    return admission;
  }

  it("lets requests pass while none is suspect", () => {
    expect(guard.shouldAdmit(buildRequest())).toBe(false);
  });

  it("holds an equal request until the suspect was served", async () => {
    await recordCrash();
    const first = buildRequest();
    expect(await guard.admit(first)).toBeUndefined();
    expect(guard.isSuspect(first)).toBe(true);
    const second = admit(buildRequest());
    await waitTurn();
    expect(second.result).toBe("waiting");
    complete(first, "served", "s2");
    await waitTurn();
    expect(second.result).toBe("admitted");
    expect(guard.shouldAdmit(buildRequest())).toBe(false);
  });

  it("refuses an equal request that waited for one that crashed", async () => {
    await recordCrash();
    const first = buildRequest();
    await guard.admit(first);
    const second = admit(buildRequest());
    complete(first, "reset-before-first-byte", "s2");
    await waitTurn();
    expect(second.result).toBe("waiting");
    await probe.complete("refused");
    expect(second.result).toBe("quarantined");
    expect(await guard.admit(buildRequest())).toMatchObject({
      kind: "quarantined",
    });
  });

  // Guards against a popular request that is refused when servers go down one
  // after the other, and against a crashing one that runs on meanwhile.
  it.each([
    { name: "admits it once served elsewhere", isServed: true },
    { name: "refuses it if no server has served it", isServed: false },
  ])("holds a request whose retry crashed too, and $name", async (row) => {
    complete(buildRequest(), "reset-before-first-byte");
    await probe.complete("refused");
    clock.advance(65);
    complete(buildRequest(2), "reset-before-first-byte", "s2");
    await probe.complete("refused");
    const next = admit(buildRequest());
    clock.advance(999);
    registry.settle(clock.readMonotonicMs());
    await waitTurn();
    expect(next.result).toBe("waiting");
    if (row.isServed) {
      registry.recordServed(REQUEST, clock.readMonotonicMs());
    }
    clock.advance(1);
    registry.settle(clock.readMonotonicMs());
    await waitTurn();
    expect(next.result).toBe(row.isServed ? "admitted" : "quarantined");
  });

  it("holds a retry until the first server has been probed", async () => {
    const first = buildRequest();
    complete(first, "reset-before-first-byte");
    const retry = buildRequest(2);
    expect(guard.shouldAdmit(retry)).toBe(true);
    const admission = admit(retry);
    await waitTurn();
    expect(admission.result).toBe("waiting");
    await probe.complete("refused");
    expect(admission.result).toBe("admitted");
    expect(guard.isSuspect(retry)).toBe(true);
  });

  it("admits a retry soon if the probe gets no answer", async () => {
    complete(buildRequest(), "reset-before-first-byte");
    const admission = admit(buildRequest(2));
    await new Promise((resolve) => setTimeout(resolve, 100));
    expect(admission.result).toBe("admitted");
  });

  it("does not hold requests for a suspect that hangs", async () => {
    await recordCrash();
    await guard.admit(buildRequest());
    clock.advance(1_000);
    expect(await guard.admit(buildRequest())).toBeUndefined();
  });

  it("lets the next one run if a suspect got no slot", async () => {
    await recordCrash();
    const first = buildRequest();
    await guard.admit(first);
    const second = admit(buildRequest());
    guard.withdraw(first);
    await waitTurn();
    expect(second.result).toBe("admitted");
  });

  it("stops waiting when the caller disconnects", async () => {
    await recordCrash();
    await guard.admit(buildRequest());
    const controller = new AbortController();
    const second = admit(buildRequest(1, controller.signal));
    controller.abort();
    await waitTurn();
    expect(second.result).toBe("overloaded");
  });

  // Guards against a harmless request that many callers send and leave.
  it("quarantines a request that was given up only after more crashes", async () => {
    for (const [server, status] of GIVEN_UP_CRASHES) {
      complete(buildRequest(), "cancelled", server);
      complete(buildRequest(1, undefined, "other"), "connect-failed", server);
      await probe.complete("refused");
      expect(registry.findStatus(REQUEST)).toBe(status);
      clock.advance(400);
    }
  });

  it("counts the given up run of a suspect in full", async () => {
    complete(buildRequest(), "cancelled");
    complete(buildRequest(1, undefined, "other"), "connect-failed");
    await probe.complete("refused");
    clock.advance(400);
    const suspect = buildRequest();
    expect(await guard.admit(suspect)).toBeUndefined();
    complete(suspect, "cancelled", "s2");
    guard.update(() => undefined);
    await probe.complete("refused");
    expect(registry.findStatus(REQUEST)).toBe("quarantined");
  });

  // Guards against a request that crashes server after server, since its caller sends
  // it each time with the same identifier.
  it.each([{ isSameId: false }, { isSameId: true }])(
    "counts each crash of a request that comes again: $isSameId",
    async ({ isSameId }) => {
      const first = buildRequest();
      for (const server of ["s1", "s2", "s3"]) {
        const request = isSameId ? first : buildRequest();
        complete(request, "reset-before-first-byte", server);
        await probe.complete("refused");
        clock.advance(2_000);
      }
      expect(registry.findStatus(REQUEST)).toBe("quarantined");
    },
  );
});
