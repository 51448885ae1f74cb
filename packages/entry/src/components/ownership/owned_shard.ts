/** State of one shard at this VM, kept in step with its log stream. */

import type { ClaimItem } from "@limpetford/core/claims/claim_record";
import { ClaimTable } from "@limpetford/core/claims/claim_table";
import { isPairMember } from "@limpetford/core/ownership/ownership_fold";
import {
  formatShardStream,
  type OwnershipRecord,
} from "@limpetford/core/ownership/ownership_record";
import {
  SHARD_MACHINE,
  type ShardEvent,
} from "@limpetford/core/ownership/shard_machine";
import type { ShardReplica } from "@limpetford/core/ownership/shard_replica";
import type { Clock } from "@limpetford/core/time/clock";
import type { ShardId } from "@limpetford/domain/ids";
import type { VmIncarnation } from "@limpetford/domain/vm";
import type {
  LogPage,
  LogRecord,
  LogService,
} from "@limpetford/platform/log_service";
import { createActor } from "xstate";

import type { OwnershipSettings } from "./ownership_settings.ts";
import {
  decodeShardRecord,
  encodeShardRecord,
  type ShardRecord,
} from "./shard_record_codec.ts";

/** Maximum number of claim items in one log record. */
const CLAIMS_PER_RECORD = 200;
/** Maximum number of claim items in one append to the log. */
const CLAIMS_PER_APPEND = 1_000;
/** Maximum number of records in one read from the log. */
const MAX_PAGE_RECORDS = 1_000;

/** Dependencies of an {@link OwnedShard}. */
export interface OwnedShardOptions {
  readonly shard: ShardId;
  readonly self: VmIncarnation;
  readonly clock: Clock;
  readonly log: LogService;
  readonly settings: OwnershipSettings;
  /** Called after each event that the state machine has processed. */
  readonly notifyChange: (shard: OwnedShard) => void;
}

/**
 * Keeps the ownership state machine and the claims of one shard, and applies
 * the records of its log stream to both. Calls to the log run one at a time, in
 * the order in which they were requested.
 */
export class OwnedShard {
  readonly shard: ShardId;
  readonly claims: ClaimTable;
  readonly #options: OwnedShardOptions;
  readonly #actor;
  readonly #unlogged = new Map<string, ClaimItem>();
  #lastCall: Promise<unknown> = Promise.resolve();
  #polledAtMs = -Infinity;
  #checkpointAtMs = -Infinity;

  /**
   * Starts the state machine; the log is first read by {@link poll}.
   *
   * @param options - shard, this VM's incarnation, clock, log and settings
   */
  constructor(options: OwnedShardOptions) {
    this.shard = options.shard;
    this.#options = options;
    this.claims = new ClaimTable({
      retentionMs: options.settings.claimRetentionMs,
      answerBytes: options.settings.responseCacheBytes,
    });
    this.#actor = createActor(SHARD_MACHINE, {
      input: { shard: options.shard, self: options.self },
    });
    this.#actor.start();
  }

  /**
   * Ownership state of the shard as this VM knows it.
   *
   * @returns immutable snapshot of the state after the last event
   */
  get replica(): ShardReplica {
    return this.#actor.getSnapshot().context;
  }

  /**
   * Time of the last read that reached the end of the stream.
   *
   * @returns monotonic milliseconds; -Infinity before the first such read
   */
  get polledAtMs(): number {
    return this.#polledAtMs;
  }

  /**
   * Time at which the last ownership record was read, or at which the last
   * checkpoint was attempted, whichever is later.
   *
   * @returns monotonic milliseconds; -Infinity if there was neither
   */
  get checkpointAtMs(): number {
    return this.#checkpointAtMs;
  }

  /**
   * Checks whether claims or outcomes are waiting to be written to the log.
   *
   * @returns true if at least one item is waiting
   */
  hasUnloggedItems(): boolean {
    return this.#unlogged.size > 0;
  }

  /**
   * Sends an event to the state machine and notifies the owner of the change.
   *
   * @param event - event to process
   */
  send(event: ShardEvent): void {
    this.#actor.send(event);
    this.#options.notifyChange(this);
  }

  /**
   * Applies claim items and queues them for the next append to the log.
   *
   * @param items - claims and outcomes of claims
   */
  addItems(items: readonly ClaimItem[]): void {
    for (const item of items) {
      this.claims.apply(item);
      this.#unlogged.set(formatItemKey(item), item);
    }
  }

  /**
   * Reads the stream to its end and applies the records.
   *
   * @returns true if the end was reached; false if the log did not respond or
   * returned no further records
   */
  async poll(): Promise<boolean> {
    return await this.#runSerially(() => this.#readToEnd());
  }

  /**
   * Appends all queued claim items to the log.
   *
   * @returns true if the log has accepted all of them
   */
  async flushClaims(): Promise<boolean> {
    return await this.#runSerially(async () => {
      return await this.#appendItems([...this.#unlogged.values()]);
    });
  }

  /**
   * Appends the pending ownership record after all queued claim items, so that
   * a new standby reads the claims before the record that names it standby.
   *
   * @returns true if there is no pending record, or if the log has accepted it
   * and the stream has been read to its end afterwards
   */
  async appendPending(): Promise<boolean> {
    return await this.#runSerially(async () => {
      const record = this.replica.pending?.record;
      if (record === undefined) {
        return true;
      }
      return await this.#appendOwnership(record);
    });
  }

  /**
   * Appends a checkpoint of ownership and all claims, which keeps them in the
   * log when the original records expire.
   *
   * @param record - checkpoint of the current epoch
   */
  async appendCheckpoint(record: OwnershipRecord): Promise<void> {
    await this.#runSerially(async () => {
      this.#checkpointAtMs = this.#options.clock.readMonotonicMs();
      if ((await this.#append([encodeShardRecord(record)])) !== undefined) {
        await this.#appendItems(this.claims.listItems());
      }
    });
  }

  async #appendOwnership(record: OwnershipRecord): Promise<boolean> {
    if (!await this.#appendExcess()) {
      this.send({ type: "append-failed" });
      return false;
    }
    const items = [...this.#unlogged.values()];
    const payloads = [...this.#encodeItems(items), encodeShardRecord(record)];
    const result = await this.#options.log.append(
      formatShardStream(this.shard),
      payloads,
    );
    if (!result.ok) {
      const isUnknown = result.error.kind === "append-outcome-unknown";
      this.send({ type: isUnknown ? "append-unknown" : "append-failed" });
      return false;
    }
    this.send({
      type: "append-placed",
      offset: result.value + payloads.length - 1,
    });
    this.#removeLogged(items);
    return await this.#readToEnd();
  }

  async #appendItems(items: readonly ClaimItem[]): Promise<boolean> {
    for (let from = 0; from < items.length; from += CLAIMS_PER_APPEND) {
      const chunk = items.slice(from, from + CLAIMS_PER_APPEND);
      if ((await this.#append(this.#encodeItems(chunk))) === undefined) {
        return false;
      }
      this.#removeLogged(chunk);
    }
    return true;
  }

  // After a long outage of the log, more items may be queued than one append
  // holds. The excess is appended first, so that the rest fits into one append
  // with the ownership record.
  async #appendExcess(): Promise<boolean> {
    const items = [...this.#unlogged.values()];
    const excess = Math.max(0, items.length - CLAIMS_PER_APPEND);
    return await this.#appendItems(items.slice(0, excess));
  }

  async #append(payloads: readonly Uint8Array[]): Promise<number | undefined> {
    const result = await this.#options.log.append(
      formatShardStream(this.shard),
      payloads,
    );
    return result.ok ? result.value : undefined;
  }

  #encodeItems(items: readonly ClaimItem[]): readonly Uint8Array[] {
    const payloads: Uint8Array[] = [];
    for (let start = 0; start < items.length; start += CLAIMS_PER_RECORD) {
      payloads.push(encodeShardRecord({
        kind: "claims",
        proposer: this.#options.self,
        items: items.slice(start, start + CLAIMS_PER_RECORD),
      }));
    }
    return payloads;
  }

  #removeLogged(items: readonly ClaimItem[]): void {
    for (const item of items) {
      this.#unlogged.delete(formatItemKey(item));
    }
  }

  async #readToEnd(): Promise<boolean> {
    for (;;) {
      const result = await this.#options.log.read(
        formatShardStream(this.shard),
        { fromOffset: this.replica.nextOffset, limit: MAX_PAGE_RECORDS },
      );
      if (!result.ok) {
        if (result.error.kind !== "records-expired") {
          return false;
        }
        const { oldestOffset } = result.error;
        if (oldestOffset <= this.replica.nextOffset) {
          return false;
        }
        this.send({ type: "records-expired", oldestOffset });
        continue;
      }
      this.#applyPage(result.value);
      if (this.replica.nextOffset >= result.value.endOffset) {
        this.#polledAtMs = this.#options.clock.readMonotonicMs();
        return true;
      }
      if (result.value.records.length === 0) {
        return false;
      }
    }
  }

  #applyPage(page: LogPage): void {
    for (const record of page.records) {
      if (record.offset === this.replica.nextOffset) {
        this.#applyRecord(record);
      }
    }
  }

  #applyRecord({ offset, payload }: LogRecord): void {
    const record = decodeShardRecord(payload);
    if (record?.kind === "claims") {
      this.#applyClaims(record);
    }
    const isOwnership = record?.kind === "ownership";
    this.send({
      type: "records-read",
      records: isOwnership ? [{ offset, record }] : [],
      nextOffset: offset + 1,
      atMs: this.#options.clock.readMonotonicMs(),
      firstPromiseMs: 2 * this.#options.settings.promiseMs,
    });
    if (isOwnership) {
      this.#checkpointAtMs = this.#options.clock.readMonotonicMs();
    }
  }

  // Claims by a VM that is neither holder nor standby were appended after it
  // lost the shard. Their requests were never dispatched, so they are skipped,
  // unlike the ends of its earlier claims.
  #applyClaims(record: Extract<ShardRecord, { kind: "claims" }>): void {
    const { ownership } = this.replica;
    const isLate = ownership.isEpochKnown &&
      !isPairMember(ownership, record.proposer);
    const items = isLate
      ? record.items.filter((item) => item.kind === "settled")
      : record.items;
    for (const item of items) {
      this.claims.apply(item);
    }
    this.#removeLogged(items);
  }

  async #runSerially<T>(run: () => Promise<T>): Promise<T> {
    const result = this.#lastCall.then(run);
    this.#lastCall = result.catch(() => undefined);
    return await result;
  }
}

function formatItemKey(item: ClaimItem): string {
  return `${item.kind} ${item.claimId}`;
}
