/** What this VM does with the records of each topic. */

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
import { TopicHandler } from "./topic_follower.ts";

/** A server that reaches the store is back this soon after the store's return. */
const REAPPEAR_MS = 2_300;
/** News of servers this old shows that the store was away from everybody. */
const STORE_AWAY_MS = 2_500;
/** Time between reads of the list of VMs while no other VM answers. */
const ALONE_READ_INTERVAL_MS = 1_000;
/** Time between checks whether the list of VMs is needed. */
const IDLE_MS = 500;

/** What the handlers work with. */
export interface StoreHandlerOptions {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly log: FleetLog;
  /** Reads how old this VM's knowledge may become, in milliseconds. */
  readonly readAllowedAgeMs: () => number;
  /** Called when the configuration or the servers changed. */
  readonly notifyChange: () => void;
}

/** Puts the operators' configurations in force. */
export class ConfigurationHandler extends TopicHandler {
  override readonly topic = TOPIC.operators;
  override readonly waitMs: number;
  readonly #options: StoreHandlerOptions;
  #nextOffset: number | undefined;
  #readAtMs = -Infinity;

  /**
   * Prepares the handler.
   *
   * @param options - what it works with
   * @param waitMs - how long a read waits for a change, in milliseconds
   */
  constructor(options: StoreHandlerOptions, waitMs: number) {
    super();
    this.#options = options;
    this.waitMs = Math.round(waitMs);
  }

  override readNextOffset(): number | undefined {
    const { placed } = this.#options.state;
    return this.#nextOffset === undefined
      ? undefined
      : Math.max(this.#nextOffset, (placed?.offset ?? -1) + 1);
  }

  override readDueInMs(): number {
    const { state, clock, readAllowedAgeMs } = this.#options;
    // Before the first configuration there is no proof, only a last look.
    const sinceReadMs = clock.readMonotonicMs() - this.#readAtMs;
    return readAllowedAgeMs() - Math.min(state.configurationAgeMs, sinceReadMs);
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

  override recordProof(atMs: number): void {
    this.#readAtMs = atMs;
    if (this.#options.state.placed !== undefined) {
      this.#options.state.recordConfigurationProof(atMs);
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

/** Keeps the list of backend servers. */
export class ServersHandler extends TopicHandler {
  override readonly topic = TOPIC.servers;
  override readonly waitMs = 0;
  readonly #options: StoreHandlerOptions;
  #hasSnapshot = false;
  #removalsWaitUntilMs = 0;

  /**
   * Prepares the handler.
   *
   * @param options - what it works with
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
    const { state, readAllowedAgeMs } = this.#options;
    return readAllowedAgeMs() - state.serversAgeMs;
  }

  override applySnapshot(
    records: readonly KeyedRecord[],
    endOffset: number,
  ): void {
    this.#hasSnapshot = true;
    this.#checkAbsence();
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
    this.#checkAbsence();
    const isChanged = this.#applyAll(records);
    this.#options.state.servers.markRead(nextOffset);
    if (isChanged) {
      this.#notify();
    }
  }

  override recordProof(atMs: number): void {
    this.#options.state.recordServersProof(atMs);
  }

  /** Lets removals that waited take effect. */
  expireRemoved(): void {
    const { state, clock } = this.#options;
    if (state.servers.expireRemoved(clock.readMonotonicMs())) {
      this.#notify();
    }
  }

  // Where no VM that this one hears of reached the store for a while, the store
  // was away, and servers that lapsed meanwhile get time to come back. A VM that
  // was turned away alone has fresh news from the others.
  #checkAbsence(): void {
    const { state, clock } = this.#options;
    const ageMs = state.serversAgeMs;
    if (Number.isFinite(ageMs) && ageMs > STORE_AWAY_MS) {
      this.#removalsWaitUntilMs = clock.readMonotonicMs() + REAPPEAR_MS;
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
    return Math.max(nowMs, this.#removalsWaitUntilMs);
  }

  #notify(): void {
    const { state, clock, notifyChange } = this.#options;
    state.servers.expireRemoved(clock.readMonotonicMs());
    state.notifyListeners();
    notifyChange();
  }
}

/** Learns of the other VMs. Read only while none of them answers. */
export class VmsHandler extends TopicHandler {
  override readonly topic = TOPIC.vms;
  override readonly waitMs = 0;
  readonly #state: FleetState;
  readonly #clock: Clock;
  readonly #isAlone: () => boolean;
  #nextOffset: number | undefined;
  #provenAtMs = -Infinity;

  /**
   * Prepares the handler.
   *
   * @param options - what this VM knows, and its clock
   * @param isAlone - true while no other VM answers
   */
  constructor(
    options: { readonly state: FleetState; readonly clock: Clock },
    isAlone: () => boolean,
  ) {
    super();
    this.#state = options.state;
    this.#clock = options.clock;
    this.#isAlone = isAlone;
  }

  override readNextOffset(): number | undefined {
    return this.#nextOffset;
  }

  override readDueInMs(): number {
    return this.#isAlone()
      ? ALONE_READ_INTERVAL_MS - this.#readAgeMs()
      : IDLE_MS;
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

  override recordProof(atMs: number): void {
    this.#provenAtMs = atMs;
  }

  #readAgeMs(): number {
    return this.#clock.readMonotonicMs() - this.#provenAtMs;
  }
}
