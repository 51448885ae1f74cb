import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

import { MemoryBudget, MemoryShare } from "./memory_budget.ts";
import { BodyBudget, readBody } from "./request_body.ts";

const LIMIT_BYTES = 10_000;
const BODY_BYTES = 1_000;
const TIMEOUT_MS = 1_000;
/** Parts of one byte, as many as the longest body of the users' pages may have. */
const MANY_PARTS = 1_000_000;

describe("a body of unknown length", () => {
  let memory: MemoryBudget;
  beforeEach(() => {
    memory = new MemoryBudget(LIMIT_BYTES);
  });

  function readParts(partBytes: number): ReturnType<typeof readBody> {
    const request = new IncomingMessage(new Socket());
    request.headers = { "transfer-encoding": "chunked" };
    const body = readBody(request, {
      limitBytes: LIMIT_BYTES * 2,
      timeoutMs: TIMEOUT_MS,
      budget: new BodyBudget(LIMIT_BYTES * 2),
      memory: new MemoryShare(memory),
    });
    for (let sent = 0; sent < BODY_BYTES; sent += partBytes) {
      request.push("b".repeat(partBytes));
    }
    request.push(null);
    return body;
  }

  it("is read and counted", async () => {
    const body = await readParts(BODY_BYTES / 2);
    expect(body).toMatchObject({ ok: true });
    expect(memory.heldBytes).toBe(BODY_BYTES);
  });

  it("is read if its parts are short, and counts no more than its bytes", async () => {
    const body = await readParts(1);
    expect(body).toMatchObject({ ok: true });
    expect(memory.heldBytes).toBe(BODY_BYTES);
  });

  it("holds little more than its bytes, however short its parts are", async () => {
    setFlagsFromString("--expose-gc");
    const collectGarbage = runInNewContext("gc") as () => void;
    const request = new IncomingMessage(new Socket());
    request.headers = { "transfer-encoding": "chunked" };
    const body = readBody(request, {
      limitBytes: MANY_PARTS,
      timeoutMs: TIMEOUT_MS,
      budget: new BodyBudget(MANY_PARTS),
      memory: new MemoryShare(new MemoryBudget(MANY_PARTS)),
    });
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    for (let sent = 0; sent < MANY_PARTS; sent++) {
      request.emit("data", Buffer.from("b"));
    }
    collectGarbage();
    const heldBytes = process.memoryUsage().heapUsed - before;
    request.emit("end");
    expect(await body).toMatchObject({ ok: true });
    expect(heldBytes).toBeLessThan(MANY_PARTS);
  });

  it("is refused if the VM has no room for it", async () => {
    memory.reserve(LIMIT_BYTES);
    const body = await readParts(BODY_BYTES);
    expect(body).toMatchObject({ ok: false, error: { kind: "vm-busy" } });
  });
});
