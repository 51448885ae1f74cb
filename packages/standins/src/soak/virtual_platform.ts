/** VM list, fact bus and log of the platform, as one virtual VM sees them. */

import { FactBus } from "@limpetford/core/gossip/fact_bus";
import { FleetView } from "@limpetford/core/membership/fleet_view";
import type { MonotoneFact } from "@limpetford/domain/monotone_fact";
import type { Result } from "@limpetford/domain/result";
import {
  formatIncarnation,
  isSameIncarnation,
  type Vm,
  type VmIncarnation,
} from "@limpetford/domain/vm";
import {
  type LogError,
  type LogPage,
  LogService,
  type ReadOptions,
} from "@limpetford/platform/log_service";

import type { VirtualScheduler } from "./virtual_scheduler.ts";

/** The platform's VM list, shared by all virtual VMs. */
export interface VirtualVmList {
  /** All VMs ever listed, including those removed since. */
  readonly vms: Vm[];
  /** Formatted incarnations of the VMs removed from the list. */
  readonly dropped: Set<string>;
  /** Formatted incarnations of the VMs that are being drained. */
  readonly leaving: Set<string>;
}

/**
 * Membership view of one VM, read from the shared list without delay.
 */
export class VirtualFleetView extends FleetView {
  readonly #self: Vm;
  readonly #list: VirtualVmList;

  /**
   * Creates the view.
   *
   * @param self - VM whose view it is
   * @param list - VM list shared by all VMs
   */
  constructor(self: Vm, list: VirtualVmList) {
    super();
    this.#self = self;
    this.#list = list;
  }

  override readSelf(): Vm {
    return this.#self;
  }

  override listMembers(): readonly Vm[] {
    return this.#list.vms.filter((vm) => {
      const name = formatIncarnation(vm.incarnation);
      return !this.#list.dropped.has(name) && !this.#list.leaving.has(name);
    });
  }

  override findVm(incarnation: VmIncarnation): Vm | undefined {
    return this.#list.vms.find((vm) =>
      isSameIncarnation(vm.incarnation, incarnation)
    );
  }

  override isSuspected(): boolean {
    return false;
  }

  override isDropped(incarnation: VmIncarnation): boolean {
    return this.#list.dropped.has(formatIncarnation(incarnation));
  }
}

/**
 * Delivers each fact to all VMs at once, without gossip.
 */
export class VirtualFactBus extends FactBus {
  readonly #listeners: ((fact: MonotoneFact) => void)[] = [];

  override publish(fact: MonotoneFact): void {
    this.#listeners.forEach((listener) => {
      listener(fact);
    });
  }

  override subscribe(listener: (fact: MonotoneFact) => void): void {
    this.#listeners.push(listener);
  }
}

/**
 * Log client of one VM: responses arrive only while the VM is running.
 */
export class ScheduledLog extends LogService {
  readonly #log: LogService;
  readonly #scheduler: VirtualScheduler;

  /**
   * Wraps a log service.
   *
   * @param log - log service that takes the calls
   * @param scheduler - scheduler of the VM
   */
  constructor(log: LogService, scheduler: VirtualScheduler) {
    super();
    this.#log = log;
    this.#scheduler = scheduler;
  }

  override async append(
    stream: string,
    payloads: readonly Uint8Array[],
  ): Promise<Result<number, LogError>> {
    return await this.#scheduler.pass(this.#log.append(stream, payloads));
  }

  override async read(
    stream: string,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    return await this.#scheduler.pass(this.#log.read(stream, options));
  }
}
