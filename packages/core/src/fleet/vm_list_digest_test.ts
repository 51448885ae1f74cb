import {
  type RegionId,
  toId,
  type VmId,
  type ZoneId,
} from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

import { computeVmListDigest } from "./vm_list_digest.ts";

function buildVm(id: string, startedAtMs = 1): Vm {
  return {
    incarnation: { vm: toId<VmId>(id), startedAtMs },
    zone: toId<ZoneId>("z"),
    region: toId<RegionId>("r"),
    callerAddress: { host: id, port: 1 },
    peerAddress: { host: id, port: 2 },
    weight: 1,
  };
}

describe("computeVmListDigest", () => {
  const [a, b, c] = [buildVm("a"), buildVm("b"), buildVm("c")];

  it.each([
    { what: "other VMs, as many", other: [a, c], isEqual: false },
    {
      what: "a VM that has restarted",
      other: [a, buildVm("b", 2)],
      isEqual: true,
    },
    { what: "one VM more", other: [a, b, c], isEqual: false },
    { what: "another order", other: [b, a], isEqual: true },
  ])("tells $what", ({ other, isEqual }) => {
    expect(computeVmListDigest([a, b]) === computeVmListDigest(other))
      .toBe(isEqual);
  });
});
