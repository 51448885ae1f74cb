/**
 * Runs membership and gossip at full fleet size. Guards against a withdrawn key
 * that some VM still accepts, against suspecting VMs that run, and against a zone
 * that keeps serving while it is partitioned from the log and the other zones.
 */

import { mayServe } from "@limpetford/core/configuration/serving_rule";
import { type KeyHash, toId } from "@limpetford/domain/ids";
import type { MonotoneFact } from "@limpetford/domain/monotone_fact";
import type { Vm } from "@limpetford/domain/vm";

import { MembershipFleet } from "./membership_fleet.ts";
import type { VirtualMember } from "./virtual_member.ts";

const SEED = 4;
const WARM_UP_MS = 10_000;
/** Targets for a withdrawal at the current and at the planned fleet size. */
const CURRENT_TARGET_MS = 5_000;
const PLANNED_TARGET_MS = 11_000;
const SUSPICION_LIMIT_MS = 10_000;

function makeWithdrawal(digit: number): MonotoneFact {
  const key = toId<KeyHash>(String(digit).repeat(64));
  return { kind: "key-withdrawn", key };
}

function assertPresent<T>(value: T | undefined): asserts value is T {
  expect(value).toBeDefined();
}

function isServing(member: VirtualMember): boolean {
  return mayServe({
    logAgeMs: member.protocol.computeLogAgeMs(),
    silenceMs: member.protocol.computeSilenceMs(),
    memberCount: member.membership.listMembers().length,
    reachableCount: member.membership.listReachable().length + 1,
  });
}

describe("MembershipFleet", () => {
  it.each([
    [44, CURRENT_TARGET_MS],
    [570, PLANNED_TARGET_MS],
  ])(
    "propagates a withdrawal to all of %d VMs within %d ms",
    (size, limitMs) => {
      const fleet = new MembershipFleet({ size, seed: SEED });
      fleet.time.advanceTo(WARM_UP_MS);
      expect(fleet.measurePropagationMs(makeWithdrawal(1), limitMs))
        .toBeDefined();
    },
  );

  it("propagates facts when a third of the messages is lost", () => {
    const fleet = new MembershipFleet({ size: 44, seed: SEED });
    fleet.time.advanceTo(WARM_UP_MS);
    let count = 0;
    fleet.links.isCut = () => (count++ % 3) === 0;
    const propagationMs = fleet.measurePropagationMs(
      makeWithdrawal(2),
      CURRENT_TARGET_MS,
    );
    expect(propagationMs).toBeDefined();
  });

  it("suspects a stopped VM at every VM until the VM list drops it", () => {
    const fleet = new MembershipFleet({ size: 44, seed: SEED });
    fleet.time.advanceTo(WARM_UP_MS);
    const [target, ...rest] = fleet.members;
    assertPresent(target);
    fleet.stopMember(target, 60_000);
    fleet.time.advanceTo(WARM_UP_MS + SUSPICION_LIMIT_MS);
    const { incarnation } = target.vm;
    expect(rest.every((m) => m.membership.isSuspected(incarnation))).toBe(true);
    expect(rest.some((m) => m.membership.isDropped(incarnation))).toBe(false);
    fleet.time.advanceTo(WARM_UP_MS + 65_000);
    expect(rest.every((m) => m.membership.isDropped(incarnation))).toBe(true);
    expect(target.membership.listMembers()).toHaveLength(44);
    expect(rest[0]?.membership.listMembers()).toHaveLength(43);
  });

  it("does not suspect a VM whose link to one VM is cut in one direction", () => {
    const fleet = new MembershipFleet({ size: 12, seed: SEED });
    fleet.time.advanceTo(WARM_UP_MS);
    const [a, b] = fleet.members;
    fleet.links.isCut = (from, to) => from === a?.vm && to === b?.vm;
    fleet.time.advanceTo(WARM_UP_MS + 30_000);
    const suspected = fleet.members.flatMap((m) =>
      m.membership.listSuspected().map((vm) => vm.incarnation.vm)
    );
    expect(suspected).toEqual([]);
  });

  it("refutes a false suspicion", () => {
    const fleet = new MembershipFleet({ size: 12, seed: SEED });
    fleet.time.advanceTo(WARM_UP_MS);
    const [a, b] = fleet.members;
    assertPresent(a);
    b?.facts.publish({
      kind: "vm-liveness",
      incarnation: a.vm.incarnation,
      counter: 0,
      isSuspected: true,
    });
    fleet.time.advanceTo(WARM_UP_MS + CURRENT_TARGET_MS);
    const suspected = fleet.members.flatMap((m) =>
      m.membership.listSuspected()
    );
    expect(suspected).toEqual([]);
  });

  it("stops serving in a partitioned zone and resumes when it is healed", () => {
    const fleet = new MembershipFleet({ size: 42, seed: SEED });
    fleet.time.advanceTo(WARM_UP_MS);
    const isPartitioned = (vm: Vm): boolean => vm.zone === "zone-0";
    fleet.links.isCut = (from, to) => isPartitioned(from) !== isPartitioned(to);
    fleet.time.advanceTo(WARM_UP_MS + 15_000);
    const serving = fleet.members.filter(isServing);
    expect(serving.filter((m) => isPartitioned(m.vm))).toEqual([]);
    expect(serving).toHaveLength(28);
    fleet.links.isCut = () => false;
    fleet.time.advanceTo(WARM_UP_MS + 35_000);
    expect(fleet.members.filter(isServing)).toHaveLength(42);
  });
});
