import type { ObservedRequest } from "../process_soak/soak_callers.ts";
import {
  findLostRequests,
  findMalformedLines,
  findOwnEnds,
  type VmLife,
} from "./upgrade_checks.ts";

const UNANSWERED: ObservedRequest = {
  id: "a",
  target: "/book/1",
  isIdempotent: false,
  isCrashing: false,
  response: { status: 0, headers: {}, body: "" },
  responseRequestId: undefined,
  sentAtMs: 1_000,
  endedAtMs: 1_100,
  vm: "vm-1",
  hasGivenUp: false,
};
const RUN = { id: "a", target: "/book/1", atMs: 1_050, server: "i-1" };
const KILL = { vm: "vm-1", what: "kill", fromMs: 1_090, toMs: 2_000 };
const LIFE: VmLife = {
  vm: "vm-1",
  build: "e3ec2a7",
  fromMs: 0,
  toMs: 1_000,
  exitCode: 0,
  wasStopped: true,
  log: "started\n",
};

// Guards against upgrades that pass because a check no longer detects its
// violation.
describe("findLostRequests", () => {
  it.each([
    { name: "ran", sent: {}, runs: [RUN], disturbances: [], lost: 1 },
    { name: "did not run", sent: {}, runs: [], disturbances: [], lost: 0 },
    {
      name: "waited to the end",
      sent: { hasGivenUp: true },
      runs: [],
      disturbances: [],
      lost: 1,
    },
    {
      name: "was at a VM that was killed",
      sent: {},
      runs: [RUN],
      disturbances: [KILL],
      lost: 0,
    },
    {
      name: "ended before the VM was killed",
      sent: { endedAtMs: 1_080 },
      runs: [RUN],
      disturbances: [KILL],
      lost: 1,
    },
    {
      name: "was at another VM",
      sent: { vm: "vm-2" },
      runs: [RUN],
      disturbances: [KILL],
      lost: 1,
    },
    {
      name: "was answered",
      sent: { response: { status: 502, headers: {}, body: "" } },
      runs: [RUN],
      disturbances: [],
      lost: 0,
    },
  ])("counts a request that $name: $lost", ({ sent, lost, ...seen }) => {
    const observations = { ...seen, sent: [{ ...UNANSWERED, ...sent }] };
    expect(findLostRequests(observations)).toHaveLength(lost);
  });
});

describe("findOwnEnds", () => {
  it.each([
    { name: "stopped", life: {}, ends: 0 },
    { name: "killed", life: { exitCode: null }, ends: 0 },
    { name: "still there", life: { toMs: undefined }, ends: 0 },
    { name: "ended by itself", life: { wasStopped: false }, ends: 1 },
    { name: "failed as it stopped", life: { exitCode: 1 }, ends: 1 },
  ])("counts a process that $name: $ends", ({ life, ends }) => {
    expect(findOwnEnds([{ ...LIFE, ...life }])).toHaveLength(ends);
  });
});

describe("findMalformedLines", () => {
  it("finds the lines of each build", () => {
    const log = "started\ncause=malformed reply\n";
    expect(findMalformedLines([LIFE, { ...LIFE, build: "new", log }])).toEqual([
      "vm-1 (new) logged: cause=malformed reply",
    ]);
  });
});
