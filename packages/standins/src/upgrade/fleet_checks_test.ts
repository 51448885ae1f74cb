import {
  findLateKeys,
  findSentToLeaving,
  findTeamExcess,
  findUnquarantined,
  findUnusedServers,
  type VmProbe,
} from "./fleet_checks.ts";

const PROBE: VmProbe = {
  vm: "vm-1",
  build: "e3ec2a7",
  atMs: 0,
  status: 200,
  body: "",
};

// Guards against upgrades that pass because a check no longer detects its
// violation.
describe("findTeamExcess", () => {
  it.each([
    { name: "within it", count: 86, expected: 0 },
    { name: "beyond it", count: 87, expected: 1 },
  ])("counts a team $name: $expected", ({ count, expected }) => {
    const ranAtMs = Array.from({ length: count }, (_, index) => index * 50);
    const limit = { ratePerSecond: 10, burst: 10 };
    expect(findTeamExcess({ ...limit, ranAtMs: [...ranAtMs, 9_999] }))
      .toHaveLength(expected);
  });
});

describe("findLateKeys", () => {
  it.each([
    { name: "withdrawn, in time", withdrawn: [200, 5_000], fresh: [], late: 0 },
    { name: "withdrawn, late", withdrawn: [200, 5_001], fresh: [], late: 1 },
    { name: "withdrawn, refused", withdrawn: [401, 9_000], fresh: [], late: 0 },
    { name: "new, not yet", withdrawn: [], fresh: [401, 2_000], late: 0 },
    { name: "new, late", withdrawn: [], fresh: [401, 2_001], late: 1 },
    { name: "new, no answer", withdrawn: [], fresh: [0, 9_000], late: 0 },
  ])("counts a key that is $name: $late", ({ withdrawn, fresh, late }) => {
    const [withdrawnKey, newKey] = [withdrawn, fresh].map(([status, atMs]) =>
      status === undefined || atMs === undefined
        ? []
        : [{ ...PROBE, status, atMs: 100 + atMs }]
    );
    expect(findLateKeys({
      publishedAtMs: 100,
      withdrawnKey: withdrawnKey ?? [],
      newKey: newKey ?? [],
    })).toHaveLength(late);
  });
});

describe("findSentToLeaving", () => {
  const none = { bySayingSo: [], byAnnouncement: [] };
  it.each([
    { name: "in time", seen: { byAnnouncement: [2_000] }, late: 0 },
    { name: "late", seen: { byAnnouncement: [2_001] }, late: 1 },
    {
      name: "in time after its word",
      seen: { bySayingSo: [0, 2_020] },
      late: 0,
    },
    { name: "late after its word", seen: { bySayingSo: [0, 2_021] }, late: 1 },
  ])("counts requests that come $name: $late", ({ seen, late }) => {
    const { bySayingSo, byAnnouncement } = { ...none, ...seen };
    const convertTimes = (times: readonly number[]): readonly {
      readonly vm: string;
      readonly atMs: number;
    }[] => times.map((atMs) => ({ vm: "vm-1", atMs }));
    expect(findSentToLeaving({
      bySayingSo: convertTimes(bySayingSo),
      byAnnouncement: convertTimes(byAnnouncement),
      announcedAtMs: 0,
      processingMs: 20,
    })).toHaveLength(late);
  });
});

describe("findUnquarantined", () => {
  it("names VMs that pass a deadly request on, and their builds", () => {
    const quarantined = { ...PROBE, status: 503, body: "quarantined" };
    expect(findUnquarantined([quarantined, { ...PROBE, status: 502 }]))
      .toEqual([
        "vm-1 (e3ec2a7) answered 502 to a request that crashes servers",
      ]);
  });
});

describe("findUnusedServers", () => {
  it.each([
    { name: "in use", atMs: 1_500, unused: 0 },
    { name: "in use before only", atMs: 900, unused: 1 },
    { name: "in use after the load only", atMs: 4_001, unused: 1 },
  ])("counts servers that are $name: $unused", ({ atMs, unused }) => {
    expect(findUnusedServers({
      servers: ["i-0"],
      runs: [{ server: "i-0", atMs }, { server: "i-1", atMs: 2_000 }],
      fromMs: 1_000,
      toMs: 4_000,
    })).toHaveLength(unused);
  });
});
