/** The requests that other VMs have in flight at the servers of one service. */

import type { VmId } from "@limpetford/domain/ids";

import type { ServerTable } from "./server_table.ts";

/**
 * Time for which a report counts. VMs report at least every 500 ms; one that was
 * killed, or reports to others now, would otherwise keep its slots forever.
 */
const REPORT_VALID_MS = 1_500;
const EXPIRE_INTERVAL_MS = 100;

/** Keeps the latest load report of each VM and drops those that are too old. */
export class PeerLoads {
  readonly #servers: ServerTable;
  readonly #reportedAtMs = new Map<VmId, number>();
  #expiredAtMs = 0;

  /**
   * Starts without reports.
   *
   * @param servers - servers whose loads are updated
   */
  constructor(servers: ServerTable) {
    this.#servers = servers;
  }

  /**
   * Replaces the loads that a VM reported before.
   *
   * @param vm - the other VM
   * @param loads - its requests in flight by server; missing servers have none
   * @param nowMs - monotonic time
   */
  update(
    vm: VmId,
    loads: ReadonlyMap<string, number>,
    nowMs: number,
  ): void {
    this.#reportedAtMs.set(vm, nowMs);
    this.#setLoads(vm, loads);
  }

  /**
   * Drops the loads of VMs that have not reported for too long.
   *
   * @param nowMs - monotonic time
   */
  expire(nowMs: number): void {
    if (nowMs < this.#expiredAtMs + EXPIRE_INTERVAL_MS) {
      return;
    }
    this.#expiredAtMs = nowMs;
    for (const [vm, reportedAtMs] of this.#reportedAtMs) {
      if (nowMs >= reportedAtMs + REPORT_VALID_MS) {
        this.#reportedAtMs.delete(vm);
        this.#setLoads(vm, new Map());
      }
    }
  }

  #setLoads(vm: VmId, loads: ReadonlyMap<string, number>): void {
    for (const server of this.#servers.list()) {
      server.setPeerLoad(vm, loads.get(server.announced.id) ?? 0);
    }
  }
}
