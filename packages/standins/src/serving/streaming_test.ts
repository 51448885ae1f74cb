/**
 * Guards against faults in handling bodies (buffering without backpressure,
 * resending a body that is gone, replaying one that was not stored), in
 * hedging, in the built-in endpoints and in rate limits.
 */

import * as http from "node:http";

import { sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

const AUTHORIZED = { authorization: `Bearer ${HARNESS_KEY}` };
const LARGE_BYTES = 100_000_000;
const STREAMED_BYTES = 150_000;

describe("bodies", () => {
  let harness: ServingHarness;

  beforeEach(async () => {
    harness = new ServingHarness({ deadlineMs: 20_000 });
    await harness.start();
  });
  afterEach(() => harness.stop());

  it("are not read ahead for a caller that does not read", async () => {
    harness.backend.setBehavior({ kind: "large", bytes: LARGE_BYTES });
    const response = await new Promise<http.IncomingMessage>((resolve) => {
      http.get(
        { ...harness.address, path: "/read", headers: AUTHORIZED },
        resolve,
      );
    });
    await new Promise((resolve) => setTimeout(resolve, 500));
    // Socket buffers on the path hold far less than half of the body.
    expect(harness.backend.sentBytes).toBeLessThan(LARGE_BYTES / 2);
    let bytes = 0;
    response.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
    });
    await new Promise((resolve) => response.on("close", resolve));
    expect(response.complete).toBe(true);
    expect(bytes).toBe(LARGE_BYTES);
  });

  it("of claimed responses above the limit are not replayed", async () => {
    harness.backend.setBehavior({ kind: "large", bytes: 100_000 });
    const call = {
      method: "POST",
      headers: { ...AUTHORIZED, "idempotency-key": "k" },
    };
    const first = await sendRequest(harness.address, "/confirm", call);
    expect(first.body).toHaveLength(100_000);
    const second = await sendRequest(harness.address, "/confirm", call);
    expect(second.status).toBe(409);
    expect(second.headers["limpetford-outcome"]).toBe("ran");
    expect(harness.backend.runsByKey.get("k")).toBe(1);
  });

  it.each([
    { name: "small", bytes: 1_000 },
    { name: "streamed", bytes: STREAMED_BYTES },
  ])(
    "of $name idempotent requests reach the server complete",
    async ({ bytes }) => {
      const result = await sendRequest(harness.address, "/read", {
        method: "PUT",
        headers: AUTHORIZED,
        body: Buffer.alloc(bytes, "b"),
      });
      expect(result.status).toBe(200);
      expect(harness.backend.received[0]?.body).toHaveLength(bytes);
    },
  );

  it("that were streamed are not retried", async () => {
    harness.backend.setBehavior({ kind: "reset" });
    const result = await sendRequest(harness.address, "/read", {
      method: "PUT",
      headers: AUTHORIZED,
      body: Buffer.alloc(STREAMED_BYTES, "b"),
    });
    expect(result.status).toBe(502);
    expect(result.headers["limpetford-outcome"]).toBe("unknown");
    expect(harness.backend.runCount).toBe(1);
  });

  it("that are equal give one run on a route that derives keys", async () => {
    const send = (body: string) =>
      sendRequest(harness.address, "/derived", {
        method: "POST",
        headers: AUTHORIZED,
        body,
      });
    await send("tank 4");
    const again = await send("tank 4");
    expect(again.headers["limpetford-replayed"]).toBe("true");
    await send("tank 5");
    expect(harness.backend.runCount).toBe(2);
    const keyless = await sendRequest(harness.address, "/confirm", {
      method: "POST",
      headers: AUTHORIZED,
    });
    expect(keyless.status).toBe(400);
  });
});

describe("a hedged request", () => {
  it("leaves no attempt in flight", async () => {
    const harness = new ServingHarness({
      serverCount: 2,
      preparePorts: (ports) => {
        ports.router.planHedgeMs = () => 50;
        return ports;
      },
    });
    await harness.start();
    const [a, b] = harness.backends;
    // Each server is slow on its first request, so that the first call is hedged.
    a?.addScript({ kind: "answer", delayMs: 1_000, body: "slow" });
    b?.addScript({ kind: "answer", delayMs: 1_000, body: "slow" });
    harness.backends.forEach((backend) => {
      backend.setBehavior({ kind: "answer", body: "quick" });
    });
    await sendRequest(harness.address, "/read", { headers: AUTHORIZED });
    const result = await sendRequest(harness.address, "/read", {
      headers: AUTHORIZED,
    });
    expect(result).toMatchObject({ status: 200, body: "quick" });
    const runs = harness.backends.map((backend) => backend.runCount);
    expect(runs).toEqual([expect.any(Number), expect.any(Number)]);
    expect(harness.server.inFlight).toBe(0);
    await harness.stop();
  });
});

describe("built-in endpoints and rate limits", () => {
  it("are not ready, and run nothing, without a configuration", async () => {
    const harness = new ServingHarness({ isConfigured: false });
    await harness.start();
    const ready = await sendRequest(harness.address, "/.limpetford/ready");
    const live = await sendRequest(harness.address, "/.limpetford/live");
    const read = await sendRequest(harness.address, "/read", {
      headers: AUTHORIZED,
    });
    expect([ready.status, live.status, read.status]).toEqual([503, 200, 503]);
    expect(read.headers["limpetford-outcome"]).toBe("not-run");
    expect(Number(read.headers["retry-after"])).toBeGreaterThan(0);
    await harness.stop();
  });

  it.each([
    { path: "/.limpetford/entries?service=bands", headers: {}, status: 401 },
    {
      path: "/.limpetford/entries?service=none",
      headers: AUTHORIZED,
      status: 404,
    },
    { path: "/.limpetford/nothing", headers: AUTHORIZED, status: 404 },
    { path: "/.limpetford/entries", headers: AUTHORIZED, status: 404 },
  ])("refuse $path with status $status", async ({ path, headers, status }) => {
    const harness = new ServingHarness();
    await harness.start();
    const result = await sendRequest(harness.address, path, { headers });
    expect(result.status).toBe(status);
    await harness.stop();
  });

  it("refuse requests above the rate as not-run with retry-after", async () => {
    const harness = new ServingHarness({ burst: 2, ratePerSecond: 0.1 });
    await harness.start();
    const statuses: (number | undefined)[] = [];
    for (let count = 0; count < 4; count++) {
      const result = await sendRequest(harness.address, "/read", {
        headers: AUTHORIZED,
      });
      statuses.push(result.status);
      if (result.status === 429) {
        const waitSeconds = Number(result.headers["retry-after"]);
        expect(waitSeconds).toBeGreaterThanOrEqual(8);
        expect(waitSeconds).toBeLessThanOrEqual(16);
        expect(result.headers["limpetford-outcome"]).toBe("not-run");
      }
    }
    expect(statuses).toEqual([200, 200, 429, 429]);
    expect(harness.backend.runCount).toBe(2);
    await harness.stop();
  });
});
