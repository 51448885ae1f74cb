/** The set of monotone facts that a VM knows, merged idempotently. */

import type { MonotoneFact } from "@limpetford/domain/monotone_fact";
import { formatIncarnation } from "@limpetford/domain/vm";

import { FactBus } from "./fact_bus.ts";
import {
  addToDigest,
  createDigest,
  type FactDigest,
  findBucket,
} from "./fact_digest.ts";

/**
 * Names what a fact is about. Of two facts with the same key, the one of
 * higher rank holds.
 *
 * @param fact - the fact
 * @returns the key
 */
export function formatFactKey(fact: MonotoneFact): string {
  switch (fact.kind) {
    case "key-withdrawn":
      return `key:${fact.key}`;
    case "server-leaving":
      return `server:${fact.server}`;
    case "vm-leaving":
      return `vm:${formatIncarnation(fact.incarnation)}`;
    case "vm-liveness":
      return `liveness:${formatIncarnation(fact.incarnation)}`;
    case "request-quarantined":
      return `quarantine:${fact.fingerprint}`;
    case "configuration-version":
      return "configuration";
    case "shard-ownership":
      return `shard:${fact.shard}`;
  }
}

/**
 * Computes the rank of a fact among those with the same key.
 *
 * @param fact - the fact
 * @returns the rank; higher replaces lower
 */
export function computeFactRank(fact: MonotoneFact): number {
  switch (fact.kind) {
    case "key-withdrawn":
    case "server-leaving":
    case "vm-leaving":
      return 0;
    case "vm-liveness":
      return 2 * fact.counter + (fact.isSuspected ? 1 : 0);
    case "request-quarantined":
      return fact.generation;
    case "configuration-version":
      return fact.version;
    case "shard-ownership":
      return fact.epoch;
  }
}

/** Hears of a new fact and of the VM that it came from, if any. */
export type FactListener = (fact: MonotoneFact, source?: string) => void;

/**
 * Keeps the facts of highest rank and tells listeners of new ones.
 */
export class FactStore extends FactBus {
  readonly #facts = new Map<string, MonotoneFact>();
  readonly #digest = createDigest();
  readonly #listeners: FactListener[] = [];

  override publish(fact: MonotoneFact): void {
    this.merge(fact);
  }

  override subscribe(listener: FactListener): void {
    this.#listeners.push(listener);
    for (const fact of [...this.#facts.values()]) {
      listener(fact);
    }
  }

  /**
   * Merges a fact, learned here or from another VM.
   *
   * @param fact - the fact
   * @param source - the VM that told of it; default none
   * @returns true if it was new or of higher rank
   */
  merge(fact: MonotoneFact, source?: string): boolean {
    const key = formatFactKey(fact);
    const rank = computeFactRank(fact);
    const known = this.#facts.get(key);
    if (known !== undefined) {
      const knownRank = computeFactRank(known);
      if (knownRank >= rank) {
        return false;
      }
      addToDigest(this.#digest, key, knownRank);
    }
    addToDigest(this.#digest, key, rank);
    this.#facts.set(key, fact);
    for (const listener of this.#listeners) {
      listener(fact, source);
    }
    return true;
  }

  /**
   * Evicts a fact about a VM that the platform's list has dropped.
   *
   * @param key - key by {@link formatFactKey}
   */
  evict(key: string): void {
    const known = this.#facts.get(key);
    if (known !== undefined) {
      addToDigest(this.#digest, key, computeFactRank(known));
      this.#facts.delete(key);
    }
  }

  /**
   * Finds the fact known under a key.
   *
   * @param key - key by {@link formatFactKey}
   * @returns the fact, or undefined
   */
  findFact(key: string): MonotoneFact | undefined {
    return this.#facts.get(key);
  }

  /**
   * Lists all facts known here.
   *
   * @returns the facts, in the order in which their keys were first heard
   */
  listFacts(): readonly MonotoneFact[] {
    return [...this.#facts.values()];
  }

  /**
   * Lists the facts whose keys fall into some buckets of the digest.
   *
   * @param buckets - indexes of buckets
   * @returns the facts
   */
  listFactsOfBuckets(buckets: ReadonlySet<number>): readonly MonotoneFact[] {
    const found: MonotoneFact[] = [];
    for (const [key, fact] of this.#facts) {
      if (buckets.has(findBucket(key))) {
        found.push(fact);
      }
    }
    return found;
  }

  /**
   * Reads the digest of all facts known here.
   *
   * @returns the digest; it changes with the facts
   */
  readDigest(): FactDigest {
    return this.#digest;
  }
}
