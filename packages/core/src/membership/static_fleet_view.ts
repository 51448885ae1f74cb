/** A fleet view that never changes, for a single VM and for tests. */

import {
  isSameIncarnation,
  type Vm,
  type VmIncarnation,
} from "@limpetford/domain/vm";

import { FleetView } from "./fleet_view.ts";

/**
 * View of a fixed list of VMs, none of which is ever suspected or dropped.
 */
export class StaticFleetView extends FleetView {
  readonly #self: Vm;
  readonly #members: readonly Vm[];

  /**
   * Creates the view.
   *
   * @param self - this VM
   * @param others - the other VMs; none by default
   */
  constructor(self: Vm, others: readonly Vm[] = []) {
    super();
    this.#self = self;
    this.#members = [self, ...others].sort((a, b) =>
      a.incarnation.vm.localeCompare(b.incarnation.vm)
    );
  }

  override readSelf(): Vm {
    return this.#self;
  }

  override listMembers(): readonly Vm[] {
    return this.#members;
  }

  override findVm(incarnation: VmIncarnation): Vm | undefined {
    return this.#members.find((vm) =>
      isSameIncarnation(vm.incarnation, incarnation)
    );
  }

  override isSuspected(): boolean {
    return false;
  }

  override isDropped(): boolean {
    return false;
  }
}
