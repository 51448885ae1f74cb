/** Handlers that apply the records of each store topic to the VM's state. */

import {
  compareLogPositions,
  type LogPosition,
  pickLaterPosition,
} from "@limpetford/core/fleet/log_position";
import { REWRITE_MS } from "@limpetford/core/fleet/store_era_tracker";
import type { Clock } from "@limpetford/core/time/clock";
import { type ServerId, toId } from "@limpetford/domain/ids";
import { decodeConfiguration } from "@limpetford/platform/store/configuration_decoder";
import type { KeyedRecord } from "@limpetford/platform/store/log_records";
import { decodeServer } from "@limpetford/platform/store/server_decoder";
import {
  CONFIGURATION_KEY,
  TOPIC,
} from "@limpetford/platform/store/wire_names";

import { hashCallerKey } from "../serving/caller_key.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { FleetState } from "./fleet_state.ts";
import { TopicHandler } from "./topic_consumer.ts";

/**
 * Time until this VM learns from another one what was written after a return of
 * the store.
 */
const PASS_ON_MS = 700;
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
  #next: LogPosition | undefined;
  /** Position of the latest configuration that could not be decoded. */
  #unreadable: LogPosition | undefined;
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

  override readNextPosition(): LogPosition | undefined {
    const position = this.#options.state.active?.position;
    if (this.#next === undefined || position?.era !== this.#next.era) {
      return this.#next;
    }
    // The record of the active configuration need not be read again.
    const { era, offset } = position;
    return pickLaterPosition(this.#next, { era, offset: offset + 1 });
  }

  override readDueInMs(): number {
    const { state, clock, readMaxAgeMs } = this.#options;
    // While the age is not known, the time of the last read alone decides.
    const sinceReadMs = clock.readMonotonicMs() - this.#readAtMs;
    return readMaxAgeMs() - Math.min(state.configurationAgeMs, sinceReadMs);
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
    const { era } = next;
    this.#options.state.observeStoreEra(era);
    for (const { key, value, offset } of records) {
      if (key === CONFIGURATION_KEY && value !== undefined) {
        this.#applyConfiguration(value, { era, offset });
      }
    }
    // After an exception the records are read again, and keys fail closed until then.
    this.#next = pickLaterPosition(this.#next, next);
  }

  override recordFreshness(atMs: number): void {
    this.#readAtMs = atMs;
    const { state } = this.#options;
    if (state.isConfigurationProvable() && !this.#isSuperseded()) {
      state.recordConfigurationFreshness(atMs);
    }
  }

  // A configuration that cannot be decoded may withdraw keys. The active one is
  // then not known to be the newest, so that keys fail closed.
  #isSuperseded(): boolean {
    const position = this.#options.state.active?.position;
    return this.#unreadable !== undefined && (position === undefined ||
      compareLogPositions(this.#unreadable, position) > 0);
  }

  #applyConfiguration(value: Buffer, position: LogPosition): void {
    const { state, log, notifyChange } = this.#options;
    const { era, offset } = position;
    const decoded = decodeConfiguration(value, hashCallerKey);
    if (!decoded.ok) {
      this.#unreadable = pickLaterPosition(this.#unreadable, position);
      log.record("record-unreadable", {
        topic: this.topic,
        key: CONFIGURATION_KEY,
        offset,
        cause: decoded.error,
      });
      return;
    }
    const configuration = decoded.value;
    const { version } = configuration;
    if (state.applyConfiguration({ configuration, position })) {
      log.record("configuration-in-force", {
        version,
        offset,
        source: "store",
      });
      notifyChange();
    } else if (version < (state.active?.configuration.version ?? version)) {
      log.record("configuration-outdated", {
        version,
        inForce: state.active?.configuration.version ?? version,
        era,
        offset,
      });
    }
  }
}

/** Maintains the list of backend servers from their announcements. */
export class ServersHandler extends TopicHandler {
  override readonly topic = TOPIC.servers;
  override readonly waitMs = 0;
  readonly #options: StoreHandlerOptions;
  #removalsDeferredUntilMs = 0;
  #eraReadAtMs = 0;

  /**
   * Creates a handler that has not read the topic yet.
   *
   * @param options - state, clock, log and callbacks
   * @param spreadMs - delay of this VM's read after a return of the store
   */
  constructor(options: StoreHandlerOptions, spreadMs: number) {
    super();
    this.#options = options;
    options.state.subscribeStoreEra(() => {
      this.#eraReadAtMs = options.clock.readMonotonicMs() + spreadMs;
    });
  }

  override readNextPosition(): LogPosition | undefined {
    return this.#options.state.servers.nextPosition;
  }

  // After a return of the store every VM reads one snapshot, since its own list
  // tells it what the copy has lost.
  override readDueInMs(): number {
    const { state, clock, readMaxAgeMs } = this.#options;
    const readEra = state.servers.nextPosition?.era ?? state.storeEra;
    if (readEra < state.storeEra) {
      return this.#eraReadAtMs - clock.readMonotonicMs();
    }
    return readMaxAgeMs() - state.serversAgeMs;
  }

  override applySnapshot(
    records: readonly KeyedRecord[],
    end: LogPosition,
  ): void {
    const { state } = this.#options;
    const readEra = state.servers.nextPosition?.era ?? end.era;
    state.observeStoreEra(end.era);
    this.#checkStoreOutage();
    if (end.era > readEra) {
      this.#setRemovalDelay(REWRITE_MS + PASS_ON_MS);
    }
    this.#applyAll(records, end.era);
    state.refusedServers.keepOnly(new Set(records.map(({ key }) => key)));
    const removed = state.servers.removeUnlisted(
      new Set(records.map(({ key }) => key)),
      end,
      this.#readRemovalMs(),
    );
    removed.forEach((id) => {
      this.#recordGone(id, end.offset);
    });
    this.#notify();
  }

  override applyRecords(
    records: readonly KeyedRecord[],
    next: LogPosition,
  ): void {
    this.#checkStoreOutage();
    const isChanged = this.#applyAll(records, next.era);
    this.#options.state.servers.markRead(next);
    if (isChanged) {
      this.#notify();
    }
  }

  override recordFreshness(atMs: number): void {
    this.#options.state.recordServersFreshness(atMs);
  }

  override recordFailure(): void {
    const { state, clock } = this.#options;
    state.serverListAge.recordFailedRead(clock.readMonotonicMs());
  }

  /**
   * Removes the servers whose deferred removal is due. A VM that has heard
   * nothing since the removal was due does not know whether they are back.
   */
  expireRemoved(): void {
    const { state, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    state.serverListAge.observeStep(nowMs);
    const knownUntilMs = nowMs - state.serversAgeMs;
    this.#recordRemoved(knownUntilMs);
    if (state.servers.expireRemoved(knownUntilMs)) {
      this.#notify();
    }
  }

  // Announcements expire while the store is unreachable, so after an outage
  // removals are deferred until running servers can have announced themselves
  // again. If only this VM could not reach the store, other VMs have kept its
  // list fresh, and removals are not deferred; nor are they at a VM that is late.
  #checkStoreOutage(): void {
    const { state, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    state.serverListAge.observeStep(nowMs);
    if (state.serverListAge.isStoreOutage(nowMs)) {
      this.#setRemovalDelay(REWRITE_MS);
    }
  }

  #setRemovalDelay(delayMs: number): void {
    this.#removalsDeferredUntilMs = this.#options.clock.readMonotonicMs() +
      delayMs;
  }

  #applyAll(records: readonly KeyedRecord[], era: number): boolean {
    const { state, log } = this.#options;
    let isChanged = false;
    for (const { key, value, offset } of records) {
      const id = toId<ServerId>(key);
      if (value === undefined) {
        state.servers.applyRemoval(id, { era, offset }, this.#readRemovalMs());
        state.refusedServers.drop(key);
        this.#recordGone(id, offset);
        isChanged = true;
        continue;
      }
      const decoded = decodeServer(key, value);
      if (!decoded.ok) {
        this.#recordRefused(decoded.error, { key, offset });
        continue;
      }
      state.refusedServers.drop(key);
      if (state.servers.applyAnnouncement(decoded.value, { era, offset })) {
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

  // An entry is written again with each heartbeat; it is logged once.
  #recordRefused(
    cause: string,
    { key, offset }: Pick<KeyedRecord, "key" | "offset">,
  ): void {
    const { state, log } = this.#options;
    if (state.refusedServers.record(key, cause)) {
      log.record("record-unreadable", {
        topic: this.topic,
        key,
        offset,
        cause,
      });
    }
  }

  #recordGone(server: ServerId, offset: number): void {
    const { state, clock, log } = this.#options;
    log.record("server-gone", {
      server,
      offset,
      listAgeMs: Math.round(state.serversAgeMs),
      deferredMs: Math.round(this.#readRemovalMs() - clock.readMonotonicMs()),
    });
  }

  #recordRemoved(untilMs: number): void {
    const { state, log } = this.#options;
    for (const server of state.servers.listDueRemovals(untilMs)) {
      log.record("server-removed", {
        server,
        listAgeMs: Math.round(state.serversAgeMs),
      });
    }
  }

  #readRemovalMs(): number {
    const nowMs = this.#options.clock.readMonotonicMs();
    return Math.max(nowMs, this.#removalsDeferredUntilMs);
  }

  #notify(): void {
    const { state, clock, notifyChange } = this.#options;
    const nowMs = clock.readMonotonicMs();
    this.#recordRemoved(nowMs);
    state.servers.expireRemoved(nowMs);
    state.notifyListeners();
    notifyChange();
  }
}
