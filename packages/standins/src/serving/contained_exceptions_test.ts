/** Guards against what one caller's request throws and other requests pay for. */

import { once } from "node:events";
import * as net from "node:net";

import { NativeDialect } from "@limpetford/entry/dialect/native_dialect";
import { CollectedExceptions } from "@limpetford/entry/fakes/collected_exceptions";
import { SimpleServerRouter } from "@limpetford/entry/fakes/simple_server_router";
import type {
  Placement,
  PlacementRequest,
  PlacementVerdict,
  RetryVerdict,
} from "@limpetford/entry/ports/server_router";
import { ResponseWriter } from "@limpetford/entry/serving/response_writer";
import type { ServingPorts } from "@limpetford/entry/serving/serving_ports";
import { DecisionLog } from "@limpetford/entry/telemetry/decision_log";

import { type ClientResponse, sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

const AUTHORIZED = { authorization: `Bearer ${HARNESS_KEY}` };
const FAULT_TIMEOUT_MS = 1_000;
const LONG_BODY_WORDS = 100_000;

type FaultPoint =
  | "acquire"
  | "address"
  | "admitted"
  | "chunk"
  | "complete"
  | "hedge"
  | "end"
  | "retry";

/** Throws at one point, and counts the slots that are taken. */
class FaultyRouter extends SimpleServerRouter {
  point: FaultPoint | undefined;
  taken = 0;

  runFault(point: FaultPoint): void {
    if (this.point === point) {
      throw new Error(`fault at ${point}`);
    }
  }

  override async acquire(request: PlacementRequest): Promise<PlacementVerdict> {
    this.runFault("acquire");
    const verdict = await super.acquire(request);
    return verdict.kind === "placed"
      ? { kind: "placed", placement: this.#track(verdict.placement) }
      : verdict;
  }

  override planHedgeMs(): undefined {
    this.runFault("hedge");
  }

  override planRetry(): RetryVerdict {
    this.runFault("retry");
    return { kind: "give-up" };
  }

  #track(placement: Placement): Placement {
    this.taken += 1;
    const { server } = placement;
    const address = { host: "127.0.0.1", port: -1 };
    return {
      server: this.point === "address" ? { ...server, address } : server,
      complete: (sample) => {
        this.taken -= 1;
        placement.complete(sample);
        this.runFault("complete");
      },
    };
  }
}

class FaultyDecisionLog extends DecisionLog {
  readonly #router: FaultyRouter;

  constructor(router: FaultyRouter) {
    super();
    this.#router = router;
  }

  override recordAdmitted(): void {
    this.#router.runFault("admitted");
  }

  override recordEnd(): void {
    this.#router.runFault("end");
  }
}

class FaultyDialect extends NativeDialect {
  override handleOwnRequest(): boolean {
    throw new Error("fault at an own request");
  }

  override refuseMalformed(): void {
    throw new Error("fault at a malformed request");
  }
}

describe("an exception while a caller's request is served", () => {
  let router: FaultyRouter;
  let exceptions: CollectedExceptions;
  let harness: ServingHarness;
  beforeEach(async () => {
    exceptions = new CollectedExceptions();
    harness = new ServingHarness({
      preparePorts: (ports): ServingPorts => {
        router = new FaultyRouter(ports.configuration, ports.random);
        const decisions = new FaultyDecisionLog(router);
        return { ...ports, router, decisions, exceptions };
      },
    });
    await harness.start();
  });
  afterEach(async () => {
    await harness.stop();
  });

  async function sendAtFault(
    point: FaultPoint,
    path: string,
  ): Promise<ClientResponse> {
    router.point = point;
    try {
      return await sendRequest(harness.address, path, {
        method: path === "/confirm" ? "POST" : "GET",
        headers: { ...AUTHORIZED, "idempotency-key": point },
        abortAfterMs: FAULT_TIMEOUT_MS,
      });
    } finally {
      router.point = undefined;
    }
  }

  async function expectServing(): Promise<void> {
    const next = await sendRequest(harness.address, "/read", {
      headers: AUTHORIZED,
    });
    expect(next).toMatchObject({ status: 200, isComplete: true });
    expect(harness.server.inFlight).toBe(0);
    expect(router.taken).toBe(0);
    expect(new Set(exceptions.sources)).toEqual(new Set(["caller"]));
  }

  it.each<[FaultPoint, string, readonly [number, string?]]>([
    ["acquire", "/read", [503, "not-run"]],
    ["address", "/read", [503, "not-run"]],
    ["address", "/confirm", [503, "not-run"]],
    ["admitted", "/read", [503, "not-run"]],
    ["hedge", "/read", [200]],
    ["retry", "/read", [503, "unknown"]],
    ["complete", "/read", [200]],
    ["complete", "/confirm", [200]],
    ["end", "/read", [200]],
  ])(
    "ends only this request: %s, %s",
    async (point, path, [status, outcome]) => {
      harness.backend.setBehavior(
        point === "retry" ? { kind: "reset" } : { kind: "answer" },
      );
      const response = await sendAtFault(point, path);
      expect(response.status).toBe(status);
      expect(response.headers["limpetford-outcome"]).toBe(outcome);
      harness.backend.setBehavior({ kind: "answer" });
      await expectServing();
    },
  );

  it("breaks the connection of a response that has begun", async () => {
    const write = jest.spyOn(ResponseWriter.prototype, "write")
      .mockImplementationOnce(() => {
        write.mockImplementationOnce(() => {
          throw new Error("fault at a chunk");
        });
        return true;
      });
    harness.backend.setBehavior({
      kind: "answer",
      body: "long".repeat(LONG_BODY_WORDS),
    });
    const response = await sendAtFault("chunk", "/read");
    expect(response.isComplete).toBe(false);
    write.mockRestore();
    await expectServing();
  });
});

describe("an exception before a request is served", () => {
  it("ends only its connection", async () => {
    const exceptions = new CollectedExceptions();
    const harness = new ServingHarness({
      preparePorts: (ports): ServingPorts => ({
        ...ports,
        exceptions,
        dialect: new FaultyDialect(ports),
      }),
    });
    await harness.start();
    const { address, server } = harness;
    const response = await sendRequest(address, "/read", {
      abortAfterMs: FAULT_TIMEOUT_MS,
    });
    expect(response.status).toBeUndefined();
    const malformed = net.connect(address);
    malformed.write("GET /read\r\n\r\n");
    await once(malformed, "close");
    expect(exceptions.sources).toEqual(["caller", "caller"]);
    expect(server.inFlight).toBe(0);
    await harness.stop();
  });
});
