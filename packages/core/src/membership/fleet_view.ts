/** Read-only view of the fleet's VMs as known to this VM. */

import type { Vm, VmIncarnation } from "@limpetford/domain/vm";

/**
 * The VMs of the fleet as this VM knows them.
 */
export abstract class FleetView {
  /**
   * Reads this VM's own record.
   *
   * @returns name, zone, addresses and weight of this VM
   */
  abstract readSelf(): Vm;

  /**
   * Lists the VMs that may be given work: neither leaving nor dropped.
   *
   * @returns VMs sorted by name, this one included unless it is leaving
   */
  abstract listMembers(): readonly Vm[];

  /**
   * Finds a VM of the fleet, leaving ones included.
   *
   * @param incarnation - the VM, identified by one run of its process
   * @returns the VM's record; undefined if it is unknown or dropped
   */
  abstract findVm(incarnation: VmIncarnation): Vm | undefined;

  /**
   * Checks whether a VM is suspected to have failed, because neither this VM
   * nor others have received messages from it for the time-out. A suspected VM
   * may still be alive.
   *
   * @param incarnation - the VM, identified by one run of its process
   * @returns true if suspected
   */
  abstract isSuspected(incarnation: VmIncarnation): boolean;

  /**
   * Checks whether a VM has disappeared from the platform's VM list, which
   * proves that its process has ended.
   *
   * @param incarnation - the VM, identified by one run of its process
   * @returns true if it was listed before and no longer is
   */
  abstract isDropped(incarnation: VmIncarnation): boolean;
}
