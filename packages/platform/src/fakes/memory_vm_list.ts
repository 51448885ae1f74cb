/** In-memory entries of a VM list, used by the fake and the stand-in. */

import type { VmId } from "@limpetford/domain/ids";

import type { VmListEntry } from "../vm_list.ts";

interface Snapshot {
  readonly atMs: number;
  readonly entries: readonly VmListEntry[];
}

/**
 * Entries of the newest incarnation of each VM, which readers see with a lag.
 */
export class MemoryVmList {
  /** Delay until readers see a change, in milliseconds. */
  lagMs = 0;
  readonly #entries = new Map<VmId, VmListEntry>();
  /** Start time of the newest dropped incarnation of each VM. */
  readonly #droppedStartMs = new Map<VmId, number>();
  #history: Snapshot[] = [{ atMs: -Infinity, entries: [] }];

  /**
   * Adds or renews an entry. One of an older or dropped incarnation is ignored.
   *
   * @param entry - VM and state
   * @param nowMs - current time, in milliseconds
   */
  put(entry: VmListEntry, nowMs: number): void {
    const { vm, startedAtMs } = entry.vm.incarnation;
    const known = this.#entries.get(vm)?.vm.incarnation.startedAtMs;
    const dropped = this.#droppedStartMs.get(vm) ?? -Infinity;
    if (startedAtMs < (known ?? -Infinity) || startedAtMs <= dropped) {
      return;
    }
    this.#entries.set(vm, entry);
    this.#record(nowMs);
  }

  /**
   * Drops a VM whose process has ended.
   *
   * @param vm - identifier of the VM
   * @param nowMs - current time, in milliseconds
   */
  drop(vm: VmId, nowMs: number): void {
    const known = this.#entries.get(vm)?.vm.incarnation.startedAtMs;
    if (known !== undefined) {
      this.#droppedStartMs.set(vm, known);
      this.#entries.delete(vm);
      this.#record(nowMs);
    }
  }

  /**
   * Reads the entries as they were {@link lagMs} ago.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the entries, sorted by VM identifier
   */
  read(nowMs: number): readonly VmListEntry[] {
    const shownAtMs = nowMs - this.lagMs;
    const index = this.#history.findLastIndex(
      (snapshot) => snapshot.atMs <= shownAtMs,
    );
    return this.#history[Math.max(0, index)]?.entries ?? [];
  }

  #record(nowMs: number): void {
    const entries = [...this.#entries.values()].sort((a, b) =>
      a.vm.incarnation.vm.localeCompare(b.vm.incarnation.vm)
    );
    this.#history.push({ atMs: nowMs, entries });
    const firstNeededIndex = this.#history.findLastIndex(
      (snapshot) => snapshot.atMs <= nowMs - this.lagMs,
    );
    this.#history = this.#history.slice(Math.max(0, firstNeededIndex));
  }
}
