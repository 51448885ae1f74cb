/** State that the holder of a shard keeps for one service. */

import type { ServiceId, VmId } from "@limpetford/domain/ids";

import { SuspectArbiter } from "../quarantine/suspect_arbiter.ts";
import {
  EjectionController,
  type EjectionControllerOptions,
} from "./ejection_controller.ts";

// VMs that haven't used the service for longer get no decisions at once.
const SUBSCRIPTION_MS = 60_000;

/**
 * Holds a service's ejections, suspect requests and the VMs that use it.
 */
export class ServiceCoordinator {
  /** Name of the service. */
  readonly service: ServiceId;
  /** Decides on ejections of the service's servers. */
  readonly ejections: EjectionController;
  /** Decides when a suspect request may run and when it is quarantined. */
  readonly arbiter = new SuspectArbiter();
  readonly #usedAtMs = new Map<VmId, number>();

  /**
   * Creates the state, from that of the previous holder if given.
   *
   * @param options - service, epoch of ownership and earlier state
   */
  constructor(options: EjectionControllerOptions) {
    this.service = options.service.id;
    this.ejections = new EjectionController(options);
  }

  /**
   * Records that a VM uses the service.
   *
   * @param vm - VM whose evidence report has just arrived
   * @param nowMs - monotonic time in milliseconds
   */
  recordUser(vm: VmId, nowMs: number): void {
    this.#usedAtMs.set(vm, nowMs);
  }

  /**
   * Lists the VMs to which changed decisions are sent at once.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns VMs that have used the service in the last minute
   */
  listUsers(nowMs: number): readonly VmId[] {
    for (const [vm, usedAtMs] of this.#usedAtMs) {
      if (nowMs - usedAtMs > SUBSCRIPTION_MS) {
        this.#usedAtMs.delete(vm);
      }
    }
    return [...this.#usedAtMs.keys()];
  }
}
