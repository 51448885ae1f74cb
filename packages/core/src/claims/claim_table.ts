/** Table of the idempotency keys of one shard and their claims. */

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
  /**
   * Time in milliseconds for which a key is kept; longer than callers retry.
   */
  readonly retentionMs: number;
  /** Memory limit for stored responses, in bytes. */
  readonly answerBytes: number;
}

/** Identifies one idempotency key of a shard. */
export interface ClaimKey {
  readonly team: TeamId;
  readonly idempotencyKey: string;
}

/** A request to look up in a {@link ClaimTable}. */
export interface TableLookup extends Omit<ClaimLookup, "entry"> {
  readonly key: ClaimKey;
}

const RESPONSE_NOT_STORED: ClaimOutcome = { kind: "answered-not-kept" };
/** Placeholder in an entry for a response that is held by the cache. */
const RESPONSE_IN_CACHE: ClaimOutcome = {
  kind: "answered",
  answer: { status: 0, headers: [], body: "" },
};
/** Memory used by a cached response in addition to its strings, in bytes. */
const RESPONSE_OVERHEAD_BYTES = 500;
const KEY_SEPARATOR = "\n";
/** Claims that did not run, which the log may still bring: those of seconds. */
const MAX_NOT_RUN_CLAIMS = 4_096;

/**
 * Applies claim items and decides on requests. When stored responses exceed
 * their memory limit, the least recently used ones are evicted; their keys
 * stay.
 */
export class ClaimTable {
  readonly #entries = new Map<string, ClaimEntry>();
  readonly #responses: LRUCache<string, StoredResponse>;
  readonly #notRunClaims = new Set<string>();
  readonly #retentionMs: number;

  /**
   * Creates an empty table.
   *
   * @param options - retention of keys and memory limit of responses
   */
  constructor(options: ClaimTableOptions) {
    this.#retentionMs = options.retentionMs;
    this.#responses = new LRUCache({
      maxSize: options.answerBytes,
      sizeCalculation: countResponseBytes,
    });
  }

  /**
   * Number of claimed keys.
   *
   * @returns count of keys, including those past their retention until `expire`
   */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Applies one claim item to the entry of its key. A claim that is known not
   * to have run has no effect when it arrives again, as it does from the log.
   *
   * @param item - a claim or the end of one
   */
  apply(item: ClaimItem): void {
    if (item.kind === "claimed" && this.#notRunClaims.has(item.claimId)) {
      return;
    }
    if (item.kind === "settled" && item.outcome.kind === "not-run") {
      this.#addNotRun(item.claimId);
    }
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
    this.#entries.set(name, this.#storeResponse(after));
  }

  /**
   * Decides what to do with a request that carries an idempotency key.
   *
   * @param lookup - key and fingerprint of the request
   * @returns the decision, with the stored response if it has not been evicted
   */
  decide(lookup: TableLookup): ClaimDecision {
    const entry = this.#entries.get(formatKey(lookup.key));
    const decision = decideClaim({ ...lookup, entry });
    if (decision.kind !== "ended") {
      return decision;
    }
    const { claimId, outcome } = decision;
    return {
      kind: "ended",
      claimId,
      outcome: this.#loadOutcome(claimId, outcome),
    };
  }

  /**
   * Drops the keys whose retention has ended.
   *
   * @param nowMs - wall-clock time in milliseconds
   */
  expire(nowMs: number): void {
    for (const [name, entry] of this.#entries) {
      if (entry.claimedAtMs + this.#retentionMs <= nowMs) {
        this.#entries.delete(name);
      }
    }
  }

  /**
   * Lists the claim items from which this table can be rebuilt, for a
   * checkpoint.
   *
   * @returns the items of all keys, in the order in which the keys were
   * first claimed
   */
  listItems(): readonly ClaimItem[] {
    return [...this.#entries].flatMap(([name, entry]) =>
      this.#listEntryItems(parseKey(name), entry)
    );
  }

  #addNotRun(claimId: string): void {
    this.#notRunClaims.add(claimId);
    if (this.#notRunClaims.size > MAX_NOT_RUN_CLAIMS) {
      const [oldest = claimId] = this.#notRunClaims;
      this.#notRunClaims.delete(oldest);
    }
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
    const outcome = this.#loadOutcome(claimId, ended.outcome);
    return [...claims, { kind: "settled", ...key, claimId, outcome }];
  }

  // Moves the response from the entry to the bounded cache.
  #storeResponse(entry: ClaimEntry): ClaimEntry {
    const { ended } = entry;
    if (
      ended?.outcome.kind !== "answered" || ended.outcome === RESPONSE_IN_CACHE
    ) {
      return entry;
    }
    this.#responses.set(ended.claimId, ended.outcome.answer);
    return { ...entry, ended: { ...ended, outcome: RESPONSE_IN_CACHE } };
  }

  #loadOutcome(claimId: string, outcome: ClaimOutcome): ClaimOutcome {
    if (outcome.kind !== "answered") {
      return outcome;
    }
    const response = this.#responses.get(claimId);
    return response === undefined
      ? RESPONSE_NOT_STORED
      : { kind: "answered", answer: response };
  }
}

function formatKey(key: ClaimKey): string {
  return key.team + KEY_SEPARATOR + key.idempotencyKey;
}

// The name of a team is a cell of the operators' sheet and contains no line
// break, so the first one separates it from the key.
function parseKey(name: string): ClaimKey {
  const end = name.indexOf(KEY_SEPARATOR);
  return {
    team: toId<TeamId>(name.slice(0, end)),
    idempotencyKey: name.slice(end + 1),
  };
}

function countResponseBytes(response: StoredResponse): number {
  const headerBytes = response.headers.reduce(
    (sum, [name, value]) => sum + name.length + value.length,
    0,
  );
  return RESPONSE_OVERHEAD_BYTES + headerBytes + response.body.length;
}
