/** Keeps on the store in which era it is complete, for VMs that start later. */

import type { StoreClient } from "@limpetford/platform/store/store_client";
import {
  decodeStoreEra,
  encodeStoreEra,
  STORE_ERA_KEY,
} from "@limpetford/platform/store/store_era_codec";
import { formatStoreError } from "@limpetford/platform/store/store_error";
import { TOPIC } from "@limpetford/platform/store/wire_names";

import type { FleetLog } from "./fleet_log.ts";
import type { FleetState } from "./fleet_state.ts";

/** Dependencies of a {@link StoreEraRecord}. */
export interface StoreEraRecordOptions {
  readonly client: StoreClient;
  readonly state: FleetState;
  readonly log: FleetLog;
  /** Checks whether this VM is the one that writes for the fleet. */
  readonly isWriter: () => boolean;
}

/**
 * Reads and writes the record. A store that has just returned from a copy has
 * the record of an earlier era or none, so that a VM which starts then does not
 * take an older configuration for the newest. So has one whose operators have not
 * written the configuration again.
 */
export class StoreEraRecord {
  readonly #options: StoreEraRecordOptions;
  #writtenEra = 0;
  #isWriting = false;

  /**
   * Creates a record that has been neither read nor written.
   *
   * @param options - store client, state and log
   */
  constructor(options: StoreEraRecordOptions) {
    this.#options = options;
  }

  /** Reads the record after a rise of the era. */
  async load(): Promise<void> {
    const { client, state, log } = this.#options;
    const snapshot = await client.fetchSnapshot(TOPIC.vms);
    if (!snapshot.ok) {
      log.record("store-lost", {
        topic: TOPIC.vms,
        cause: formatStoreError(snapshot.error),
      });
      return;
    }
    const record = snapshot.value.records.find(({ key }) =>
      key === STORE_ERA_KEY
    );
    const era = record?.value && decodeStoreEra(record.value);
    if (era !== undefined) {
      this.#writtenEra = Math.max(this.#writtenEra, era);
      state.markStoreEraSettled(era);
    }
  }

  /** Writes the record once the store is complete, if that is this VM's part. */
  async writeIfDue(): Promise<void> {
    const { client, state, log, isWriter } = this.#options;
    const era = state.storeEra;
    if (
      this.#isWriting || era <= this.#writtenEra ||
      !state.isConfigurationProvable() ||
      !isWriter()
    ) {
      return;
    }
    this.#isWriting = true;
    const written = await client.appendRecord(
      TOPIC.vms,
      STORE_ERA_KEY,
      encodeStoreEra(era),
    ).finally(() => {
      this.#isWriting = false;
    });
    if (written.ok) {
      this.#writtenEra = era;
    } else {
      log.record("store-lost", {
        topic: TOPIC.vms,
        cause: formatStoreError(written.error),
      });
    }
  }
}
