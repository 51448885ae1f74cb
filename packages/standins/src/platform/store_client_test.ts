import { StoreClient } from "@limpetford/platform/store/store_client";
import { formatStoreError } from "@limpetford/platform/store/store_error";
import { TOPIC } from "@limpetford/platform/store/wire_names";

import { STORE_FAULT, StoreStandin } from "./store_standin.ts";

// Guards against lost, repeated or wrongly reported records when the store
// paginates, expires records, fails or loses a response.
describe("StoreClient", () => {
  let store: StoreStandin;
  let client: StoreClient;
  beforeEach(async () => {
    store = new StoreStandin();
    client = new StoreClient(await store.start());
  });
  afterEach(async () => {
    await client.close();
    await store.stop();
  });

  it("reads a snapshot of several pages and appends records", async () => {
    for (let index = 0; index < 520; index++) {
      store.put(TOPIC.servers, `i-${index}`, { index });
    }
    const snapshot = await client.fetchSnapshot(TOPIC.servers);
    expect(snapshot.ok && snapshot.value.records.length).toBe(520);
    expect(snapshot.ok && snapshot.value.end).toEqual({ era: 0, offset: 520 });
    expect(await client.appendRecord(TOPIC.vms, "a", Buffer.from("1")))
      .toEqual({ ok: true, value: undefined });
    expect(store.listKeys(TOPIC.vms)).toEqual(["a"]);
  });

  it("reads records in order and long-polls for the next one", async () => {
    store.put(TOPIC.operators, "config", { version: 1 });
    store.put(TOPIC.operators, "config", undefined);
    const page = await client.readLog(TOPIC.operators, {
      from: { era: 0, offset: 0 },
      waitMs: 0,
    });
    expect(
      page.ok && page.value.records.map(({ key, value, offset }) => ({
        key,
        offset,
        hasValue: value !== undefined,
      })),
    ).toEqual([
      { key: "config", offset: 0, hasValue: true },
      { key: "config", offset: 1, hasValue: false },
    ]);
    const waiting = client.readLog(TOPIC.operators, {
      from: { era: 0, offset: 2 },
      waitMs: 900,
    });
    setTimeout(() => {
      store.put(TOPIC.operators, "config", { version: 2 });
    }, 50);
    const next = await waiting;
    expect(next.ok && next.value.next.offset).toBe(3);
  });

  it("completes a long poll without records after the wait", async () => {
    const page = await client.readLog(TOPIC.operators, {
      from: { era: 0, offset: 0 },
      waitMs: 30,
    });
    expect(page).toEqual({
      ok: true,
      value: {
        records: [],
        next: { era: 0, offset: 0 },
        end: { era: 0, offset: 0 },
      },
    });
  });

  it("reports that records have expired", async () => {
    store.put(TOPIC.operators, "config", { version: 1 });
    store.dropHistory(TOPIC.operators);
    const page = await client.readLog(TOPIC.operators, {
      from: { era: 0, offset: 0 },
      waitMs: 0,
    });
    expect(page).toEqual({
      ok: false,
      error: { kind: "expired", firstOffset: 1 },
    });
  });

  const faults = [
    { fault: STORE_FAULT.busy, kind: "not-done" },
    { fault: STORE_FAULT.reset, kind: "no-answer" },
    { fault: STORE_FAULT.silent, kind: "no-answer" },
    { fault: STORE_FAULT.answerLost, kind: "no-answer" },
  ] as const;
  it.each(faults)(
    "reports an append during fault $fault as $kind",
    async (row) => {
      store.fault = row.fault;
      const written = await client.appendRecord(
        TOPIC.vms,
        "a",
        Buffer.from("1"),
      );
      expect(written.ok ? "ok" : written.error.kind).toBe(row.kind);
      expect(written.ok ? "" : formatStoreError(written.error))
        .toContain(row.kind);
      store.fault = STORE_FAULT.none;
      expect((await client.fetchSnapshot(TOPIC.vms)).ok).toBe(true);
    },
  );

  it("reports a refused connection as not done", async () => {
    const unreachable = new StoreClient({ host: "127.0.0.1", port: 9 });
    const written = await unreachable.appendRecord(
      TOPIC.vms,
      "a",
      Buffer.from("1"),
    );
    expect(written.ok ? "ok" : written.error.kind).toBe("not-done");
    await unreachable.close();
  });

  it("reports that the store has returned from an older copy", async () => {
    store.put(TOPIC.operators, "config", { version: 1 });
    const copy = store.buildCopy();
    store.put(TOPIC.operators, "config", { version: 2 });
    const from = { era: 0, offset: 2 };
    const waiting = client.readLog(TOPIC.operators, { from, waitMs: 900 });
    setTimeout(() => {
      store.restore(copy);
    }, 50);
    const expected = { ok: false, error: { kind: "era-changed", era: 1 } };
    expect(await waiting).toEqual(expected);
    expect(client.era).toBe(1);
    const snapshot = await client.fetchSnapshot(TOPIC.operators);
    expect(snapshot.ok && snapshot.value.end).toEqual({ era: 1, offset: 1 });
    // Offsets are given out again, so a read of an earlier era gets other records.
    store.put(TOPIC.operators, "config", { version: 3 });
    store.put(TOPIC.operators, "config", { version: 4 });
    expect(await client.readLog(TOPIC.operators, { from, waitMs: 0 }))
      .toEqual(expected);
  });

  it("reports an offset beyond the end as expired", async () => {
    const from = { era: 0, offset: 7 };
    const part = await client.readLog(TOPIC.operators, { from, waitMs: 0 });
    expect(part).toMatchObject({ ok: false, error: { kind: "expired" } });
  });

  it("joins no pages of two eras", async () => {
    for (let index = 0; index < 520; index++) {
      store.put(TOPIC.servers, `i-${index}`, { index });
    }
    const copy = store.buildCopy();
    store.answerListener = (count): void => {
      if (count === 1) {
        store.restore(copy);
      }
    };
    expect(await client.fetchSnapshot(TOPIC.servers)).toEqual({
      ok: false,
      error: { kind: "era-changed", era: 1 },
    });
  });

  it.each(["x", "-1", "1.5", ""])("refuses the era %p", async (era) => {
    store.eraHeader = era;
    expect(await client.fetchSnapshot(TOPIC.operators)).toMatchObject({
      ok: false,
      error: { kind: "malformed" },
    });
  });
});
