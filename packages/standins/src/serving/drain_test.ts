/**
 * Guards against requests that a planned stop cuts off: those in flight, and
 * those of callers whose list of VMs still names the VM that drains.
 */

import * as http from "node:http";

import { sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

const AUTHORIZED = { authorization: `Bearer ${HARNESS_KEY}` };

describe("draining", () => {
  it("completes requests in flight and accepts no new ones", async () => {
    const harness = new ServingHarness();
    await harness.start();
    harness.backend.setBehavior({ kind: "answer", delayMs: 300 });
    const reads = Array.from(
      { length: 10 },
      () => sendRequest(harness.address, "/read", { headers: AUTHORIZED }),
    );
    const claimed = sendRequest(harness.address, "/confirm", {
      method: "POST",
      headers: { ...AUTHORIZED, "idempotency-key": "k" },
    });
    // Draining starts only after all 11 requests have reached the VM.
    for (
      let tries = 0;
      tries < 1_000 && harness.server.inFlight < 11;
      tries++
    ) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(harness.server.inFlight).toBe(11);
    await harness.server.drain();
    expect(harness.server.inFlight).toBe(0);
    for (const result of await Promise.all(reads)) {
      expect(result).toMatchObject({ status: 200, isComplete: true });
      expect(result.headers.connection).toBe("close");
    }
    expect(await claimed).toMatchObject({ status: 200, isComplete: true });
    expect(harness.backend.cancelledCount).toBe(0);
    const late = await sendRequest(harness.address, "/read");
    expect(late.status).toBeUndefined();
    await harness.stop();
  });

  it("serves callers with an outdated VM list during the linger time", async () => {
    const harness = new ServingHarness({ server: { lingerMs: 300 } });
    await harness.start();
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const call = { headers: AUTHORIZED, agent };
    await sendRequest(harness.address, "/read", call);
    const drained = harness.server.drain();
    const ready = await sendRequest(harness.address, "/.limpetford/ready");
    expect(ready.status).toBe(503);
    const open = await sendRequest(harness.address, "/read", call);
    expect(open).toMatchObject({ status: 200, isComplete: true });
    expect(open.headers.connection).toBe("close");
    await drained;
    agent.destroy();
    await harness.stop();
  });
});
