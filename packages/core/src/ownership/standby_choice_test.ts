import { toId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

import { chooseStandby } from "./standby_choice.ts";

function makeVm(name: string, zone: string, region: string): Vm {
  return {
    incarnation: { vm: toId(name), startedAtMs: 0 },
    zone: toId(zone),
    region: toId(region),
    callerAddress: { host: "127.0.0.1", port: 1 },
    peerAddress: { host: "127.0.0.1", port: 2 },
    weight: 1,
  };
}

const HOLDER = makeVm("holder", "a1", "a");
const SAME_ZONE = makeVm("same-zone", "a1", "a");
const OTHER_ZONE = makeVm("other-zone", "a2", "a");
const OTHER_REGION = makeVm("other-region", "b1", "b");

// Guards the order of preference: another zone of the holder's region, then the
// holder's zone, then another region, and never an unsuitable VM.
describe("chooseStandby", () => {
  const cases: readonly {
    readonly name: string;
    readonly candidates: readonly Vm[];
    readonly refused: readonly Vm[];
    readonly chosen: Vm | undefined;
  }[] = [
    {
      name: "prefers another zone of the holder's region",
      candidates: [SAME_ZONE, OTHER_REGION, HOLDER, OTHER_ZONE],
      refused: [],
      chosen: OTHER_ZONE,
    },
    {
      name: "prefers the holder's zone to another region",
      candidates: [OTHER_REGION, SAME_ZONE, HOLDER],
      refused: [],
      chosen: SAME_ZONE,
    },
    {
      name: "skips unsuitable VMs",
      candidates: [OTHER_ZONE, SAME_ZONE, OTHER_REGION],
      refused: [OTHER_ZONE, SAME_ZONE],
      chosen: OTHER_REGION,
    },
    {
      name: "never chooses the holder",
      candidates: [HOLDER],
      refused: [],
      chosen: undefined,
    },
  ];

  it.each(cases)("$name", ({ candidates, refused, chosen }) => {
    const isSuitable = (vm: Vm): boolean => !refused.includes(vm);
    expect(chooseStandby(HOLDER, candidates, isSuitable)).toBe(chosen);
  });
});
