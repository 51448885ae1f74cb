/** The platform as one virtual VM sees it. */

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

import type { VirtualGate } from "./virtual_gate.ts";

/** The platform's list, shared by all virtual VMs. */
export interface VirtualList {
  /** All VMs that have ever been in the list. */
  readonly vms: Vm[];
  /** Formatted incarnations that the list has dropped. */
  readonly dropped: Set<string>;
  /** Formatted incarnations that are leaving. */
  readonly leaving: Set<string>;
}

/**
 * Reads the shared list.
 */
export class VirtualFleetView extends FleetView {
  readonly #self: Vm;
  readonly #list: VirtualList;

  /**
   * Creates the view.
   *
   * @param self - the VM that reads
   * @param list - the list
   */
  constructor(self: Vm, list: VirtualList) {
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
 * Spreads facts to all VMs at once.
 */
export class VirtualFactBoard extends FactBus {
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
 * Delivers the log's answers only while the VM runs.
 */
export class GatedLog extends LogService {
  readonly #log: LogService;
  readonly #gate: VirtualGate;

  /**
   * Wraps a log.
   *
   * @param log - the log
   * @param gate - the VM's gate
   */
  constructor(log: LogService, gate: VirtualGate) {
    super();
    this.#log = log;
    this.#gate = gate;
  }

  override async append(
    stream: string,
    payloads: readonly Uint8Array[],
  ): Promise<Result<number, LogError>> {
    return await this.#gate.pass(this.#log.append(stream, payloads));
  }

  override async read(
    stream: string,
    options: ReadOptions,
  ): Promise<Result<LogPage, LogError>> {
    return await this.#gate.pass(this.#log.read(stream, options));
  }
}
