import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as wait } from "node:timers/promises";

import { FakeClock } from "@limpetford/core/time/fake_clock";
import { FakeLogService } from "@limpetford/platform/fakes/fake_log_service";
import type { LogFaults } from "@limpetford/platform/fakes/log_faults";
import type { MemoryLogStore } from "@limpetford/platform/fakes/memory_log_store";
import { HttpLogService } from "@limpetford/platform/http/http_log_service";
import type { LogPage, LogService } from "@limpetford/platform/log_service";

import { PlatformStandin } from "./platform_standin.ts";

const STREAM = "team/ñ?";
const SLOW_MS = 1_000;
const SHORT_TIMEOUT_MS = 200;
const POLLS = 400;

interface Harness {
  readonly log: LogService;
  /** A client that stops waiting early. */
  readonly impatientLog: LogService;
  readonly store: MemoryLogStore;
  readonly faults: LogFaults;
  /** Runs a call to its end, with its time passing. */
  run<T>(call: () => Promise<T>): Promise<T>;
  /** Lets a slow service finish. */
  settle(isDone: () => boolean): Promise<void>;
  close(): Promise<void>;
}

function makeFakeHarness(): Promise<Harness> {
  const clock = new FakeClock();
  const log = new FakeLogService({ clock, timeoutMs: SHORT_TIMEOUT_MS });
  return Promise.resolve({
    log,
    impatientLog: log,
    store: log.store,
    faults: log.faults,
    run: async <T>(call: () => Promise<T>) => {
      const promise = call();
      await clock.advanceAndSettle(SLOW_MS / 2);
      return await promise;
    },
    settle: async () => {
      await clock.advanceAndSettle(2 * SLOW_MS);
    },
    close: () => Promise.resolve(),
  });
}

async function makeHttpHarness(): Promise<Harness> {
  const clock = new FakeClock();
  const standin = new PlatformStandin({ clock });
  const origin = await standin.start();
  const log = new HttpLogService(origin);
  const impatientLog = new HttpLogService(origin, {
    appendTimeoutMs: SHORT_TIMEOUT_MS,
  });
  return {
    log,
    impatientLog,
    store: standin.store,
    faults: standin.logFaults,
    run: async (call) => await call(),
    settle: async (isDone) => {
      for (let poll = 0; poll < POLLS && !isDone(); poll++) {
        await wait(10);
      }
    },
    close: async () => {
      await log.close();
      await impatientLog.close();
      await standin.stop();
    },
  };
}

function encode(...texts: readonly string[]): Uint8Array[] {
  return texts.map((text) => Buffer.from(text));
}

function decode(page: LogPage): string[] {
  return page.records.map((record) =>
    `${record.offset}:${Buffer.from(record.payload).toString()}`
  );
}

function readStore(store: MemoryLogStore): string[] {
  return decode(store.read(STREAM, { fromOffset: 0, limit: 100, nowMs: 0 }));
}

describe.each([
  ["fake", makeFakeHarness],
  ["HTTP client and stand-in", makeHttpHarness],
])("log service: %s", (_name, makeHarness) => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await makeHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  async function append(...texts: readonly string[]) {
    return await harness.run(() =>
      harness.log.append(STREAM, encode(...texts))
    );
  }

  async function read(fromOffset: number, limit = 100) {
    const result = await harness.run(() =>
      harness.log.read(STREAM, { fromOffset, limit })
    );
    return result.ok
      ? { ...result.value, records: decode(result.value) }
      : result.error;
  }

  it("gives rising offsets and keeps groups together", async () => {
    expect(await append("a", "b")).toEqual({ ok: true, value: 0 });
    expect(await append("c")).toEqual({ ok: true, value: 2 });
    expect(await read(0)).toEqual({
      records: ["0:a", "1:b", "2:c"],
      nextOffset: 3,
      oldestOffset: 0,
      endOffset: 3,
    });
  });

  it("keeps streams apart and payloads byte for byte", async () => {
    const bytes = Uint8Array.from({ length: 256 }, (_, index) => index);
    await harness.run(() => harness.log.append("other", [bytes]));
    const page = await harness.run(() =>
      harness.log.read("other", { fromOffset: 0 })
    );
    expect(page.ok && page.value.records[0]?.payload).toEqual(bytes);
    expect(await read(0)).toMatchObject({ records: [], endOffset: 0 });
  });

  it("reads nothing at the end, and pages of the size asked for", async () => {
    await append("a", "b", "c");
    expect(await read(3)).toMatchObject({ records: [], nextOffset: 3 });
    expect(await read(0, 2)).toMatchObject({
      records: ["0:a", "1:b"],
      nextOffset: 2,
    });
  });

  it.each([
    {
      fault: "the answer is lost after the effect",
      set: (faults: LogFaults) => {
        faults.appendAnswersToLose = 1;
      },
      kind: "append-outcome-unknown",
      after: ["0:a"],
    },
    {
      fault: "the append is lost on the way",
      set: (faults: LogFaults) => {
        faults.appendsToLose = 1;
      },
      kind: "append-outcome-unknown",
      after: [],
    },
    {
      fault: "the effect comes after the time-out",
      set: (faults: LogFaults) => {
        faults.delayBeforeEffectMs = SLOW_MS;
      },
      kind: "append-outcome-unknown",
      after: ["0:a"],
    },
    {
      fault: "the answer comes after the time-out",
      set: (faults: LogFaults) => {
        faults.delayAfterEffectMs = SLOW_MS;
      },
      kind: "append-outcome-unknown",
      after: ["0:a"],
    },
    {
      fault: "the service is away",
      set: (faults: LogFaults) => {
        faults.isUnavailable = true;
      },
      kind: "log-away",
      after: [],
    },
    {
      fault: "the service is busy",
      set: (faults: LogFaults) => {
        faults.busyRetryAfterMs = 3_000;
      },
      kind: "log-busy",
      after: [],
    },
  ])("appends when $fault", async ({ set, kind, after }) => {
    set(harness.faults);
    const { impatientLog } = harness;
    const isSlow = harness.faults.delayBeforeEffectMs > 0 ||
      harness.faults.delayAfterEffectMs > 0;
    const result = isSlow
      ? await harness.run(() => impatientLog.append(STREAM, encode("a")))
      : await append("a");
    expect(result).toMatchObject({ ok: false, error: { kind } });
    await harness.settle(() => readStore(harness.store).length >= after.length);
    expect(readStore(harness.store)).toEqual(after);
    harness.faults.clear();
    expect(await append("b")).toEqual({ ok: true, value: after.length });
  });

  it("says when to come back if busy", async () => {
    harness.faults.busyRetryAfterMs = 3_000;
    expect(await read(0)).toEqual({ kind: "log-busy", retryAfterMs: 3_000 });
  });

  it("reads nothing while away, and all of it afterwards", async () => {
    await append("a");
    harness.faults.isUnavailable = true;
    expect(await read(0)).toMatchObject({ kind: "log-away" });
    harness.faults.isUnavailable = false;
    expect(await read(0)).toMatchObject({ records: ["0:a"] });
  });

  it("names the oldest record that is left", async () => {
    await append("a", "b", "c");
    harness.store.expireBefore(STREAM, 2);
    expect(await read(1)).toEqual({ kind: "records-expired", oldestOffset: 2 });
    expect(await read(2)).toMatchObject({ records: ["2:c"], oldestOffset: 2 });
    harness.store.expireBefore(STREAM, 3);
    expect(await read(2)).toEqual({ kind: "records-expired", oldestOffset: 3 });
    expect(await append("d")).toEqual({ ok: true, value: 3 });
  });

  it("never skips a record that a read left out", async () => {
    await append("a", "b", "c");
    harness.faults.readsWithGap = 1;
    expect(await read(0)).toMatchObject({ records: ["0:a"], nextOffset: 1 });
    expect(await read(1)).toMatchObject({ records: ["1:b", "2:c"] });
  });

  it("gives a record once that a read repeated", async () => {
    await append("a", "b");
    harness.faults.readsWithDuplicate = 1;
    expect(await read(0)).toMatchObject({
      records: ["0:a", "1:b"],
      nextOffset: 2,
    });
  });

  it("ends a waiting read with the next record", async () => {
    const reading = harness.log.read(STREAM, { fromOffset: 0, waitMs: 30_000 });
    await append("a");
    const page = await harness.run(() => reading);
    expect(page.ok && decode(page.value)).toEqual(["0:a"]);
  });

  it("ends a waiting read without a record after the wait", async () => {
    const page = await harness.run(() =>
      harness.log.read(STREAM, { fromOffset: 0, waitMs: 50 })
    );
    expect(page.ok && decode(page.value)).toEqual([]);
  });
});

describe("HTTP client", () => {
  it("knows that nothing was sent if no connection is made", async () => {
    const standin = new PlatformStandin({ clock: new FakeClock() });
    const origin = await standin.start();
    await standin.stop();
    const log = new HttpLogService(origin);
    const result = await log.append(STREAM, encode("a"));
    expect(result).toMatchObject({ ok: false, error: { kind: "log-away" } });
    await log.close();
  });

  it.each([
    { status: 200, body: "", kind: "append-outcome-unknown" },
    { status: 200, body: "{}", kind: "append-outcome-unknown" },
    {
      status: 200,
      body: '{"firstOffset":-1}',
      kind: "append-outcome-unknown",
    },
    { status: 302, body: "", kind: "append-outcome-unknown" },
    { status: 400, body: "{}", kind: "log-away" },
    { status: 500, body: "oops", kind: "append-outcome-unknown" },
    { status: 504, body: "oops", kind: "append-outcome-unknown" },
  ])("takes $status $body for $kind", async ({ status, body, kind }) => {
    const server = createServer((_request, response) => {
      response.writeHead(status);
      response.end(body);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as AddressInfo;
    const log = new HttpLogService(`http://127.0.0.1:${port}`);
    const appended = await log.append(STREAM, encode("a"));
    expect(appended).toMatchObject({ ok: false, error: { kind } });
    const read = await log.read(STREAM, { fromOffset: 0 });
    expect(read).toMatchObject({ ok: false, error: { kind: "log-away" } });
    await log.close();
    server.close();
  });
});
