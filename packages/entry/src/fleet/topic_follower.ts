/** Follows one topic of the platform's store. */

import type { Clock } from "@limpetford/core/time/clock";
import type { KeyedRecord } from "@limpetford/platform/store/log_records";
import type { StoreClient } from "@limpetford/platform/store/store_client";
import {
  formatStoreError,
  type StoreError,
} from "@limpetford/platform/store/store_error";
import type { Topic } from "@limpetford/platform/store/wire_names";

import type { FleetLog } from "./fleet_log.ts";

const FIRST_RETRY_MS = 150;
const LONGEST_RETRY_MS = 1_000;
const RETRY_FACTOR = 2;
/** Shortest pause before it is checked again whether a read is due. */
const LEAST_PAUSE_MS = 20;
/** Longest such pause: a read that is not due at all may become due. */
const LONGEST_PAUSE_MS = 250;

/** What is done with the records of a topic. */
export abstract class TopicHandler {
  abstract readonly topic: Topic;
  /** How long a read waits for a record, in milliseconds. */
  abstract readonly waitMs: number;

  /**
   * Offset from which reading goes on, as this VM knows it from any source.
   *
   * @returns undefined before the first snapshot
   */
  abstract readNextOffset(): number | undefined;

  /**
   * Reads how long a read can still wait, since others may have told the news.
   *
   * @returns milliseconds until a read is due
   */
  abstract readDueInMs(): number;

  /**
   * Applies the newest record of each key.
   *
   * @param records - the records
   * @param endOffset - reading goes on from here
   */
  abstract applySnapshot(
    records: readonly KeyedRecord[],
    endOffset: number,
  ): void;

  /**
   * Applies records in their order.
   *
   * @param records - the records
   * @param nextOffset - reading goes on from here
   */
  abstract applyRecords(
    records: readonly KeyedRecord[],
    nextOffset: number,
  ): void;

  /**
   * Notes that all records up to a moment are known.
   *
   * @param atMs - monotonic time for which this holds
   */
  abstract recordProof(atMs: number): void;
}

/** What a follower works with. */
export interface TopicFollowerOptions {
  readonly client: StoreClient;
  readonly clock: Clock;
  readonly log: FleetLog;
}

/**
 * Reads a topic from its newest records on. It reads only when its knowledge
 * is older than the handler allows, so that a VM which hears the news from
 * others leaves the store alone.
 */
export class TopicFollower {
  readonly #handler: TopicHandler;
  readonly #options: TopicFollowerOptions;
  #failures = 0;
  #isStopped = false;
  #timer: NodeJS.Timeout | undefined;
  #wake: (() => void) | undefined;

  /**
   * Prepares a follower.
   *
   * @param handler - what is done with the records
   * @param options - what it works with
   */
  constructor(handler: TopicHandler, options: TopicFollowerOptions) {
    this.#handler = handler;
    this.#options = options;
  }

  /**
   * Reads until it is stopped.
   */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const dueInMs = this.#handler.readDueInMs();
      if (dueInMs > 0) {
        await this.#wait(
          Math.min(LONGEST_PAUSE_MS, Math.max(LEAST_PAUSE_MS, dueInMs)),
        );
        continue;
      }
      const error = await this.#readOnce();
      if (error === undefined) {
        this.#recordSuccess();
      } else {
        await this.#handleFailure(error);
      }
    }
  }

  /** Ends after the read that is under way. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    this.#wake?.();
  }

  async #readOnce(): Promise<StoreError | undefined> {
    const { topic, waitMs } = this.#handler;
    const sentAtMs = this.#options.clock.readMonotonicMs();
    const from = this.#handler.readNextOffset();
    if (from === undefined) {
      return await this.#loadSnapshot(sentAtMs);
    }
    const part = await this.#options.client.readLog(topic, { from, waitMs });
    if (!part.ok) {
      return part.error.kind === "expired"
        ? await this.#loadSnapshot(sentAtMs)
        : part.error;
    }
    const { records, nextOffset, endOffset } = part.value;
    this.#handler.applyRecords(records, nextOffset);
    if (nextOffset >= endOffset) {
      this.#handler.recordProof(sentAtMs);
    }
    return undefined;
  }

  async #loadSnapshot(sentAtMs: number): Promise<StoreError | undefined> {
    const { topic } = this.#handler;
    const snapshot = await this.#options.client.fetchSnapshot(topic);
    if (!snapshot.ok) {
      return snapshot.error;
    }
    const { records, endOffset } = snapshot.value;
    this.#handler.applySnapshot(records, endOffset);
    this.#handler.recordProof(sentAtMs);
    return undefined;
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
    if (this.#failures === 1) {
      this.#options.log.record("store-lost", {
        topic: this.#handler.topic,
        cause: formatStoreError(error),
      });
    }
    const delayMs = FIRST_RETRY_MS * RETRY_FACTOR ** (this.#failures - 1);
    await this.#wait(Math.min(LONGEST_RETRY_MS, delayMs));
  }

  async #wait(durationMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#wake = resolve;
      this.#timer = setTimeout(resolve, durationMs);
    });
  }
}
