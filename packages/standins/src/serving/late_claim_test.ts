/**
 * Guards against a request that is sent to a backend server or to its holder
 * after its deadline, whose caller would hear that the outcome is unknown.
 */

import type { SocketAddress } from "@limpetford/domain/vm";
import { SimpleIdempotencyLedger } from "@limpetford/entry/fakes/simple_idempotency_ledger";
import type {
  ClaimRequest,
  ClaimVerdict,
} from "@limpetford/entry/ports/idempotency_ledger";
import { SystemClock } from "@limpetford/entry/vm/system_clock";

import { type ClientResponse, sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

const DEADLINE_MS = 100;
/** The fault depends on the order of a timer and a write. */
const KEYS = ["k", "l", "m", "n", "o", "p", "q", "r"];

/** Records claims only after the deadline, as when the log is slow. */
class LateLedger extends SimpleIdempotencyLedger {
  readonly #clock = new SystemClock();
  isLate = false;
  passOnTo: SocketAddress | undefined;

  constructor() {
    super(new SystemClock());
  }

  override async claim(request: ClaimRequest): Promise<ClaimVerdict> {
    while (
      this.isLate &&
      this.#clock.readMonotonicMs() <= request.context.deadlineAtMs
    ) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    return this.passOnTo !== undefined
      ? { kind: "pass-on", to: this.passOnTo }
      : await super.claim(request);
  }
}

describe("a request that is claimed only after its deadline", () => {
  function send(key: string): Promise<ClientResponse> {
    return sendRequest(harness.address, "/confirm", {
      method: "POST",
      headers: {
        authorization: `Bearer ${HARNESS_KEY}`,
        "idempotency-key": key,
      },
      body: "deposit",
    });
  }

  // Opens the connection that the late request is sent on.
  async function sendLate(key: string): Promise<ClientResponse> {
    expect((await send("in-time")).status).toBe(200);
    ledger.isLate = true;
    const late = await send(key);
    ledger.isLate = false;
    return late;
  }

  let ledger: LateLedger;
  let harness: ServingHarness;
  let holder: ServingHarness;

  beforeEach(async () => {
    ledger = new LateLedger();
    harness = new ServingHarness({
      deadlineMs: DEADLINE_MS,
      preparePorts: (ports) => ({ ...ports, ledger }),
    });
    await harness.start();
    holder = new ServingHarness();
    await holder.start();
  });
  afterEach(async () => {
    await harness.stop();
    await holder.stop();
  });

  it("is not run and frees its key", async () => {
    for (const key of KEYS) {
      const late = await sendLate(key);
      expect(late.status).toBe(504);
      expect(late.headers["limpetford-outcome"]).toBe("not-run");
    }
    expect(harness.backend.runsByKey.get("k")).toBeUndefined();
    expect((await send("k")).status).toBe(200);
    expect(harness.backend.runsByKey.get("k")).toBe(1);
  });

  it("is not passed on", async () => {
    ledger.passOnTo = holder.address;
    for (const key of KEYS) {
      const late = await sendLate(key);
      expect(late.status).toBe(504);
      expect(late.headers["limpetford-outcome"]).toBe("not-run");
    }
    expect(holder.backend.runsByKey.get("k")).toBeUndefined();
  });
});
