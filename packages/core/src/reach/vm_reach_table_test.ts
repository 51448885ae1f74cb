import { type ServiceId, toId, type VmId } from "@limpetford/domain/ids";

import { REACH, type VmReachReport, VmReachTable } from "./vm_reach_table.ts";

const VM = toId<VmId>("vm-1");
const SERVICE = toId<ServiceId>("s");
const OTHER = toId<ServiceId>("t");
const NOW_MS = 10_000;

function buildReport(changes: Partial<VmReachReport> = {}): VmReachReport {
  return {
    lostServices: [],
    reachedAtMs: NOW_MS,
    knownAtMs: NOW_MS,
    ...changes,
  };
}

describe("VmReachTable", () => {
  it.each<[string, VmReachReport | undefined, string, string]>([
    ["no report", undefined, REACH.unknown, REACH.unknown],
    ["all reached", buildReport(), REACH.confirmed, REACH.confirmed],
    [
      "reached too long ago",
      buildReport({ reachedAtMs: NOW_MS - 3_001 }),
      REACH.unknown,
      REACH.unknown,
    ],
    [
      "never reached",
      buildReport({ reachedAtMs: -Infinity }),
      REACH.unknown,
      REACH.unknown,
    ],
    [
      "another service lost",
      buildReport({ lostServices: [OTHER] }),
      REACH.lost,
      REACH.confirmed,
    ],
    [
      "the service lost",
      buildReport({ lostServices: [SERVICE] }),
      REACH.lost,
      REACH.lost,
    ],
    [
      "an outdated report",
      buildReport({ lostServices: [SERVICE], knownAtMs: NOW_MS - 3_001 }),
      REACH.unknown,
      REACH.unknown,
    ],
  ])("finds %s", (_name, report, expected, expectedForService) => {
    const table = new VmReachTable();
    if (report !== undefined) {
      table.record(VM, report);
    }
    expect(table.find(VM, NOW_MS)).toBe(expected);
    expect(table.findForService(VM, SERVICE, NOW_MS)).toBe(expectedForService);
    expect(table.hasLost(NOW_MS)).toBe(expected === REACH.lost);
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
