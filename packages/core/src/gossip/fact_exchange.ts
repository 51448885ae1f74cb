/** Spreads facts: each new one is pushed on, and digests mend what is lost. */

import type { MonotoneFact } from "@limpetford/domain/monotone_fact";

import { BUCKET_COUNT, compareBuckets } from "./fact_digest.ts";
import type { FactStore } from "./fact_store.ts";

const MAX_FACTS_PER_MESSAGE = 256;
const MISMATCHES_BEFORE_REPAIR = 2;

/** The part of a message between two VMs that is about facts. */
export interface FactMessage {
  /** Hash over all facts that the sender knows. */
  readonly sum: number;
  readonly facts: readonly MonotoneFact[];
  /** Hashes of the sender's buckets; empty unless it asks for a repair. */
  readonly bucketHashes: readonly number[];
}

/**
 * Decides which facts go to which partner.
 */
export class FactExchange {
  readonly #store: FactStore;
  /** Facts still to be pushed, by partner. */
  readonly #pending = new Map<string, Set<MonotoneFact>>();
  readonly #mismatches = new Map<string, number>();
  #onPending: (() => void) | undefined;

  /**
   * Creates the exchange and follows the store.
   *
   * @param store - the facts known at this VM
   */
  constructor(store: FactStore) {
    this.#store = store;
    store.subscribe((fact, source) => {
      this.#addPending(fact, source);
    });
  }

  /**
   * Sets the partners to which facts are pushed.
   *
   * @param partners - their names
   */
  setPartners(partners: readonly string[]): void {
    const kept = new Set(partners);
    for (const known of [...this.#pending.keys()]) {
      if (!kept.has(known)) {
        this.#pending.delete(known);
        this.#mismatches.delete(known);
      }
    }
    for (const partner of partners) {
      if (!this.#pending.has(partner)) {
        this.#pending.set(partner, new Set());
      }
    }
  }

  /**
   * Registers what is to happen when there is something to push.
   *
   * @param listener - called at once for each new fact
   */
  subscribePending(listener: () => void): void {
    this.#onPending = listener;
  }

  /**
   * Lists the partners for which facts are waiting.
   *
   * @returns their names
   */
  listPendingPartners(): readonly string[] {
    return [...this.#pending]
      .filter(([, facts]) => facts.size > 0)
      .map(([partner]) => partner);
  }

  /**
   * Builds the message to a partner. The facts in it are not pushed again.
   *
   * @param partner - name of the partner
   * @returns the message, bounded in size
   */
  buildPush(partner: string): FactMessage {
    const pending = this.#pending.get(partner);
    const facts = [...pending ?? []].slice(0, MAX_FACTS_PER_MESSAGE);
    for (const fact of facts) {
      pending?.delete(fact);
    }
    return this.#buildMessage(facts, false);
  }

  /**
   * Handles a message and builds the answer to it.
   *
   * @param partner - name of the sender
   * @param message - what it sent
   * @returns the answer; with bucket hashes if the two do not agree
   */
  handlePush(partner: string, message: FactMessage): FactMessage {
    this.#mergeAll(partner, message.facts);
    if (message.bucketHashes.length === BUCKET_COUNT) {
      const facts = this.#listMissing(message.bucketHashes);
      return this.#buildMessage(facts, false);
    }
    return this.#buildMessage([], this.#shouldRepair(partner, message));
  }

  /**
   * Handles the answer to a push.
   *
   * @param partner - name of the replier
   * @param answer - what it answered
   * @returns a second message to send at once, or undefined
   */
  handleReply(
    partner: string,
    answer: FactMessage,
  ): FactMessage | undefined {
    this.#mergeAll(partner, answer.facts);
    if (answer.bucketHashes.length !== BUCKET_COUNT) {
      return undefined;
    }
    const facts = this.#listMissing(answer.bucketHashes);
    return this.#buildMessage(facts, true);
  }

  /**
   * Checks whether a partner knows just the same facts.
   *
   * @param message - the newest message from it
   * @returns true if so, but for a collision of hashes
   */
  isInAgreement(message: FactMessage): boolean {
    return message.sum === this.#store.readDigest().sum;
  }

  #mergeAll(partner: string, facts: readonly MonotoneFact[]): void {
    for (const fact of facts) {
      this.#store.merge(fact, partner);
    }
  }

  #shouldRepair(partner: string, message: FactMessage): boolean {
    if (this.isInAgreement(message)) {
      this.#mismatches.delete(partner);
      return false;
    }
    const count = (this.#mismatches.get(partner) ?? 0) + 1;
    const isRepair = message.sum === 0 || count >= MISMATCHES_BEFORE_REPAIR;
    this.#mismatches.set(partner, isRepair ? 0 : count);
    return isRepair;
  }

  #listMissing(theirHashes: readonly number[]): readonly MonotoneFact[] {
    const differing = compareBuckets(this.#store.readDigest(), theirHashes);
    return this.#store
      .listFactsOfBuckets(new Set(differing))
      .slice(0, MAX_FACTS_PER_MESSAGE);
  }

  #buildMessage(
    facts: readonly MonotoneFact[],
    isRepair: boolean,
  ): FactMessage {
    const digest = this.#store.readDigest();
    return {
      sum: digest.sum,
      facts,
      bucketHashes: isRepair ? [...digest.buckets] : [],
    };
  }

  #addPending(fact: MonotoneFact, source: string | undefined): void {
    for (const [partner, facts] of this.#pending) {
      if (partner !== source) {
        facts.add(fact);
      }
    }
    this.#onPending?.();
  }
}
