/**
 * Guards against a claimed (non-idempotent) request that runs at a VM other
 * than its holder, takes a token twice, is forwarded in a loop, or is reported
 * as not run though the holder may have run it.
 */

import type { SocketAddress } from "@limpetford/domain/vm";
import { SimpleIdempotencyLedger } from "@limpetford/entry/fakes/simple_idempotency_ledger";
import type { ServingPorts } from "@limpetford/entry/serving/serving_ports";
import { SystemClock } from "@limpetford/entry/vm/system_clock";

import { sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

const AUTHORIZED = { authorization: `Bearer ${HARNESS_KEY}` };
const UNREACHABLE: SocketAddress = { host: "127.0.0.1", port: 1 };

/** Names another VM as the holder of every team's shard. */
class OtherHolderLedger extends SimpleIdempotencyLedger {
  holder = UNREACHABLE;

  override findOtherHolder(): SocketAddress {
    return this.holder;
  }
}

describe("a claimed request at a VM that does not hold its shard", () => {
  const clock = new SystemClock();
  let ledger: OtherHolderLedger;
  let holder: ServingHarness;
  let other: ServingHarness;

  beforeEach(async () => {
    ledger = new OtherHolderLedger(clock);
    holder = new ServingHarness({ burst: 2, ratePerSecond: 0.001 });
    await holder.start();
    other = new ServingHarness({
      backendAddresses: [holder.backend.address],
      burst: 0,
      ratePerSecond: 0.001,
      preparePorts: (ports: ServingPorts) => ({ ...ports, ledger }),
    });
    await other.start();
    ledger.holder = holder.address;
  });
  afterEach(async () => {
    await other.stop();
    await holder.stop();
  });

  const call = {
    method: "POST",
    headers: { ...AUTHORIZED, "idempotency-key": "k" },
    body: "deposit",
  };

  it("runs at the holder, which alone takes a token", async () => {
    const result = await sendRequest(other.address, "/confirm?a=1", call);
    expect(result).toMatchObject({ status: 200, body: "whole answer" });
    const id = String(result.headers["limpetford-request-id"]);
    expect(holder.server.explain(id)).toMatchObject({
      isPassedOn: true,
      claim: "run",
      status: 200,
    });
    expect(other.server.explain(id)?.passedOnTo).toBeDefined();
    const received = JSON.stringify(holder.backend.received);
    expect(received).not.toContain(HARNESS_KEY);
    expect(received).not.toContain("limpetford-passed-on");
  });

  it("is replayed from the holder's claim when sent again", async () => {
    await sendRequest(other.address, "/confirm", call);
    const again = await sendRequest(holder.address, "/confirm", call);
    expect(again.headers["limpetford-replayed"]).toBe("true");
    const conflict = await sendRequest(other.address, "/confirm", {
      ...call,
      body: "other",
    });
    expect(conflict.status).toBe(429);
    expect(conflict.headers["limpetford-outcome"]).toBe("not-run");
    expect(holder.backend.runsByKey.get("k")).toBe(1);
  });

  it("is forwarded at most once", async () => {
    const result = await sendRequest(other.address, "/confirm", {
      ...call,
      headers: { ...call.headers, "limpetford-passed-on": "1" },
    });
    expect(result.status).toBe(503);
    expect(JSON.parse(result.body)).toMatchObject({
      type: "urn:limpetford:problem:not-holder",
      outcome: "not-run",
    });
    expect(holder.backend.runCount).toBe(0);
  });

  it("is refused as not-run when the holder is unreachable", async () => {
    ledger.holder = UNREACHABLE;
    const result = await sendRequest(other.address, "/confirm", call);
    expect(result.status).toBe(503);
    expect(result.headers["limpetford-outcome"]).toBe("not-run");
    expect(Number(result.headers["retry-after"])).toBeGreaterThan(0);
  });

  it("is reported as unknown when the holder stops while it runs", async () => {
    holder.backend.setBehavior({ kind: "hang" });
    const pending = sendRequest(other.address, "/confirm", call);
    await new Promise((resolve) => setTimeout(resolve, 100));
    await holder.server.stop();
    const result = await pending;
    expect(result.status).toBe(503);
    expect(result.headers["limpetford-outcome"]).toBe("unknown");
  });
});

// Guards against callers who get past their team's limit by a header that VMs send
// each other.
describe("a caller that claims to be another VM", () => {
  it.each(["limpetford-passed-on", "limpetford-forwarded"])(
    "stays within its limit (%s)",
    async (header) => {
      const harness = new ServingHarness({ burst: 2, ratePerSecond: 0.001 });
      await harness.start();
      const statuses: unknown[] = [];
      for (let count = 0; count < 4; count++) {
        const { status } = await sendRequest(harness.address, "/read/a", {
          headers: { ...AUTHORIZED, [header]: "1" },
        });
        statuses.push(status);
      }
      await harness.stop();
      expect(statuses).toEqual([200, 200, 429, 429]);
    },
  );
});
