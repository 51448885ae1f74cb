import { type ServiceId, toId, type VmId } from "@limpetford/domain/ids";

import {
  REACH,
  type Reach,
  type VmReachReport,
  VmReachTable,
} from "./vm_reach_table.ts";

const VM = toId<VmId>("vm-1");
const OTHER_VM = toId<VmId>("vm-2");
const SERVICE = toId<ServiceId>("s");
const OTHER = toId<ServiceId>("t");
const NOW_MS = 10_000;

interface ExpectedReach {
  /** For all services. */
  readonly all: Reach;
  /** For the one service. */
  readonly service: Reach;
}

function buildReport(changes: Partial<VmReachReport> = {}): VmReachReport {
  return {
    lostServices: [],
    reachedAtMs: NOW_MS,
    knownAtMs: NOW_MS,
    ...changes,
  };
}

describe("VmReachTable", () => {
  it.each<[string, VmReachReport | undefined, ExpectedReach]>([
    ["no report", undefined, { all: REACH.unknown, service: REACH.unknown }],
    ["all reached", buildReport(), {
      all: REACH.confirmed,
      service: REACH.confirmed,
    }],
    [
      "reached too long ago",
      buildReport({ reachedAtMs: NOW_MS - 3_001 }),
      { all: REACH.unknown, service: REACH.unknown },
    ],
    [
      "never reached",
      buildReport({ reachedAtMs: -Infinity }),
      { all: REACH.unknown, service: REACH.unknown },
    ],
    [
      "another service lost",
      buildReport({ lostServices: [OTHER] }),
      { all: REACH.lost, service: REACH.confirmed },
    ],
    [
      "the service lost",
      buildReport({ lostServices: [SERVICE] }),
      { all: REACH.lost, service: REACH.lost },
    ],
    [
      "an outdated report",
      buildReport({ lostServices: [SERVICE], knownAtMs: NOW_MS - 3_001 }),
      { all: REACH.unknown, service: REACH.unknown },
    ],
  ])("finds %s", (_name, report, expected) => {
    const table = new VmReachTable();
    if (report !== undefined) {
      table.record(VM, report);
    }
    expect(table.find(VM, NOW_MS)).toBe(expected.all);
    expect(table.findForService(VM, SERVICE, NOW_MS)).toBe(expected.service);
    expect(table.hasLost(NOW_MS)).toBe(expected.all === REACH.lost);
  });

  // When the servers go away for all VMs, one says so first. Callers are not to be
  // led to those that have not noticed yet.
  it.each([
    ["before another lost them", -1, REACH.unknown],
    ["after another lost them", 1, REACH.confirmed],
  ])("finds a VM that reached servers %s", (_name, afterMs, expected) => {
    const table = new VmReachTable();
    const lost = { lostServices: [SERVICE], reachedAtMs: NOW_MS - 800 };
    table.record(OTHER_VM, buildReport({ ...lost, knownAtMs: NOW_MS - 500 }));
    table.record(OTHER_VM, buildReport({ ...lost, knownAtMs: NOW_MS }));
    table.record(VM, buildReport({ reachedAtMs: NOW_MS - 500 + afterMs }));
    expect(table.find(VM, NOW_MS)).toBe(expected);
    table.record(OTHER_VM, buildReport());
    expect(table.find(VM, NOW_MS)).toBe(REACH.confirmed);
  });

  it("believes the VM itself, though its report seems older", () => {
    const table = new VmReachTable();
    table.record(VM, buildReport());
    table.update(
      VM,
      buildReport({ lostServices: [SERVICE], knownAtMs: NOW_MS - 400 }),
    );
    expect(table.find(VM, NOW_MS)).toBe(REACH.lost);
  });

  it("keeps the later of two reports, whichever comes last", () => {
    const table = new VmReachTable();
    table.record(VM, buildReport({ lostServices: [SERVICE] }));
    table.record(VM, buildReport({ knownAtMs: NOW_MS - 100 }));
    expect(table.find(VM, NOW_MS)).toBe(REACH.lost);
    table.record(VM, buildReport({ knownAtMs: NOW_MS + 1 }));
    expect(table.find(VM, NOW_MS + 1)).toBe(REACH.confirmed);
  });
});
