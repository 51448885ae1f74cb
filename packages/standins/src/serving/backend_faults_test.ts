/**
 * Guards against backend faults that reach the caller as something else: a
 * truncated response that looks complete, a failure reported as not run though
 * the request ran, or a second run of a claimed (non-idempotent) request.
 */

import type { BackendBehavior } from "../backend/backend_behavior.ts";
import { type ClientResponse, sendRequest } from "./http_client.ts";
import { HARNESS_KEY, ServingHarness } from "./serving_harness.ts";

const AUTHORIZED = { authorization: `Bearer ${HARNESS_KEY}` };
const DEADLINE_MS = 400;

/** The response that a caller must get for a fault of the only server. */
interface FaultCase {
  readonly behavior: BackendBehavior;
  readonly status: number | undefined;
  /** Suffix of the problem type; undefined if the server's response passes. */
  readonly problem?: string;
  readonly outcome?: string;
}

const FAULT_CASES: readonly FaultCase[] = [
  { behavior: { kind: "answer" }, status: 200 },
  { behavior: { kind: "answer", isChunked: true }, status: 200 },
  { behavior: { kind: "answer", status: 404 }, status: 404 },
  { behavior: { kind: "own-echo" }, status: 200 },
  {
    behavior: { kind: "shed" },
    status: 503,
    problem: "overloaded",
    outcome: "not-run",
  },
  {
    behavior: { kind: "hang" },
    status: 504,
    problem: "deadline-passed",
    outcome: "unknown",
  },
  {
    behavior: { kind: "answer", delayMs: DEADLINE_MS + 100 },
    status: 504,
    problem: "deadline-passed",
    outcome: "unknown",
  },
  {
    behavior: { kind: "reset" },
    status: 502,
    problem: "reset-before-answer",
    outcome: "unknown",
  },
  {
    behavior: { kind: "close" },
    status: 502,
    problem: "reset-before-answer",
    outcome: "unknown",
  },
  {
    behavior: { kind: "garbage" },
    status: 502,
    problem: "reset-before-answer",
    outcome: "unknown",
  },
  {
    behavior: { kind: "huge-headers" },
    status: 502,
    problem: "reset-before-answer",
    outcome: "unknown",
  },
  {
    behavior: { kind: "foreign-echo" },
    status: 502,
    problem: "answer-malformed",
    outcome: "unknown",
  },
  {
    behavior: { kind: "unframed" },
    status: 502,
    problem: "answer-malformed",
    outcome: "unknown",
  },
  {
    behavior: { kind: "crash" },
    status: 502,
    problem: "reset-before-answer",
    outcome: "unknown",
  },
];

// Responses that begin, but whose end contradicts their framing.
const TRUNCATED_BEHAVIORS: readonly BackendBehavior[] = [
  { kind: "short-length" },
  { kind: "long-length" },
  { kind: "cut-chunked" },
  { kind: "cut-chunked-closing" },
  { kind: "reset-in-body" },
  { kind: "two-answers" },
  { kind: "stall-in-body" },
];

async function runWithBackend(
  behavior: BackendBehavior,
  run: (harness: ServingHarness) => Promise<void>,
): Promise<void> {
  const harness = new ServingHarness({ deadlineMs: DEADLINE_MS });
  await harness.start();
  try {
    harness.backend.setBehavior(behavior);
    await run(harness);
  } finally {
    await harness.stop();
  }
}

function expectResponse(result: ClientResponse, faultCase: FaultCase): void {
  expect(result.status).toBe(faultCase.status);
  expect(result.isComplete).toBe(true);
  expect(result.headers["limpetford-outcome"]).toBe(faultCase.outcome);
  if (faultCase.problem !== undefined) {
    expect(JSON.parse(result.body)).toMatchObject({
      type: `urn:limpetford:problem:${faultCase.problem}`,
      status: faultCase.status,
      outcome: faultCase.outcome,
    });
  }
}

describe.each(FAULT_CASES)(
  "a backend server with behavior $behavior",
  (faultCase) => {
    it("gives an idempotent request a complete response or an error", async () => {
      await runWithBackend(faultCase.behavior, async (harness) => {
        const result = await sendRequest(harness.address, "/read", {
          headers: AUTHORIZED,
        });
        expectResponse(result, faultCase);
      });
    });

    it("runs a claimed request at most once, resends included", async () => {
      await runWithBackend(faultCase.behavior, async (harness) => {
        const call = {
          method: "POST",
          headers: { ...AUTHORIZED, "idempotency-key": "k" },
          body: "deposit",
        };
        const first = await sendRequest(harness.address, "/confirm", call);
        expectResponse(first, faultCase);
        const second = await sendRequest(harness.address, "/confirm", call);
        expect(harness.backend.runsByKey.get("k") ?? 0).toBeLessThanOrEqual(1);
        if (first.status !== 503) {
          expect(second.status).toBe(
            faultCase.outcome === undefined ? faultCase.status : 409,
          );
        }
      });
    });
  },
);

describe.each(TRUNCATED_BEHAVIORS)("a response broken by $kind", (behavior) => {
  it.each(["/read", "/confirm"])(
    "reaches the caller visibly incomplete on %s",
    async (path) => {
      await runWithBackend(behavior, async (harness) => {
        const call = {
          method: path === "/read" ? "GET" : "POST",
          headers: { ...AUTHORIZED, "idempotency-key": "k" },
        };
        const result = await sendRequest(harness.address, path, call);
        expect(result.isComplete).toBe(false);
        harness.backend.setBehavior({ kind: "answer", body: "next" });
        const next = await sendRequest(harness.address, path, call);
        expect(next).toMatchObject(
          path === "/read" ? { status: 200, body: "next" } : { status: 409 },
        );
        if (path === "/confirm") {
          expect(harness.backend.runsByKey.get("k")).toBe(1);
        }
      });
    },
  );
});

describe("a backend server that sends a second response", () => {
  it("gets one request on each connection", async () => {
    await runWithBackend(
      { kind: "late-second-answer", delayMs: 30 },
      async (harness) => {
        const read = () =>
          sendRequest(harness.address, "/read", { headers: AUTHORIZED });
        expect((await read()).body).toBe("first");
        await new Promise((resolve) => setTimeout(resolve, 100));
        harness.backend.setBehavior({ kind: "answer" });
        for (let count = 0; count < 3; count++) {
          expect((await read()).body).toBe("whole answer");
        }
        expect(harness.backend.connectionCount).toBe(4);
      },
    );
  });
});

describe("a backend server that does not listen", () => {
  it("is reported as not-run", async () => {
    await runWithBackend({ kind: "answer" }, async (harness) => {
      await harness.backend.stop();
      const result = await sendRequest(harness.address, "/read", {
        headers: AUTHORIZED,
      });
      expectResponse(result, {
        behavior: { kind: "crash" },
        status: 503,
        problem: "backend-unreachable",
        outcome: "not-run",
      });
      expect(Number(result.headers["retry-after"])).toBeGreaterThan(0);
    });
  });
});

describe("several backend servers", () => {
  it("get an idempotent request retried, and a claimed one not", async () => {
    const harness = new ServingHarness({ serverCount: 2 });
    await harness.start();
    const [a, b] = harness.backends;
    a?.addScript({ kind: "reset" });
    b?.addScript({ kind: "reset" });
    const headers = { ...AUTHORIZED, "idempotency-key": "k" };
    const claimed = await sendRequest(harness.address, "/confirm", {
      method: "POST",
      headers,
    });
    expect(claimed.status).toBe(502);
    const read = await sendRequest(harness.address, "/read", { headers });
    expect(read).toMatchObject({ status: 200, isComplete: true });
    const runs = harness.backends.map((backend) => backend.runCount);
    expect(runs.reduce((sum, count) => sum + count)).toBeLessThanOrEqual(3);
    await harness.stop();
  });

  it("get a claimed request retried after a denial without a run", async () => {
    const harness = new ServingHarness({ serverCount: 2 });
    await harness.start();
    harness.backends.forEach((backend) => {
      backend.addScript({ kind: "shed" });
    });
    const call = {
      method: "POST",
      headers: { ...AUTHORIZED, "idempotency-key": "k" },
    };
    const first = await sendRequest(harness.address, "/confirm", call);
    expect(first.headers["limpetford-outcome"]).toBe("not-run");
    const second = await sendRequest(harness.address, "/confirm", call);
    expect(second.status).toBe(200);
    const runs = harness.backends.map((backend) =>
      backend.runsByKey.get("k") ?? 0
    );
    expect(runs.reduce((sum, count) => sum + count)).toBe(1);
    await harness.stop();
  });
});
