/** Handlers that apply the records of each store topic to the VM's state. */

import type { Clock } from "@limpetford/core/time/clock";
import { type ServerId, toId } from "@limpetford/domain/ids";
import { decodeConfiguration } from "@limpetford/platform/store/configuration_decoder";
import type { KeyedRecord } from "@limpetford/platform/store/log_records";
import { decodeServer } from "@limpetford/platform/store/server_decoder";
import { decodeVmRecord } from "@limpetford/platform/store/vm_record_codec";
import {
  CONFIGURATION_KEY,
  TOPIC,
} from "@limpetford/platform/store/wire_names";

import { hashCallerKey } from "../serving/caller_key.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { FleetState } from "./fleet_state.ts";
import { TopicHandler } from "./topic_consumer.ts";

/**
 * Time within which a running server announces itself again once the store is
 * reachable after an outage.
 */
const REANNOUNCEMENT_MS = 2_300;
/**
 * A server list that was not confirmed for this long shows that no VM could
 * reach the store.
 */
const STORE_OUTAGE_MS = 2_500;
/** Time between reads of the VM list while no other VM is reachable. */
const ISOLATED_READ_INTERVAL_MS = 1_000;
/** Time between checks whether other VMs are still reachable. */
const ISOLATION_CHECK_INTERVAL_MS = 500;

/** Dependencies of the handlers. */
export interface StoreHandlerOptions {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly log: FleetLog;
  /** Reads the age at which the data must be read again, in milliseconds. */
  readonly readMaxAgeMs: () => number;
  /** Called when the configuration or the server list has changed. */
  readonly notifyChange: () => void;
}

/** Activates the configurations that operators publish. */
export class ConfigurationHandler extends TopicHandler {
  override readonly topic = TOPIC.operators;
  override readonly waitMs: number;
  readonly #options: StoreHandlerOptions;
  #nextOffset: number | undefined;
  #readAtMs = -Infinity;

  /**
   * Creates a handler that has not read the topic yet.
   *
   * @param options - state, clock, log and callbacks
   * @param waitMs - how long a read waits for a new record, in milliseconds
   */
  constructor(options: StoreHandlerOptions, waitMs: number) {
    super();
    this.#options = options;
    this.waitMs = Math.round(waitMs);
  }

  override readNextOffset(): number | undefined {
    const { active } = this.#options.state;
    return this.#nextOffset === undefined
      ? undefined
      : Math.max(this.#nextOffset, (active?.offset ?? -1) + 1);
  }

  override readDueInMs(): number {
    const { state, clock, readMaxAgeMs } = this.#options;
    // Until a configuration exists its age is infinite, so the time of the last
    // read alone decides.
    const sinceReadMs = clock.readMonotonicMs() - this.#readAtMs;
    return readMaxAgeMs() - Math.min(state.configurationAgeMs, sinceReadMs);
  }

  override applySnapshot(
    records: readonly KeyedRecord[],
    endOffset: number,
  ): void {
    this.applyRecords(records, endOffset);
  }

  override applyRecords(
    records: readonly KeyedRecord[],
    nextOffset: number,
  ): void {
    this.#nextOffset = Math.max(this.#nextOffset ?? 0, nextOffset);
    for (const { key, value, offset } of records) {
      if (key === CONFIGURATION_KEY && value !== undefined) {
        this.#applyConfiguration(value, offset);
      }
    }
  }

  override recordFreshness(atMs: number): void {
    this.#readAtMs = atMs;
    if (this.#options.state.active !== undefined) {
      this.#options.state.recordConfigurationFreshness(atMs);
    }
  }

  #applyConfiguration(value: Buffer, offset: number): void {
    const { state, log, notifyChange } = this.#options;
    const decoded = decodeConfiguration(value, hashCallerKey);
    if (!decoded.ok) {
      log.record("record-unreadable", {
        topic: this.topic,
        offset,
        cause: decoded.error,
      });
      return;
    }
    const configuration = decoded.value;
    if (state.applyConfiguration({ configuration, offset })) {
      log.record("configuration-in-force", {
        version: configuration.version,
        offset,
        source: "store",
      });
      notifyChange();
    }
  }
}

/** Maintains the list of backend servers from their announcements. */
export class ServersHandler extends TopicHandler {
  override readonly topic = TOPIC.servers;
  override readonly waitMs = 0;
  readonly #options: StoreHandlerOptions;
  #hasSnapshot = false;
  #removalsDeferredUntilMs = 0;

  /**
   * Creates a handler that has not read the topic yet.
   *
   * @param options - state, clock, log and callbacks
   */
  constructor(options: StoreHandlerOptions) {
    super();
    this.#options = options;
  }

  override readNextOffset(): number | undefined {
    const { nextOffset } = this.#options.state.servers;
    return this.#hasSnapshot || nextOffset > 0 ? nextOffset : undefined;
  }

  override readDueInMs(): number {
    const { state, readMaxAgeMs } = this.#options;
    return readMaxAgeMs() - state.serversAgeMs;
  }

  override applySnapshot(
    records: readonly KeyedRecord[],
    endOffset: number,
  ): void {
    this.#hasSnapshot = true;
    this.#checkStoreOutage();
    this.#applyAll(records);
    this.#options.state.servers.removeUnlisted(
      new Set(records.map(({ key }) => key)),
      { endOffset, effectiveAtMs: this.#readRemovalMs() },
    );
    this.#notify();
  }

  override applyRecords(
    records: readonly KeyedRecord[],
    nextOffset: number,
  ): void {
    this.#checkStoreOutage();
    const isChanged = this.#applyAll(records);
    this.#options.state.servers.markRead(nextOffset);
    if (isChanged) {
      this.#notify();
    }
  }

  override recordFreshness(atMs: number): void {
    this.#options.state.recordServersFreshness(atMs);
  }

  /** Removes the servers whose deferred removal is due. */
  expireRemoved(): void {
    const { state, clock } = this.#options;
    if (state.servers.expireRemoved(clock.readMonotonicMs())) {
      this.#notify();
    }
  }

  // Announcements expire while the store is unreachable, so after an outage
  // removals are deferred until running servers can have announced themselves
  // again. If only this VM could not reach the store, other VMs have kept its
  // list fresh, and removals are not deferred.
  #checkStoreOutage(): void {
    const { state, clock } = this.#options;
    const ageMs = state.serversAgeMs;
    if (Number.isFinite(ageMs) && ageMs > STORE_OUTAGE_MS) {
      this.#removalsDeferredUntilMs = clock.readMonotonicMs() +
        REANNOUNCEMENT_MS;
    }
  }

  #applyAll(records: readonly KeyedRecord[]): boolean {
    const { state, log } = this.#options;
    let isChanged = false;
    for (const { key, value, offset } of records) {
      const id = toId<ServerId>(key);
      if (value === undefined) {
        state.servers.applyRemoval(id, offset, this.#readRemovalMs());
        log.record("server-gone", { server: key, offset });
        isChanged = true;
        continue;
      }
      const decoded = decodeServer(key, value);
      if (!decoded.ok) {
        log.record("record-unreadable", {
          topic: this.topic,
          offset,
          cause: decoded.error,
        });
      } else if (state.servers.applyAnnouncement(decoded.value, offset)) {
        isChanged = true;
        log.record("server-announced", {
          server: key,
          state: decoded.value.state,
          service: decoded.value.service,
          offset,
        });
      }
    }
    return isChanged;
  }

  #readRemovalMs(): number {
    const nowMs = this.#options.clock.readMonotonicMs();
    return Math.max(nowMs, this.#removalsDeferredUntilMs);
  }

  #notify(): void {
    const { state, clock, notifyChange } = this.#options;
    state.servers.expireRemoved(clock.readMonotonicMs());
    state.notifyListeners();
    notifyChange();
  }
}

/**
 * Reads the VM list, but only while no other VM is reachable; otherwise VMs
 * learn about each other from the messages that they exchange.
 */
export class VmsHandler extends TopicHandler {
  override readonly topic = TOPIC.vms;
  override readonly waitMs = 0;
  readonly #state: FleetState;
  readonly #clock: Clock;
  readonly #isIsolated: () => boolean;
  #nextOffset: number | undefined;
  #freshAtMs = -Infinity;

  /**
   * Creates a handler that has not read the topic yet.
   *
   * @param options - state that holds the VM list, and the clock
   * @param isIsolated - checks that no other VM is reachable and a read is due
   */
  constructor(
    options: { readonly state: FleetState; readonly clock: Clock },
    isIsolated: () => boolean,
  ) {
    super();
    this.#state = options.state;
    this.#clock = options.clock;
    this.#isIsolated = isIsolated;
  }

  override readNextOffset(): number | undefined {
    return this.#nextOffset;
  }

  override readDueInMs(): number {
    return this.#isIsolated()
      ? ISOLATED_READ_INTERVAL_MS - this.#readAgeMs()
      : ISOLATION_CHECK_INTERVAL_MS;
  }

  override applySnapshot(
    records: readonly KeyedRecord[],
    endOffset: number,
  ): void {
    this.applyRecords(records, endOffset);
  }

  override applyRecords(
    records: readonly KeyedRecord[],
    nextOffset: number,
  ): void {
    this.#nextOffset = nextOffset;
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
