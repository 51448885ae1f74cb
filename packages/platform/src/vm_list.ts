/** Contract of the platform's registry of live and leaving VMs. */

import type { Result } from "@limpetford/domain/result";
import type { Vm } from "@limpetford/domain/vm";

/** States that the list reports for a VM. */
export const VM_LIST_STATE = { live: "live", leaving: "leaving" } as const;
/** State of a VM in the platform's list. */
export type VmListState = typeof VM_LIST_STATE[keyof typeof VM_LIST_STATE];

/** A VM and its state in the list. */
export interface VmListEntry {
  readonly vm: Vm;
  readonly state: VmListState;
}

/** Why a call to the list failed. */
export interface VmListError {
  readonly kind: "list-away";
  readonly cause: string;
}

/**
 * The platform's list of VMs. It is eventually consistent: a VM that it no
 * longer contains has stopped, but a VM that it contains may have stopped too.
 */
export abstract class VmList {
  /**
   * Reads the list.
   *
   * @returns the entries of all VMs, or why the read failed
   */
  abstract read(): Promise<Result<readonly VmListEntry[], VmListError>>;

  /**
   * Registers this VM, or renews its entry.
   *
   * @param entry - this VM and its state
   * @returns undefined on success, or why the entry was not written
   */
  abstract register(
    entry: VmListEntry,
  ): Promise<Result<undefined, VmListError>>;
}
