/** Consumes one topic of the platform's store. */

import type { LogPosition } from "@limpetford/core/fleet/log_position";
import type { Clock } from "@limpetford/core/time/clock";
import type { KeyedRecord } from "@limpetford/platform/store/log_records";
import type { StoreClient } from "@limpetford/platform/store/store_client";
import {
  formatStoreError,
  type StoreError,
} from "@limpetford/platform/store/store_error";
import type { Topic } from "@limpetford/platform/store/wire_names";

import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";
import { describeException } from "../telemetry/exception_report.ts";
import type { FleetLog } from "./fleet_log.ts";

const FIRST_RETRY_MS = 150;
const MAX_RETRY_MS = 1_000;
const RETRY_FACTOR = 2;
/** Shortest pause between checks whether a read is due. */
const MIN_PAUSE_MS = 20;
/** Longest such pause, since the time at which a read is due may move up. */
const MAX_PAUSE_MS = 250;

/** Applies the records of a topic and decides when the next read is due. */
export abstract class TopicHandler {
  abstract readonly topic: Topic;
  /** How long a read waits for a record, in milliseconds. */
  abstract readonly waitMs: number;

  /**
   * Returns the position of the next record to read. It also advances with data
   * that other VMs have sent.
   *
   * @returns the position; undefined to load a snapshot first
   */
  abstract readNextPosition(): LogPosition | undefined;

  /**
   * Returns the time until the next read is due. It grows when other VMs send
   * fresh data.
   *
   * @returns milliseconds; at most 0 if a read is due, infinite if none will be
   */
  abstract readDueInMs(): number;

  /**
   * Applies a snapshot: the newest record of each key.
   *
   * @param records - the records; a key without one has been removed
   * @param end - position of the next record to read
   */
  abstract applySnapshot(
    records: readonly KeyedRecord[],
    end: LogPosition,
  ): void;

  /**
   * Applies records in log order.
   *
   * @param records - the records; one without a value removes its key
   * @param next - position of the next record to read
   */
  abstract applyRecords(
    records: readonly KeyedRecord[],
    next: LogPosition,
  ): void;

  /**
   * Records that all records written up to a point in time have been applied.
   *
   * @param atMs - monotonic time at which the read was sent
   */
  abstract recordFreshness(atMs: number): void;

  /** Records that the store could not be read. By default this has no effect. */
  recordFailure(): void {
    return;
  }
}

/** Dependencies of a {@link TopicConsumer}. */
export interface TopicConsumerOptions {
  readonly client: StoreClient;
  readonly clock: Clock;
  readonly log: FleetLog;
  /** Receives what a turn throws; the next one follows. */
  readonly exceptions: ContainedExceptions;
}

/**
 * Loads a snapshot of a topic and then reads the records that follow. It reads
 * only when the handler's data is older than allowed, so that VMs which receive
 * fresh data from other VMs put no load on the store.
 */
export class TopicConsumer {
  readonly #handler: TopicHandler;
  readonly #options: TopicConsumerOptions;
  #failures = 0;
  #isStopped = false;
  #timer: NodeJS.Timeout | undefined;
  #wake: (() => void) | undefined;

  /**
   * Creates a consumer that does not read before {@link run}.
   *
   * @param handler - applies the records
   * @param options - store client, clock and log
   */
  constructor(handler: TopicHandler, options: TopicConsumerOptions) {
    this.#handler = handler;
    this.#options = options;
  }

  /** Reads whenever a read is due, with backoff on errors, until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      try {
        await this.#runTurn();
      } catch (error) {
        this.#options.exceptions.report(EXCEPTION_SOURCE.store, error);
        await this.#wait(MAX_RETRY_MS);
      }
    }
  }

  /** Stops reading; a read in progress is completed first. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    this.#wake?.();
  }

  async #runTurn(): Promise<void> {
    const dueInMs = this.#handler.readDueInMs();
    if (dueInMs > 0) {
      await this.#wait(Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, dueInMs)));
      return;
    }
    const error = await this.#readGuarded();
    if (error === undefined) {
      this.#recordSuccess();
    } else {
      await this.#handleFailure(error);
    }
  }

  async #readGuarded(): Promise<StoreError | undefined> {
    try {
      return await this.#readOnce();
    } catch (error) {
      this.#options.exceptions.report(EXCEPTION_SOURCE.store, error);
      return { kind: "malformed", cause: describeException(error).cause };
    }
  }

  async #readOnce(): Promise<StoreError | undefined> {
    const { topic, waitMs } = this.#handler;
    const sentAtMs = this.#options.clock.readMonotonicMs();
    const from = this.#handler.readNextPosition();
    if (from === undefined || from.era < this.#options.client.era) {
      return await this.#loadSnapshot(sentAtMs);
    }
    const part = await this.#options.client.readLog(topic, { from, waitMs });
    if (!part.ok) {
      const { kind } = part.error;
      return kind === "expired" || kind === "era-changed"
        ? await this.#loadSnapshot(sentAtMs)
        : part.error;
    }
    const { records, next, end } = part.value;
    this.#handler.applyRecords(records, next);
    if (next.offset >= end.offset) {
      this.#handler.recordFreshness(sentAtMs);
    }
    return undefined;
  }

  async #loadSnapshot(sentAtMs: number): Promise<StoreError | undefined> {
    const { topic } = this.#handler;
    const snapshot = await this.#options.client.fetchSnapshot(topic);
    if (!snapshot.ok) {
      return snapshot.error;
    }
    const { records, end } = snapshot.value;
    this.#checkEra(end);
    this.#handler.applySnapshot(records, end);
    this.#handler.recordFreshness(sentAtMs);
    return undefined;
  }

  #checkEra(end: LogPosition): void {
    const before = this.#handler.readNextPosition();
    if (before !== undefined && before.era < end.era) {
      this.#options.log.record("store-returned", {
        topic: this.#handler.topic,
        eraBefore: before.era,
        offsetBefore: before.offset,
        era: end.era,
        offset: end.offset,
      });
    }
  }

  #recordSuccess(): void {
    if (this.#failures > 0) {
      this.#options.log.record("store-regained", {
        topic: this.#handler.topic,
        failures: this.#failures,
      });
      this.#failures = 0;
    }
  }

  async #handleFailure(error: StoreError): Promise<void> {
    this.#failures += 1;
    if (isUnread(error)) {
      this.#handler.recordFailure();
    }
    if (this.#failures === 1) {
      this.#options.log.record("store-lost", {
        topic: this.#handler.topic,
        cause: formatStoreError(error),
      });
    }
    const delayMs = FIRST_RETRY_MS * RETRY_FACTOR ** (this.#failures - 1);
    await this.#wait(Math.min(MAX_RETRY_MS, delayMs));
  }

  async #wait(durationMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#wake = resolve;
      this.#timer = setTimeout(resolve, durationMs);
    });
  }
}

// Other errors are answers of a store that can be read.
function isUnread({ kind }: StoreError): boolean {
  return kind === "not-done" || kind === "no-answer";
}
