/**
 * Gossip of facts: each new fact is pushed to the partners once, and an
 * anti-entropy exchange of digests repairs what was lost.
 */

import type { MonotoneFact } from "@limpetford/domain/monotone_fact";

import { BUCKET_COUNT, compareBuckets } from "./fact_digest.ts";
import type { FactStore } from "./fact_store.ts";

/** Largest number of facts in one message. */
const MAX_FACTS_PER_MESSAGE = 256;
/**
 * Number of consecutive messages with a different digest after which a repair
 * is requested. A sender that knows no facts is repaired at once.
 */
const MISMATCHES_PER_REPAIR = 2;

/** The facts part of a message between two VMs. */
export interface FactMessage {
  /** Hash of all facts that the sender knows. */
  readonly sum: number;
  readonly facts: readonly MonotoneFact[];
  /** Bucket hashes of the sender; empty unless it requests a repair. */
  readonly bucketHashes: readonly number[];
}

/**
 * Decides which facts to send to which partner.
 */
export class FactExchange {
  readonly #store: FactStore;
  /** Facts not yet pushed, by partner. */
  readonly #pending = new Map<string, Set<MonotoneFact>>();
  /** Number of consecutive messages with a different digest, by sender. */
  readonly #mismatches = new Map<string, number>();
  #onPending: (() => void) | undefined;

  /**
   * Creates the exchange and subscribes to new facts of the store.
   *
   * @param store - facts known to this VM
   */
  constructor(store: FactStore) {
    this.#store = store;
    store.subscribe((fact, source) => {
      this.#addPending(fact, source);
    });
  }

  /**
   * Sets the partners to which facts are pushed. Facts pending for other VMs
   * are discarded.
   *
   * @param partners - formatted incarnations of the partners
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
   * Sets the listener that is notified of facts to push.
   *
   * @param listener - called at once for each new fact; replaces an earlier one
   */
  subscribePending(listener: () => void): void {
    this.#onPending = listener;
  }

  /**
   * Lists the partners for which facts are pending.
   *
   * @returns formatted incarnations of the partners
   */
  listPendingPartners(): readonly string[] {
    return [...this.#pending]
      .filter(([, facts]) => facts.size > 0)
      .map(([partner]) => partner);
  }

  /**
   * Builds the next message to a partner. The facts in it are not pushed again.
   *
   * @param partner - formatted incarnation of the partner
   * @returns the message, with a bounded number of facts
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
   * Handles a message and builds the reply to it.
   *
   * @param partner - formatted incarnation of the sender
   * @param message - the message received
   * @returns the reply; with bucket hashes if it requests a repair
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
   * Handles the reply to a push.
   *
   * @param partner - formatted incarnation of the replier
   * @param reply - message that the replier sent in response
   * @returns a second message to send at once, with the facts that the replier
   * lacks; undefined if it requested no repair
   */
  handleReply(
    partner: string,
    reply: FactMessage,
  ): FactMessage | undefined {
    this.#mergeAll(partner, reply.facts);
    if (reply.bucketHashes.length !== BUCKET_COUNT) {
      return undefined;
    }
    const facts = this.#listMissing(reply.bucketHashes);
    return this.#buildMessage(facts, true);
  }

  /**
   * Checks whether a partner knows exactly the same facts as this VM.
   *
   * @param message - newest message from the partner
   * @returns true if the digests are equal; a hash collision is possible
   */
  hasSameFacts(message: FactMessage): boolean {
    return message.sum === this.#store.readDigest().sum;
  }

  #mergeAll(partner: string, facts: readonly MonotoneFact[]): void {
    for (const fact of facts) {
      this.#store.merge(fact, partner);
    }
  }

  #shouldRepair(partner: string, message: FactMessage): boolean {
    if (this.hasSameFacts(message)) {
      this.#mismatches.delete(partner);
      return false;
    }
    const count = (this.#mismatches.get(partner) ?? 0) + 1;
    const isRepair = message.sum === 0 || count >= MISMATCHES_PER_REPAIR;
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
