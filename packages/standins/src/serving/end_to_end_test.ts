/**
 * Smoke test of the caller server over real sockets: forwarding, replay of a
 * claimed (non-idempotent) request, readiness and the list of entry addresses.
 */

import { sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

const AUTHORIZED = { authorization: `Bearer ${HARNESS_KEY}` };

describe("a request from caller to backend server", () => {
  const harness = new ServingHarness();

  beforeAll(() => harness.start());
  afterAll(() => harness.stop());

  it("forwards the request and its response", async () => {
    const result = await sendRequest(harness.address, "/read/bands?day=1", {
      headers: AUTHORIZED,
    });
    expect(result).toMatchObject({
      status: 200,
      body: "whole answer",
      isComplete: true,
    });
    expect(harness.backend.received.at(-1)?.target).toBe("/read/bands?day=1");
  });

  it("runs a claimed request once and replays its response", async () => {
    const call = {
      method: "POST",
      headers: { ...AUTHORIZED, "idempotency-key": "deposit-1" },
      body: "deposit",
    };
    const first = await sendRequest(harness.address, "/confirm", call);
    const second = await sendRequest(harness.address, "/confirm", call);
    expect(first).toMatchObject({ status: 200, isComplete: true });
    expect(second).toMatchObject({ status: 200, body: first.body });
    expect(second.headers["limpetford-replayed"]).toBe("true");
    expect(harness.backend.runsByKey.get("deposit-1")).toBe(1);
  });

  it("reports readiness and the addresses of the service", async () => {
    const ready = await sendRequest(harness.address, "/.limpetford/ready");
    expect(ready.status).toBe(200);
    const entries = await sendRequest(
      harness.address,
      "/.limpetford/entries?service=bands",
      { headers: AUTHORIZED },
    );
    const { host, port } = harness.address;
    expect(JSON.parse(entries.body)).toEqual({
      service: "bands",
      addresses: [`${host}:${port}`],
      validForMs: 5_000,
    });
  });
});
