/** All that the holder of a shard keeps for one service. */

import type { ServiceId, VmId } from "@limpetford/domain/ids";

import { SuspectArbiter } from "../quarantine/suspect_arbiter.ts";
import {
  EjectionHolder,
  type EjectionHolderOptions,
} from "./ejection_controller.ts";

const SUBSCRIPTION_MS = 60_000;

/**
 * Ejections, suspects and the VMs that use a service.
 */
export class ServiceCoordinator {
  /** Name of the service. */
  readonly service: ServiceId;
  /** Decides on ejections. */
  readonly ejections: EjectionHolder;
  /** Decides on suspect requests. */
  readonly arbiter = new SuspectArbiter();
  readonly #heardAtMs = new Map<VmId, number>();

  /**
   * Starts with the state of a predecessor, if any.
   *
   * @param options - the service, the epoch of ownership and the state
   */
  constructor(options: EjectionHolderOptions) {
    this.service = options.service.id;
    this.ejections = new EjectionHolder(options);
  }

  /**
   * Records that a VM uses the service.
   *
   * @param vm - the VM
   * @param nowMs - monotonic time
   */
  recordUser(vm: VmId, nowMs: number): void {
    this.#heardAtMs.set(vm, nowMs);
  }

  /**
   * Lists the VMs that are told of decisions at once.
   *
   * @param nowMs - monotonic time
   * @returns VMs that have used the service of late
   */
  listUsers(nowMs: number): readonly VmId[] {
    for (const [vm, heardAtMs] of this.#heardAtMs) {
      if (nowMs - heardAtMs > SUBSCRIPTION_MS) {
        this.#heardAtMs.delete(vm);
      }
    }
    return [...this.#heardAtMs.keys()];
  }
}
