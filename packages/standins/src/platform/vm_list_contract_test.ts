import { FakeClock } from "@limpetford/core/time/fake_clock";
import { toId } from "@limpetford/domain/ids";
import { FakeVmList } from "@limpetford/platform/fakes/fake_vm_list";
import type { MemoryVmList } from "@limpetford/platform/fakes/memory_vm_list";
import { HttpVmList } from "@limpetford/platform/http/http_vm_list";
import type {
  VmList,
  VmListEntry,
  VmListState,
} from "@limpetford/platform/vm_list";

import { PlatformStandin } from "./platform_standin.ts";

// The fake VM list and the HTTP client with the stand-in must behave alike:
// tests of the fleet use the fake, and production uses the HTTP client.
interface Harness {
  readonly list: VmList;
  readonly rows: MemoryVmList;
  readonly clock: FakeClock;
  setUnavailable(isUnavailable: boolean): void;
  close(): Promise<void>;
}

function makeFakeHarness(): Promise<Harness> {
  const clock = new FakeClock();
  const list = new FakeVmList({ clock });
  return Promise.resolve({
    list,
    rows: list.rows,
    clock,
    setUnavailable: (isUnavailable) => {
      list.isUnavailable = isUnavailable;
    },
    close: () => Promise.resolve(),
  });
}

async function makeHttpHarness(): Promise<Harness> {
  const clock = new FakeClock();
  const standin = new PlatformStandin({ clock });
  const list = new HttpVmList(await standin.start());
  return {
    list,
    rows: standin.vmRows,
    clock,
    setUnavailable: (isUnavailable) => {
      standin.isVmListUnavailable = isUnavailable;
    },
    close: async () => {
      await list.close();
      await standin.stop();
    },
  };
}

function makeEntry(
  name: string,
  startedAtMs: number,
  state: VmListState = "live",
): VmListEntry {
  return {
    vm: {
      incarnation: { vm: toId(name), startedAtMs },
      zone: toId("zone-a"),
      region: toId("region-a"),
      callerAddress: { host: "127.0.0.1", port: 8_080 },
      peerAddress: { host: "127.0.0.1", port: 8_090 },
      weight: 1,
    },
    state,
  };
}

describe.each([
  ["fake", makeFakeHarness],
  ["HTTP client and stand-in", makeHttpHarness],
])("VM list: %s", (_name, makeHarness) => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await makeHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  async function readNames(): Promise<readonly string[]> {
    const result = await harness.list.read();
    expect(result.ok).toBe(true);
    return result.ok
      ? result.value.map(({ vm, state }) =>
        `${vm.incarnation.vm}@${vm.incarnation.startedAtMs} ${state}`
      )
      : [];
  }

  it("returns registered entries unchanged", async () => {
    const entry = makeEntry("vm-1", 5);
    expect(await harness.list.register(entry)).toEqual({
      ok: true,
      value: undefined,
    });
    expect(await harness.list.read()).toEqual({ ok: true, value: [entry] });
  });

  it.each([
    {
      case: "a renewal",
      rows: [makeEntry("vm-1", 5), makeEntry("vm-1", 5, "leaving")],
      seen: ["vm-1@5 leaving"],
    },
    {
      case: "a new incarnation",
      rows: [makeEntry("vm-1", 5), makeEntry("vm-1", 6)],
      seen: ["vm-1@6 live"],
    },
    {
      case: "a delayed registration of an older incarnation",
      rows: [makeEntry("vm-1", 6), makeEntry("vm-1", 5, "leaving")],
      seen: ["vm-1@6 live"],
    },
    {
      case: "several VMs in any order",
      rows: [makeEntry("vm-2", 1), makeEntry("vm-1", 1)],
      seen: ["vm-1@1 live", "vm-2@1 live"],
    },
  ])("keeps one entry per VM after $case", async ({ rows, seen }) => {
    for (const row of rows) {
      await harness.list.register(row);
    }
    expect(await readNames()).toEqual(seen);
  });

  it("makes changes visible after the propagation delay", async () => {
    harness.rows.lagMs = 5_000;
    await harness.list.register(makeEntry("vm-1", 1));
    harness.clock.advance(4_999);
    expect(await readNames()).toEqual([]);
    harness.clock.advance(1);
    expect(await readNames()).toEqual(["vm-1@1 live"]);
    harness.rows.drop(toId("vm-1"), harness.clock.readMonotonicMs());
    harness.clock.advance(4_999);
    expect(await readNames()).toEqual(["vm-1@1 live"]);
    harness.clock.advance(1);
    expect(await readNames()).toEqual([]);
  });

  it("ignores registrations of a dropped incarnation", async () => {
    await harness.list.register(makeEntry("vm-1", 1));
    harness.rows.drop(toId("vm-1"), 0);
    await harness.list.register(makeEntry("vm-1", 1));
    expect(await readNames()).toEqual([]);
    await harness.list.register(makeEntry("vm-1", 2));
    expect(await readNames()).toEqual(["vm-1@2 live"]);
  });

  it("reports an outage", async () => {
    harness.setUnavailable(true);
    const unavailable = { ok: false, error: { kind: "list-away" } };
    expect(await harness.list.read()).toMatchObject(unavailable);
    expect(await harness.list.register(makeEntry("vm-1", 1)))
      .toMatchObject(unavailable);
    harness.setUnavailable(false);
    expect(await readNames()).toEqual([]);
  });
});
