/** Applies the records of the VM list to the VM's state. */

import type { LogPosition } from "@limpetford/core/fleet/log_position";
import type { Clock } from "@limpetford/core/time/clock";
import type { KeyedRecord } from "@limpetford/platform/store/log_records";
import { decodeVmRecord } from "@limpetford/platform/store/vm_record_codec";
import { TOPIC } from "@limpetford/platform/store/wire_names";

import type { FleetState } from "./fleet_state.ts";
import { TopicHandler } from "./topic_consumer.ts";

/** Time between reads of the VM list while no other VM is reachable. */
const ISOLATED_READ_INTERVAL_MS = 1_000;
/** Time between reads of the VM list by the first reader. */
const FIRST_READ_INTERVAL_MS = 5_000;
/** Time between checks whether this VM has to read the VM list. */
const READER_CHECK_INTERVAL_MS = 500;

/** Part of a VM in reading the VM list. */
export const VM_LIST_READER = {
  /** Reads regularly, since VMs may exist that none of the others knows. */
  first: "first",
  /** Knows no reachable VM, and looks for one. */
  isolated: "isolated",
  none: "none",
} as const;
/** One of {@link VM_LIST_READER}. */
export type VmListReader = typeof VM_LIST_READER[keyof typeof VM_LIST_READER];

/**
 * Reads the VM list at one VM, and at any that reaches no other. The others
 * learn about each other from the messages that they exchange.
 */
export class VmsHandler extends TopicHandler {
  override readonly topic = TOPIC.vms;
  override readonly waitMs = 0;
  readonly #state: FleetState;
  readonly #clock: Clock;
  readonly #decideReader: () => VmListReader;
  #next: LogPosition | undefined;
  #freshAtMs = -Infinity;

  /**
   * Creates a handler that has not read the topic yet.
   *
   * @param options - state that holds the VM list, and the clock
   * @param decideReader - decides this VM's present part
   */
  constructor(
    options: { readonly state: FleetState; readonly clock: Clock },
    decideReader: () => VmListReader,
  ) {
    super();
    this.#state = options.state;
    this.#clock = options.clock;
    this.#decideReader = decideReader;
  }

  override readNextPosition(): LogPosition | undefined {
    return this.#next;
  }

  override readDueInMs(): number {
    switch (this.#decideReader()) {
      case VM_LIST_READER.first:
        return FIRST_READ_INTERVAL_MS - this.#readAgeMs();
      case VM_LIST_READER.isolated:
        return ISOLATED_READ_INTERVAL_MS - this.#readAgeMs();
      case VM_LIST_READER.none:
        return READER_CHECK_INTERVAL_MS;
    }
  }

  override applySnapshot(
    records: readonly KeyedRecord[],
    end: LogPosition,
  ): void {
    this.applyRecords(records, end);
  }

  override applyRecords(
    records: readonly KeyedRecord[],
    next: LogPosition,
  ): void {
    this.#next = next;
    for (const { key, value } of records) {
      const vm = value === undefined ? undefined : decodeVmRecord(key, value);
      if (vm !== undefined) {
        this.#state.applyVm(vm);
      }
    }
  }

  override recordFreshness(atMs: number): void {
    this.#freshAtMs = atMs;
  }

  #readAgeMs(): number {
    return this.#clock.readMonotonicMs() - this.#freshAtMs;
  }
}
