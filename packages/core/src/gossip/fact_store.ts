/** Set of the monotone facts known to a VM. Merging is idempotent. */

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
 * Formats the key of a fact, which identifies its subject. Of two facts with
 * the same key, the one with the higher rank replaces the other.
 *
 * @param fact - fact of any kind
 * @returns key such as `shard:7`
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
 * Computes the rank of a fact among the facts with the same key.
 *
 * @param fact - fact of any kind
 * @returns the rank; a higher rank replaces a lower one
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

/**
 * Listener for new facts. `source` is the VM that sent the fact; undefined if
 * it was learned at this VM.
 */
export type FactListener = (fact: MonotoneFact, source?: string) => void;

/**
 * Stores the highest-ranked fact of each key and notifies listeners of new
 * ones.
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
   * Merges a fact into the store.
   *
   * @param fact - fact learned at this VM or received by gossip
   * @param source - VM that sent the fact; undefined if learned at this VM
   * @returns true if the fact is new or of higher rank than the known one
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
   * Evicts a fact about a VM that has disappeared from the platform's VM list.
   *
   * @param key - key formatted by {@link formatFactKey}
   */
  evict(key: string): void {
    const known = this.#facts.get(key);
    if (known !== undefined) {
      addToDigest(this.#digest, key, computeFactRank(known));
      this.#facts.delete(key);
    }
  }

  /**
   * Finds the fact with a key.
   *
   * @param key - key formatted by {@link formatFactKey}
   * @returns the highest-ranked fact; undefined if none is known
   */
  findFact(key: string): MonotoneFact | undefined {
    return this.#facts.get(key);
  }

  /**
   * Lists all facts known to this VM.
   *
   * @returns facts, in the order in which their keys were first merged
   */
  listFacts(): readonly MonotoneFact[] {
    return [...this.#facts.values()];
  }

  /**
   * Lists the facts whose keys hash into given buckets of the digest.
   *
   * @param buckets - bucket indexes
   * @returns facts of these buckets
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
   * Reads the digest of all facts known to this VM.
   *
   * @returns the live digest, which changes with the facts
   */
  readDigest(): FactDigest {
    return this.#digest;
  }
}
