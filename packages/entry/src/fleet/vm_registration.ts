/** Writes a VM's record to the store, where the other VMs find it. */

import type { Vm } from "@limpetford/domain/vm";
import type { StoreClient } from "@limpetford/platform/store/store_client";
import { formatStoreError } from "@limpetford/platform/store/store_error";
import { encodeVmRecord } from "@limpetford/platform/store/vm_record_codec";
import { TOPIC } from "@limpetford/platform/store/wire_names";

import type { FleetLog } from "./fleet_log.ts";

const RETRY_MS = 500;

/** Registers this VM, again after each return of the store. */
export class VmRegistration {
  readonly #self: Vm;
  readonly #client: StoreClient;
  readonly #log: FleetLog;
  #isStopped = false;

  /**
   * Creates a registration; nothing is written before {@link write}.
   *
   * @param self - record of this VM
   * @param client - client of the store
   * @param log - receives failed attempts
   */
  constructor(self: Vm, client: StoreClient, log: FleetLog) {
    this.#self = self;
    this.#client = client;
    this.#log = log;
  }

  /** Writes the record, and repeats it until the store has accepted it. */
  async write(): Promise<void> {
    while (!this.#isStopped) {
      const written = await this.#client.appendRecord(
        TOPIC.vms,
        this.#self.incarnation.vm,
        encodeVmRecord(this.#self),
      );
      if (written.ok) {
        return;
      }
      this.#log.record("store-lost", {
        topic: TOPIC.vms,
        cause: formatStoreError(written.error),
      });
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_MS);
      });
    }
  }

  /** Ends the repetition. */
  stop(): void {
    this.#isStopped = true;
  }
}
