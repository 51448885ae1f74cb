/** In-memory VM list under virtual time. */

import type { Clock } from "@limpetford/core/time/clock";
import type { Result } from "@limpetford/domain/result";
import { makeError, makeOk } from "@limpetford/domain/result";

import type { VmListEntry, VmListError } from "../vm_list.ts";
import { VmList } from "../vm_list.ts";
import { MemoryVmList } from "./memory_vm_list.ts";

/** Dependencies of {@link FakeVmList}. */
export interface FakeVmListOptions {
  readonly clock: Clock;
  /** Entries; may be shared by several fakes. Default: a new, empty list. */
  readonly rows?: MemoryVmList;
}

/**
 * A VM list as one caller sees it: shared entries, own availability.
 */
export class FakeVmList extends VmList {
  readonly rows: MemoryVmList;
  /** True while all calls fail as unreachable. */
  isUnavailable = false;
  readonly #clock: Clock;

  /**
   * Creates a fake.
   *
   * @param options - clock and entries
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
