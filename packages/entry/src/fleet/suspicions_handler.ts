/** Keeps requests that may crash servers on the store, to outlive all VMs. */

import type { LogPosition } from "@limpetford/core/fleet/log_position";
import {
  isSameSuspicion,
  type Suspicion,
  SUSPICION_STATUS,
} from "@limpetford/core/quarantine/suspicion";
import {
  SUSPECT_KEPT_MS,
  type SuspicionRegistry,
} from "@limpetford/core/quarantine/suspicion_registry";
import type { Clock } from "@limpetford/core/time/clock";
import type { KeyedRecord } from "@limpetford/platform/store/log_records";
import type { StoreClient } from "@limpetford/platform/store/store_client";
import { formatStoreError } from "@limpetford/platform/store/store_error";
import {
  decodeSuspicion,
  encodeSuspicion,
  type StoredSuspicion,
} from "@limpetford/platform/store/suspicion_codec";
import { TOPIC } from "@limpetford/platform/store/wire_names";

import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { SuspicionSync } from "./suspicion_sync.ts";
import { TopicHandler } from "./topic_consumer.ts";

const READ_WAIT_MS = 10_000;
/** Time between reads of a VM that no other VM keeps informed. */
const ISOLATED_READ_INTERVAL_MS = 1_000;
/** Time between checks whether this VM has to read. */
const READER_CHECK_INTERVAL_MS = 500;
const WRITE_RETRY_MS = 1_000;
/**
 * How long a suspicion waits to be written. Most are cleared sooner, when the
 * caller or this VM has sent the request again.
 */
const WRITE_DELAY_MS = 1_000;
/** The same for suspicions of other VMs, which write their own. */
const WRITE_FOR_OTHERS_DELAY_MS = 3_000;
/** Records in one append. */
const MAX_RECORDS = 100;

/** How a VM takes part in reading and writing the topic. */
export const SUSPICION_READER = {
  /** Reads at all times, and writes what the store lacks. */
  first: "first",
  /** Reads and writes, since no other VM is reachable. */
  isolated: "isolated",
  /** Learns from other VMs, and writes only what it observed itself. */
  none: "none",
} as const;
/** One of the ways in `SUSPICION_READER`. */
export type SuspicionReader =
  typeof SUSPICION_READER[keyof typeof SUSPICION_READER];

/** Dependencies of a {@link SuspicionsHandler}. */
export interface SuspicionsHandlerOptions {
  readonly registry: SuspicionRegistry;
  readonly suspicions: SuspicionSync;
  readonly client: StoreClient;
  readonly clock: Clock;
  readonly log: FleetLog;
  /** Receives what a write throws; the next one follows. */
  readonly exceptions: ContainedExceptions;
  /** Reads this VM's present part. */
  readonly readReader: () => SuspicionReader;
}

type AppendedRecord = Pick<KeyedRecord, "key" | "value">;

/** Applies the records of the topic, and writes what the store lacks. */
export class SuspicionsHandler extends TopicHandler {
  override readonly topic = TOPIC.suspicions;
  override readonly waitMs = READ_WAIT_MS;
  readonly #options: SuspicionsHandlerOptions;
  /** Newest record of each request, as read or written by this VM. */
  readonly #stored = new Map<string, StoredSuspicion>();
  /** Monotonic time since which this VM knows what the store lacks. */
  readonly #missingSinceMs = new Map<string, number>();
  readonly #observedHere = new Set<string>();
  #next: LogPosition | undefined;
  #readAtMs = -Infinity;
  #writeAtMs = -Infinity;
  #isWriting = false;

  /**
   * Creates a handler that has not read the topic yet.
   *
   * @param options - registry, store client, clock and log
   */
  constructor(options: SuspicionsHandlerOptions) {
    super();
    this.#options = options;
  }

  override readNextPosition(): LogPosition | undefined {
    return this.#next;
  }

  // After its start each VM reads once, unless another one has told it all: a VM
  // that serves callers before would run requests that crash servers.
  override readDueInMs(): number {
    if (!this.#options.suspicions.isInformed) {
      return 0;
    }
    switch (this.#options.readReader()) {
      case SUSPICION_READER.first:
        return 0;
      case SUSPICION_READER.isolated:
        return ISOLATED_READ_INTERVAL_MS -
          (this.#options.clock.readMonotonicMs() - this.#readAtMs);
      case SUSPICION_READER.none:
        return READER_CHECK_INTERVAL_MS;
    }
  }

  override applySnapshot(
    records: readonly KeyedRecord[],
    end: LogPosition,
  ): void {
    this.#stored.clear();
    this.applyRecords(records, end);
    this.#options.suspicions.markInformed("store");
  }

  override applyRecords(
    records: readonly KeyedRecord[],
    next: LogPosition,
  ): void {
    for (const { key, value, offset } of records) {
      if (value === undefined) {
        this.#stored.delete(key);
      } else {
        this.#applyRecord(key, value, offset);
      }
    }
    this.#next = next;
  }

  override recordFreshness(atMs: number): void {
    this.#readAtMs = atMs;
  }

  /**
   * Marks a request whose crash this VM observed; this VM writes it.
   *
   * @param fingerprint - fingerprint of the request
   */
  recordObserved(fingerprint: string): void {
    this.#observedHere.add(fingerprint);
    void this.writeMissing();
  }

  /** Writes what the store lacks, if that is this VM's part. */
  async writeMissing(): Promise<void> {
    await this.#options.exceptions.wait(
      EXCEPTION_SOURCE.store,
      this.#writeMissing(),
    );
  }

  async #writeMissing(): Promise<void> {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (this.#isWriting || nowMs < this.#writeAtMs) {
      return;
    }
    const written = this.#listMissing(nowMs);
    const records = [
      ...written.map((suspicion) => this.#encode(suspicion)),
      ...this.#listExpired(),
    ].slice(0, MAX_RECORDS);
    if (records.length === 0) {
      return;
    }
    this.#isWriting = true;
    try {
      await this.#append(records, written);
    } finally {
      this.#isWriting = false;
    }
  }

  async #append(
    records: readonly AppendedRecord[],
    suspicions: readonly Suspicion[],
  ): Promise<void> {
    const { client, clock, log } = this.#options;
    const appended = await client.appendRecords(TOPIC.suspicions, records);
    if (!appended.ok) {
      this.#writeAtMs = clock.readMonotonicMs() + WRITE_RETRY_MS;
      log.record("store-lost", {
        topic: TOPIC.suspicions,
        cause: formatStoreError(appended.error),
      });
      return;
    }
    const writtenAtMs = clock.readWallMs();
    for (const { key, value } of records) {
      if (value === undefined) {
        this.#stored.delete(key);
      }
    }
    for (const suspicion of suspicions.slice(0, records.length)) {
      const { fingerprint, status } = suspicion;
      this.#stored.set(fingerprint, { suspicion, writtenAtMs });
      this.#missingSinceMs.delete(fingerprint);
      this.#observedHere.delete(fingerprint);
      log.record("suspicion-stored", { fingerprint, status });
    }
  }

  #listMissing(nowMs: number): readonly Suspicion[] {
    const isReader = this.#isReader();
    return this.#options.registry.list().filter((suspicion) => {
      const { fingerprint } = suspicion;
      if (!this.#isMissing(suspicion)) {
        this.#missingSinceMs.delete(fingerprint);
        return false;
      }
      const sinceMs = this.#missingSinceMs.get(fingerprint) ?? nowMs;
      this.#missingSinceMs.set(fingerprint, sinceMs);
      if (this.#observedHere.has(fingerprint)) {
        const isUrgent = suspicion.status === SUSPICION_STATUS.quarantined;
        return isUrgent || nowMs - sinceMs >= WRITE_DELAY_MS;
      }
      return isReader && nowMs - sinceMs >= WRITE_FOR_OTHERS_DELAY_MS;
    });
  }

  // The store keeps suspicions, and the ends of those that it keeps.
  #isMissing(suspicion: Suspicion): boolean {
    const stored = this.#stored.get(suspicion.fingerprint)?.suspicion;
    if (suspicion.status === SUSPICION_STATUS.cleared) {
      return stored !== undefined && stored.generation < suspicion.generation;
    }
    return stored === undefined || !isSameSuspicion(stored, suspicion);
  }

  #listExpired(): readonly AppendedRecord[] {
    if (!this.#isReader()) {
      return [];
    }
    const wallMs = this.#options.clock.readWallMs();
    return [...this.#stored]
      .filter(([, { suspicion, writtenAtMs }]) =>
        suspicion.status !== SUSPICION_STATUS.quarantined &&
        wallMs - writtenAtMs > SUSPECT_KEPT_MS
      )
      .map(([key]) => ({ key, value: undefined }));
  }

  #isReader(): boolean {
    return this.#options.readReader() !== SUSPICION_READER.none &&
      this.#next !== undefined;
  }

  #encode(suspicion: Suspicion): AppendedRecord {
    return {
      key: suspicion.fingerprint,
      value: encodeSuspicion(suspicion, this.#readClock()),
    };
  }

  #applyRecord(key: string, value: Buffer, offset: number): void {
    const { suspicions, log } = this.#options;
    const stored = decodeSuspicion(key, value, this.#readClock());
    if (stored === undefined) {
      log.record("record-unreadable", {
        topic: this.topic,
        key,
        offset,
        cause: "not a suspicion",
      });
      return;
    }
    this.#stored.set(key, stored);
    suspicions.applyStored(stored.suspicion);
  }

  #readClock(): { readonly nowMs: number; readonly wallMs: number } {
    const { clock } = this.#options;
    return { nowMs: clock.readMonotonicMs(), wallMs: clock.readWallMs() };
  }
}
