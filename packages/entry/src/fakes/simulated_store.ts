/** Store in memory that can return from an older copy, for simulations. */

import type { LogPosition } from "@limpetford/core/fleet/log_position";
import type { KeyedRecord } from "@limpetford/platform/store/log_records";

import type { TopicHandler } from "../fleet/topic_consumer.ts";

/** Records of one topic; their offsets are their indexes. */
export interface SimulatedTopic {
  readonly records: KeyedRecord[];
}

/** Two topics, the configuration and the servers, that return from a copy. */
export class SimulatedStore {
  era = 0;
  calls = 0;
  isAway = false;
  configuration: SimulatedTopic = { records: [] };
  servers: SimulatedTopic = { records: [] };
  #copy = { configuration: 0, servers: 0 };

  /** Copies both topics. */
  takeCopy(): void {
    this.#copy = {
      configuration: this.configuration.records.length,
      servers: this.servers.records.length,
    };
  }

  /** Drops what was written since the copy, and raises the era. */
  returnFromCopy(): void {
    this.era += 1;
    this.configuration.records.length = this.#copy.configuration;
    this.servers.records.length = this.#copy.servers;
  }

  /**
   * Appends a record.
   *
   * @param topic - topic to append to
   * @param key - key of the record
   * @param value - document to store as JSON; undefined to remove the key
   */
  append(topic: SimulatedTopic, key: string, value: unknown): void {
    topic.records.push({
      key,
      offset: topic.records.length,
      value: value === undefined
        ? undefined
        : Buffer.from(JSON.stringify(value)),
    });
  }

  /**
   * Reads as `TopicConsumer` does: a snapshot first and after each loss.
   *
   * @param handler - applies what is read
   * @param topic - topic to read
   * @param nowMs - monotonic time, in milliseconds
   */
  read(handler: TopicHandler, topic: SimulatedTopic, nowMs: number): void {
    this.calls += 1;
    const { era } = this;
    const end: LogPosition = { era, offset: topic.records.length };
    const from = handler.readNextPosition();
    if (from?.era !== era || from.offset > end.offset) {
      const newest = new Map(topic.records.map((one) => [one.key, one]));
      const live = [...newest.values()].filter(({ value }) =>
        value !== undefined
      );
      handler.applySnapshot(live, end);
    } else {
      handler.applyRecords(topic.records.slice(from.offset), end);
    }
    handler.recordFreshness(nowMs);
  }
}
