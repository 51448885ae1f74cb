/** The idempotency keys of one shard. */

import { type TeamId, toId } from "@limpetford/domain/ids";
import { LRUCache } from "lru-cache";

import {
  type ClaimDecision,
  type ClaimEntry,
  type ClaimLookup,
  decideClaim,
  foldClaimItem,
} from "./claim_decision.ts";
import type {
  ClaimItem,
  ClaimOutcome,
  StoredResponse,
} from "./claim_record.ts";

/** Settings of a {@link ClaimTable}. */
export interface ClaimTableOptions {
  /** Time for which a key is kept; longer than callers resend. */
  readonly retentionMs: number;
  /** Limit for kept answers, in bytes of memory. */
  readonly answerBytes: number;
}

/** Names one idempotency key of a shard. */
export interface ClaimKey {
  readonly team: TeamId;
  readonly idempotencyKey: string;
}

/** A look-up in a {@link ClaimTable}. */
export interface TableLookup extends Omit<ClaimLookup, "entry"> {
  readonly key: ClaimKey;
}

const NOT_KEPT: ClaimOutcome = { kind: "answered-not-kept" };
/** Stands in an entry for the answer that the cache keeps. */
const CACHED: ClaimOutcome = {
  kind: "answered",
  answer: { status: 0, headers: [], body: "" },
};
/** Memory of a cached answer besides its texts. */
const ANSWER_OVERHEAD_BYTES = 500;
const SEPARATOR = "\n";

/**
 * Folds claim items and answers look-ups. Kept answers are evicted, least
 * recently used first, when they exceed their limit; the keys stay.
 */
export class ClaimTable {
  readonly #entries = new Map<string, ClaimEntry>();
  readonly #answers: LRUCache<string, StoredResponse>;
  readonly #retentionMs: number;

  /**
   * Creates an empty table.
   *
   * @param options - retention and limits
   */
  constructor(options: ClaimTableOptions) {
    this.#retentionMs = options.retentionMs;
    this.#answers = new LRUCache({
      maxSize: options.answerBytes,
      sizeCalculation: countAnswerBytes,
    });
  }

  /**
   * Number of keys.
   *
   * @returns the number
   */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Applies one item.
   *
   * @param item - a claim or the end of one
   */
  apply(item: ClaimItem): void {
    const name = formatKey(item);
    const before = this.#entries.get(name);
    const after = foldClaimItem(before, item);
    if (after === before) {
      return;
    }
    if (after === undefined) {
      this.#entries.delete(name);
      return;
    }
    this.#entries.set(name, this.#storeAnswer(after));
  }

  /**
   * Decides on a request.
   *
   * @param lookup - its key and fingerprint
   * @returns the decision
   */
  decide(lookup: TableLookup): ClaimDecision {
    const entry = this.#entries.get(formatKey(lookup.key));
    const decision = decideClaim({ ...lookup, entry });
    if (decision.kind !== "ended") {
      return decision;
    }
    const { claimId, outcome } = decision;
    return { kind: "ended", claimId, outcome: this.#load(claimId, outcome) };
  }

  /**
   * Drops the keys whose retention has ended.
   *
   * @param nowMs - wall-clock time
   */
  expire(nowMs: number): void {
    for (const [name, entry] of this.#entries) {
      if (entry.claimedAtMs + this.#retentionMs <= nowMs) {
        this.#entries.delete(name);
      }
    }
  }

  /**
   * Lists all keys as items, for a checkpoint.
   *
   * @returns the items, oldest claim first
   */
  listItems(): readonly ClaimItem[] {
    return [...this.#entries].flatMap(([name, entry]) =>
      this.#listEntryItems(parseKey(name), entry)
    );
  }

  #listEntryItems(key: ClaimKey, entry: ClaimEntry): readonly ClaimItem[] {
    const { ended } = entry;
    const claimIds = ended === undefined ? entry.openClaimIds : [ended.claimId];
    const claims = claimIds.map((claimId): ClaimItem => ({
      kind: "claimed",
      ...key,
      claimId,
      fingerprint: entry.fingerprint,
      claimedAtMs: entry.claimedAtMs,
      supersedes: entry.supersedes,
    }));
    if (ended === undefined) {
      return claims;
    }
    const { claimId } = ended;
    const outcome = this.#load(claimId, ended.outcome);
    return [...claims, { kind: "settled", ...key, claimId, outcome }];
  }

  // Moves the answer out of the entry into the bounded cache.
  #storeAnswer(entry: ClaimEntry): ClaimEntry {
    const { ended } = entry;
    if (ended?.outcome.kind !== "answered" || ended.outcome === CACHED) {
      return entry;
    }
    this.#answers.set(ended.claimId, ended.outcome.answer);
    return { ...entry, ended: { ...ended, outcome: CACHED } };
  }

  #load(claimId: string, outcome: ClaimOutcome): ClaimOutcome {
    if (outcome.kind !== "answered") {
      return outcome;
    }
    const answer = this.#answers.get(claimId);
    return answer === undefined ? NOT_KEPT : { kind: "answered", answer };
  }
}

function formatKey(key: ClaimKey): string {
  return key.team + SEPARATOR + key.idempotencyKey;
}

// Teams are named in a sheet's cell and hold no line break.
function parseKey(name: string): ClaimKey {
  const end = name.indexOf(SEPARATOR);
  return {
    team: toId<TeamId>(name.slice(0, end)),
    idempotencyKey: name.slice(end + 1),
  };
}

function countAnswerBytes(answer: StoredResponse): number {
  const headerBytes = answer.headers.reduce(
    (sum, [name, value]) => sum + name.length + value.length,
    0,
  );
  return ANSWER_OVERHEAD_BYTES + headerBytes + answer.body.length;
}
