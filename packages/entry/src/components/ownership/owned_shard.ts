/** One shard at this VM: its state machine, its claims and its log stream. */

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

const CLAIMS_PER_RECORD = 200;
const CLAIMS_PER_APPEND = 1_000;
const PAGE_RECORDS = 1_000;

/** What an {@link OwnedShard} needs. */
export interface OwnedShardOptions {
  readonly shard: ShardId;
  readonly self: VmIncarnation;
  readonly clock: Clock;
  readonly log: LogService;
  readonly settings: OwnershipSettings;
  /** Called after each event. */
  readonly notifyChange: (shard: OwnedShard) => void;
}

/**
 * Keeps the state of one shard and applies its stream. Calls to the log run
 * one after the other.
 */
export class OwnedShard {
  readonly shard: ShardId;
  readonly claims: ClaimTable;
  readonly #options: OwnedShardOptions;
  readonly #actor;
  readonly #unlogged = new Map<string, ClaimItem>();
  #tail: Promise<unknown> = Promise.resolve();
  #polledAtMs = -Infinity;
  #checkpointAtMs = -Infinity;

  /**
   * Starts the state machine; nothing is read yet.
   *
   * @param options - shard, clock and log
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
   * State of the shard.
   *
   * @returns the state after the last event
   */
  get replica(): ShardReplica {
    return this.#actor.getSnapshot().context;
  }

  /**
   * Time of the last read up to the end of the stream.
   *
   * @returns monotonic milliseconds
   */
  get polledAtMs(): number {
    return this.#polledAtMs;
  }

  /**
   * Time of the last record that states the whole ownership, or of the last
   * try to write one.
   *
   * @returns monotonic milliseconds
   */
  get checkpointAtMs(): number {
    return this.#checkpointAtMs;
  }

  /**
   * Checks whether claims or their ends wait to be written to the log.
   *
   * @returns true if some do
   */
  hasUnloggedItems(): boolean {
    return this.#unlogged.size > 0;
  }

  /**
   * Sends an event to the state machine.
   *
   * @param event - what happened
   */
  send(event: ShardEvent): void {
    this.#actor.send(event);
    this.#options.notifyChange(this);
  }

  /**
   * Applies claim items and keeps them for the next append.
   *
   * @param items - claims and ends of claims
   */
  addItems(items: readonly ClaimItem[]): void {
    for (const item of items) {
      this.claims.apply(item);
      this.#unlogged.set(formatItemName(item), item);
    }
  }

  /**
   * Reads the stream to its end.
   *
   * @returns true if the end was reached
   */
  async poll(): Promise<boolean> {
    return await this.#runInTurn(() => this.#readToEnd());
  }

  /**
   * Appends all claim items that are not in the log yet.
   *
   * @returns true if the log has placed them
   */
  async flushClaims(): Promise<boolean> {
    return await this.#runInTurn(async () => {
      return await this.#appendItems([...this.#unlogged.values()]);
    });
  }

  /**
   * Appends the pending ownership record behind all unlogged claim items, so
   * that the next standby reads them before it reads that it is the standby.
   *
   * @returns true if the log has placed it and it has been read back
   */
  async appendPending(): Promise<boolean> {
    return await this.#runInTurn(async () => {
      const record = this.replica.pending?.record;
      if (record === undefined) {
        return true;
      }
      return await this.#appendOwnership(record);
    });
  }

  /**
   * Writes ownership and all claims again, before their records expire.
   *
   * @param record - checkpoint of the epoch in force
   */
  async appendCheckpoint(record: OwnershipRecord): Promise<void> {
    await this.#runInTurn(async () => {
      this.#checkpointAtMs = this.#options.clock.readMonotonicMs();
      if ((await this.#append([encodeShardRecord(record)])) !== undefined) {
        await this.#appendItems(this.claims.listItems());
      }
    });
  }

  async #appendOwnership(record: OwnershipRecord): Promise<boolean> {
    if (!await this.#appendSurplus()) {
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

  // After a long outage, leaves no more than fits into one append.
  async #appendSurplus(): Promise<boolean> {
    const items = [...this.#unlogged.values()];
    const surplus = Math.max(0, items.length - CLAIMS_PER_APPEND);
    return await this.#appendItems(items.slice(0, surplus));
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
      this.#unlogged.delete(formatItemName(item));
    }
  }

  async #readToEnd(): Promise<boolean> {
    for (;;) {
      const result = await this.#options.log.read(
        formatShardStream(this.shard),
        { fromOffset: this.replica.nextOffset, limit: PAGE_RECORDS },
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

  // Claims of a VM outside the pair come too late: they were never dispatched.
  #applyClaims(record: Extract<ShardRecord, { kind: "claims" }>): void {
    const { ownership } = this.replica;
    if (ownership.isEpochKnown && !isPairMember(ownership, record.proposer)) {
      return;
    }
    for (const item of record.items) {
      this.claims.apply(item);
    }
    this.#removeLogged(record.items);
  }

  async #runInTurn<T>(run: () => Promise<T>): Promise<T> {
    const result = this.#tail.then(run);
    this.#tail = result.catch(() => undefined);
    return await result;
  }
}

function formatItemName(item: ClaimItem): string {
  return `${item.kind} ${item.claimId}`;
}
