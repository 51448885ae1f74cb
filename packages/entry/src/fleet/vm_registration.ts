/** Writes a VM's record to the store, where the other VMs find it. */

import type { Vm } from "@limpetford/domain/vm";
import type { StoreClient } from "@limpetford/platform/store/store_client";
import { formatStoreError } from "@limpetford/platform/store/store_error";
import { encodeVmRecord } from "@limpetford/platform/store/vm_record_codec";
import { TOPIC } from "@limpetford/platform/store/wire_names";

import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";
import type { FleetLog } from "./fleet_log.ts";

const RETRY_MS = 500;

/** Dependencies of a {@link VmRegistration}. */
export interface VmRegistrationOptions {
  readonly client: StoreClient;
  /** Receives failed attempts. */
  readonly log: FleetLog;
  /** Receives what an attempt throws; the next one follows. */
  readonly exceptions: ContainedExceptions;
}

/** Registers this VM, again after each return of the store. */
export class VmRegistration {
  readonly #self: Vm;
  readonly #options: VmRegistrationOptions;
  #isStopped = false;

  /**
   * Creates a registration; nothing is written before {@link write}.
   *
   * @param self - record of this VM
   * @param options - store client, log and reporter of exceptions
   */
  constructor(self: Vm, options: VmRegistrationOptions) {
    this.#self = self;
    this.#options = options;
  }

  /** Writes the record, and repeats it until the store has accepted it. */
  async write(): Promise<void> {
    while (!this.#isStopped && !await this.#writeGuarded()) {
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_MS);
      });
    }
  }

  /** Ends the repetition. */
  stop(): void {
    this.#isStopped = true;
  }

  async #writeGuarded(): Promise<boolean> {
    try {
      return await this.#writeOnce();
    } catch (error) {
      this.#options.exceptions.report(EXCEPTION_SOURCE.store, error);
      return false;
    }
  }

  async #writeOnce(): Promise<boolean> {
    const written = await this.#options.client.appendRecord(
      TOPIC.vms,
      this.#self.incarnation.vm,
      encodeVmRecord(this.#self),
    );
    if (!written.ok) {
      this.#options.log.record("store-lost", {
        topic: TOPIC.vms,
        cause: formatStoreError(written.error),
      });
    }
    return written.ok;
  }
}
