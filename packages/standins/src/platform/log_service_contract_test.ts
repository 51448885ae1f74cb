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
const FAULT_DELAY_MS = 1_000;
const SHORT_TIMEOUT_MS = 200;
const MAX_POLLS = 400;

// The fake log service and the HTTP client with the stand-in must behave alike:
// tests of the fleet use the fake, and production uses the HTTP client.
interface Harness {
  readonly log: LogService;
  /** A client whose appends time out after `SHORT_TIMEOUT_MS`. */
  readonly shortTimeoutLog: LogService;
  readonly store: MemoryLogStore;
  readonly faults: LogFaults;
  /** Runs a call to completion, advancing a fake clock if there is one. */
  run<T>(call: () => Promise<T>): Promise<T>;
  /** Waits until a delayed append has taken effect. */
  settle(isDone: () => boolean): Promise<void>;
  close(): Promise<void>;
}

function makeFakeHarness(): Promise<Harness> {
  const clock = new FakeClock();
  const log = new FakeLogService({ clock, timeoutMs: SHORT_TIMEOUT_MS });
  return Promise.resolve({
    log,
    shortTimeoutLog: log,
    store: log.store,
    faults: log.faults,
    run: async <T>(call: () => Promise<T>) => {
      const promise = call();
      await clock.advanceAndSettle(FAULT_DELAY_MS / 2);
      return await promise;
    },
    settle: async () => {
      await clock.advanceAndSettle(2 * FAULT_DELAY_MS);
    },
    close: () => Promise.resolve(),
  });
}

async function makeHttpHarness(): Promise<Harness> {
  const clock = new FakeClock();
  const standin = new PlatformStandin({ clock });
  const origin = await standin.start();
  const log = new HttpLogService(origin);
  const shortTimeoutLog = new HttpLogService(origin, {
    appendTimeoutMs: SHORT_TIMEOUT_MS,
  });
  return {
    log,
    shortTimeoutLog,
    store: standin.store,
    faults: standin.logFaults,
    run: async (call) => await call(),
    settle: async (isDone) => {
      for (let poll = 0; poll < MAX_POLLS && !isDone(); poll++) {
        await wait(10);
      }
    },
    close: async () => {
      await log.close();
      await shortTimeoutLog.close();
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

  it("assigns increasing offsets and appends batches contiguously", async () => {
    expect(await append("a", "b")).toEqual({ ok: true, value: 0 });
    expect(await append("c")).toEqual({ ok: true, value: 2 });
    expect(await read(0)).toEqual({
      records: ["0:a", "1:b", "2:c"],
      nextOffset: 3,
      oldestOffset: 0,
      endOffset: 3,
    });
  });

  it("isolates streams and preserves payload bytes", async () => {
    const bytes = Uint8Array.from({ length: 256 }, (_, index) => index);
    await harness.run(() => harness.log.append("other", [bytes]));
    const page = await harness.run(() =>
      harness.log.read("other", { fromOffset: 0 })
    );
    expect(page.ok && page.value.records[0]?.payload).toEqual(bytes);
    expect(await read(0)).toMatchObject({ records: [], endOffset: 0 });
  });

  it("reads an empty page at the end, and at most the requested number", async () => {
    await append("a", "b", "c");
    expect(await read(3)).toMatchObject({ records: [], nextOffset: 3 });
    expect(await read(0, 2)).toMatchObject({
      records: ["0:a", "1:b"],
      nextOffset: 2,
    });
  });

  it.each([
    {
      fault: "the response is lost after the append took effect",
      set: (faults: LogFaults) => {
        faults.appendResponsesToLose = 1;
      },
      kind: "append-outcome-unknown",
      after: ["0:a"],
    },
    {
      fault: "the request is lost",
      set: (faults: LogFaults) => {
        faults.appendsToLose = 1;
      },
      kind: "append-outcome-unknown",
      after: [],
    },
    {
      fault: "the append takes effect after the timeout",
      set: (faults: LogFaults) => {
        faults.delayBeforeEffectMs = FAULT_DELAY_MS;
      },
      kind: "append-outcome-unknown",
      after: ["0:a"],
    },
    {
      fault: "the response arrives after the timeout",
      set: (faults: LogFaults) => {
        faults.delayAfterEffectMs = FAULT_DELAY_MS;
      },
      kind: "append-outcome-unknown",
      after: ["0:a"],
    },
    {
      fault: "the service is unavailable",
      set: (faults: LogFaults) => {
        faults.isUnavailable = true;
      },
      kind: "log-away",
      after: [],
    },
    {
      fault: "the service is throttling",
      set: (faults: LogFaults) => {
        faults.busyRetryAfterMs = 3_000;
      },
      kind: "log-busy",
      after: [],
    },
  ])(
    "reports the outcome of an append when $fault",
    async ({ set, kind, after }) => {
      set(harness.faults);
      const { shortTimeoutLog } = harness;
      const isSlow = harness.faults.delayBeforeEffectMs > 0 ||
        harness.faults.delayAfterEffectMs > 0;
      const result = isSlow
        ? await harness.run(() => shortTimeoutLog.append(STREAM, encode("a")))
        : await append("a");
      expect(result).toMatchObject({ ok: false, error: { kind } });
      await harness.settle(() =>
        readStore(harness.store).length >= after.length
      );
      expect(readStore(harness.store)).toEqual(after);
      harness.faults.clear();
      expect(await append("b")).toEqual({ ok: true, value: after.length });
    },
  );

  it("returns the retry delay while throttled", async () => {
    harness.faults.busyRetryAfterMs = 3_000;
    expect(await read(0)).toEqual({ kind: "log-busy", retryAfterMs: 3_000 });
  });

  it("fails reads during an outage and serves all records afterwards", async () => {
    await append("a");
    harness.faults.isUnavailable = true;
    expect(await read(0)).toMatchObject({ kind: "log-away" });
    harness.faults.isUnavailable = false;
    expect(await read(0)).toMatchObject({ records: ["0:a"] });
  });

  it("returns the oldest offset left when records have expired", async () => {
    await append("a", "b", "c");
    harness.store.expireBefore(STREAM, 2);
    expect(await read(1)).toEqual({ kind: "records-expired", oldestOffset: 2 });
    expect(await read(2)).toMatchObject({ records: ["2:c"], oldestOffset: 2 });
    harness.store.expireBefore(STREAM, 3);
    expect(await read(2)).toEqual({ kind: "records-expired", oldestOffset: 3 });
    expect(await append("d")).toEqual({ ok: true, value: 3 });
  });

  it("does not skip a record that a read omitted", async () => {
    await append("a", "b", "c");
    harness.faults.readsWithGap = 1;
    expect(await read(0)).toMatchObject({ records: ["0:a"], nextOffset: 1 });
    expect(await read(1)).toMatchObject({ records: ["1:b", "2:c"] });
  });

  it("drops a duplicate record within a page", async () => {
    await append("a", "b");
    harness.faults.readsWithDuplicate = 1;
    expect(await read(0)).toMatchObject({
      records: ["0:a", "1:b"],
      nextOffset: 2,
    });
  });

  it("completes a long poll when a record is appended", async () => {
    const reading = harness.log.read(STREAM, { fromOffset: 0, waitMs: 30_000 });
    await append("a");
    const page = await harness.run(() => reading);
    expect(page.ok && decode(page.value)).toEqual(["0:a"]);
  });

  it("completes a long poll with an empty page after the wait", async () => {
    const page = await harness.run(() =>
      harness.log.read(STREAM, { fromOffset: 0, waitMs: 50 })
    );
    expect(page.ok && decode(page.value)).toEqual([]);
  });
});

describe("HTTP client", () => {
  it("reports a refused connection as not appended", async () => {
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
  ])(
    "maps status $status with body '$body' to $kind",
    async ({ status, body, kind }) => {
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
    },
  );
});
