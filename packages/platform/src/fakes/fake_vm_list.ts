/** The VM list in memory under virtual time. */

import type { Clock } from "@limpetford/core/time/clock";
import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";

import type { VmListEntry, VmListError } from "../vm_list.ts";
import { VmList } from "../vm_list.ts";
import { MemoryVmList } from "./memory_vm_list.ts";

/** What a fake is built from. */
export interface FakeVmListOptions {
  readonly clock: Clock;
  /** Rows, shared by the fakes of several VMs; default a new list. */
  readonly rows?: MemoryVmList;
}

/**
 * One caller's view of an in-memory VM list.
 */
export class FakeVmList extends VmList {
  readonly rows: MemoryVmList;
  /** True while the list answers nothing. */
  isUnavailable = false;
  readonly #clock: Clock;

  /**
   * Builds a fake.
   *
   * @param options - clock and rows
   */
  constructor(options: FakeVmListOptions) {
    super();
    this.#clock = options.clock;
    this.rows = options.rows ?? new MemoryVmList();
  }

  override read(): Promise<Result<readonly VmListEntry[], VmListError>> {
    return Promise.resolve(
      this.isUnavailable
        ? makeError({ kind: "list-away", cause: "connection refused" })
        : makeOk(this.rows.read(this.#clock.readMonotonicMs())),
    );
  }

  override register(
    entry: VmListEntry,
  ): Promise<Result<undefined, VmListError>> {
    if (this.isUnavailable) {
      const cause = "connection refused";
      return Promise.resolve(makeError({ kind: "list-away", cause }));
    }
    this.rows.put(entry, this.#clock.readMonotonicMs());
    return Promise.resolve(makeOk(undefined));
  }
}
