// Guards against an exception while another VM's response is passed on, which left
// the caller without any answer until its deadline, or ended the VM.

import type { SocketAddress } from "@limpetford/domain/vm";
import { CollectedExceptions } from "@limpetford/entry/fakes/collected_exceptions";
import { SimpleIdempotencyLedger } from "@limpetford/entry/fakes/simple_idempotency_ledger";
import { ExchangeReceiver } from "@limpetford/entry/serving/exchange_receiver";
import type { ServingPorts } from "@limpetford/entry/serving/serving_ports";
import { SystemClock } from "@limpetford/entry/vm/system_clock";

import { sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

// Names the other VM as the holder of every team's shard.
class OtherHolderLedger extends SimpleIdempotencyLedger {
  holder: SocketAddress = { host: "127.0.0.1", port: 1 };

  override findOtherHolder(): SocketAddress {
    return this.holder;
  }
}

describe("an exception while a response is passed on", () => {
  let exceptions: CollectedExceptions;
  let holder: ServingHarness;
  let other: ServingHarness;
  beforeEach(async () => {
    exceptions = new CollectedExceptions();
    const ledger = new OtherHolderLedger(new SystemClock());
    holder = new ServingHarness();
    await holder.start();
    other = new ServingHarness({
      backendAddresses: [holder.backend.address],
      preparePorts: (ports: ServingPorts) => ({ ...ports, ledger, exceptions }),
    });
    await other.start();
    ledger.holder = holder.address;
  });
  afterEach(async () => {
    jest.restoreAllMocks();
    await other.stop();
    await holder.stop();
  });

  // The holder's own response passes through the method first.
  it.each(["receiveHead", "receiveEnd"] as const)(
    "ends only this request, at once: %s",
    async (method) => {
      const { prototype } = ExchangeReceiver;
      const original = Reflect.get(prototype, method) as () => unknown;
      let calls = 0;
      jest.spyOn(prototype, method).mockImplementation(
        function (this: ExchangeReceiver, ...args: unknown[]) {
          calls += 1;
          if (calls === 2) {
            throw new Error("fault of a response");
          }
          Reflect.apply(original, this, args);
        },
      );
      const response = await sendRequest(other.address, "/confirm", {
        method: "POST",
        headers: {
          authorization: `Bearer ${HARNESS_KEY}`,
          "idempotency-key": method,
        },
        body: "deposit",
        abortAfterMs: 1_000,
      });
      if (method === "receiveHead") {
        expect(response.status).toBe(503);
        expect(response.headers["limpetford-outcome"]).toBe("unknown");
      } else {
        expect(response.isComplete).toBe(false);
      }
      expect(other.server.inFlight).toBe(0);
      expect(exceptions.sources).toEqual(["caller"]);
    },
  );
});
