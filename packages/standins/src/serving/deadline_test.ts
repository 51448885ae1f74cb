/**
 * Guards against backend work that outlives its caller, and against a claimed
 * (non-idempotent) request that is cancelled halfway: it runs to its end so
 * that a resend gets its response instead of a second run.
 */

import { sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

const AUTHORIZED = { authorization: `Bearer ${HARNESS_KEY}` };
const ROUTE_DEADLINE_MS = 600;

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

describe("deadlines and cancellation", () => {
  let harness: ServingHarness;

  beforeEach(async () => {
    harness = new ServingHarness({ deadlineMs: ROUTE_DEADLINE_MS });
    await harness.start();
  });
  afterEach(() => harness.stop());

  function readForwardedDeadlineMs(): number {
    const received = harness.backend.received.at(-1);
    return Number(received?.headers["request-timeout-ms"]);
  }

  it("forwards the caller's deadline, less the time already spent", async () => {
    await sendRequest(harness.address, "/read", {
      headers: { ...AUTHORIZED, "request-timeout-ms": "300" },
    });
    expect(readForwardedDeadlineMs()).toBeLessThanOrEqual(300);
    expect(readForwardedDeadlineMs()).toBeGreaterThan(0);
  });

  it("caps the caller's deadline at the route's", async () => {
    await sendRequest(harness.address, "/read", {
      headers: { ...AUTHORIZED, "request-timeout-ms": "999999" },
    });
    expect(readForwardedDeadlineMs()).toBeLessThanOrEqual(ROUTE_DEADLINE_MS);
  });

  it.each(["0", "-1", "1.5", "soon", ""])(
    "refuses the deadline %j",
    async (value) => {
      const result = await sendRequest(harness.address, "/read", {
        headers: { ...AUTHORIZED, "request-timeout-ms": value },
      });
      expect(result.status).toBe(400);
      expect(harness.backend.runCount).toBe(0);
    },
  );

  it("gives up at the caller's deadline and cancels the attempt", async () => {
    harness.backend.addScript({ kind: "hang" });
    const result = await sendRequest(harness.address, "/read", {
      headers: { ...AUTHORIZED, "request-timeout-ms": "100" },
    });
    expect(result.status).toBe(504);
    await wait(50);
    expect(harness.backend.cancelledCount).toBe(1);
  });

  it("cancels an idempotent request whose caller disconnects", async () => {
    harness.backend.addScript({ kind: "hang" });
    await sendRequest(harness.address, "/read", {
      headers: AUTHORIZED,
      abortAfterMs: 100,
    });
    await wait(50);
    expect(harness.backend.cancelledCount).toBe(1);
    expect(harness.server.inFlight).toBe(0);
  });

  it("completes a claimed request whose caller disconnects", async () => {
    harness.backend.addScript({ kind: "answer", delayMs: 300, body: "done" });
    const call = {
      method: "POST",
      headers: { ...AUTHORIZED, "idempotency-key": "k" },
    };
    await sendRequest(harness.address, "/confirm", {
      ...call,
      abortAfterMs: 100,
    });
    await wait(400);
    expect(harness.backend.cancelledCount).toBe(0);
    const again = await sendRequest(harness.address, "/confirm", call);
    expect(again).toMatchObject({ status: 200, body: "done" });
    expect(harness.backend.runsByKey.get("k")).toBe(1);
  });

  it("completes a claimed request past its caller's deadline", async () => {
    harness.backend.addScript({ kind: "answer", delayMs: 250, body: "done" });
    const call = {
      method: "POST",
      headers: {
        ...AUTHORIZED,
        "idempotency-key": "k",
        "request-timeout-ms": "100",
      },
    };
    const first = await sendRequest(harness.address, "/confirm", call);
    expect(first).toMatchObject({ status: 504 });
    expect(first.headers["limpetford-outcome"]).toBe("unknown");
    await wait(300);
    const again = await sendRequest(harness.address, "/confirm", call);
    expect(again).toMatchObject({ status: 200, body: "done" });
    expect(harness.backend.runsByKey.get("k")).toBe(1);
  });
});
