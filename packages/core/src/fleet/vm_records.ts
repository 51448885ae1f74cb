/** The known VMs of the fleet. */

import type { VmId } from "@limpetford/domain/ids";
import type { Vm } from "@limpetford/domain/vm";

import { computeVmListDigest } from "./vm_list_digest.ts";

/** Keeps the record of the latest known start of each VM. */
export class VmRecords {
  readonly #vms = new Map<VmId, Vm>();
  #digest: number | undefined;

  /**
   * Digest of the list of all records.
   *
   * @returns an unsigned integer of 32 bits; equal for equal lists
   */
  get digest(): number {
    this.#digest ??= computeVmListDigest(this.list());
    return this.#digest;
  }

  /**
   * Adds a VM's record, or replaces that of an earlier start.
   *
   * @param vm - the VM's record
   * @returns true if this start of the VM was unknown
   */
  apply(vm: Vm): boolean {
    const { vm: id, startedAtMs } = vm.incarnation;
    const known = this.#vms.get(id);
    if (known !== undefined && known.incarnation.startedAtMs >= startedAtMs) {
      return false;
    }
    this.put(vm);
    return true;
  }

  /**
   * Stores a record, whatever its start time.
   *
   * @param vm - the VM's record
   */
  put(vm: Vm): void {
    this.#vms.set(vm.incarnation.vm, vm);
    this.#digest = undefined;
  }

  /**
   * Finds a VM by its identifier.
   *
   * @param id - the VM's identifier
   * @returns its record; undefined if the VM is unknown
   */
  find(id: VmId): Vm | undefined {
    return this.#vms.get(id);
  }

  /**
   * Lists all records.
   *
   * @returns the records, in the order in which the VMs became known
   */
  list(): readonly Vm[] {
    return [...this.#vms.values()];
  }
}
