/** Finds the VMs of a fleet that a test cannot do without. */

import type { FleetProcesses } from "./fleet_processes.ts";
import type { VmProcessHandle } from "./vm_process_handle.ts";

/**
 * Finds the first VM that meets a condition.
 *
 * @param fleet - a started fleet
 * @param isWanted - condition; any VM meets it by default
 * @returns the VM
 * @throws Error if there is none
 */
export function getVm(
  fleet: FleetProcesses,
  isWanted: (vm: VmProcessHandle) => boolean = (): boolean => true,
): VmProcessHandle {
  const found = fleet.vms.find(isWanted);
  if (found === undefined) {
    throw new Error("the fleet has no such VM");
  }
  return found;
}

/**
 * Waits for the leader of a zone. Right after a start the VMs may not agree on one.
 *
 * @param fleet - a started fleet
 * @param zone - zone whose callers ask
 * @returns the leader
 * @throws Error if the zone has none for long
 */
export async function waitForLeader(
  fleet: FleetProcesses,
  zone: string,
): Promise<VmProcessHandle> {
  let leader: VmProcessHandle | undefined;
  await fleet.waitUntil(async () => {
    leader = await fleet.findLeader(zone);
    return leader !== undefined;
  });
  return getVm(fleet, (vm) => vm === leader);
}
