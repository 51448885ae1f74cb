/** Suspect and quarantined requests known to one VM. */

import type { MonotoneFact } from "@limpetford/domain/monotone_fact";

/** Replicated fact that a request is quarantined or has been released. */
export type QuarantineFact = Extract<
  MonotoneFact,
  { readonly kind: "request-quarantined" }
>;

/** Number of suspects above which the oldest is evicted. */
const MAX_SUSPECTS = 1_000;

/**
 * Keeps the fingerprints of quarantined requests, which may not run, and of
 * suspect requests, which run one at a time. Both may have crashed servers.
 */
export class QuarantineRegistry {
  readonly #facts = new Map<string, QuarantineFact>();
  readonly #suspects = new Set<string>();

  /**
   * Applies a fact unless a fact of the same or a later generation is known for
   * its fingerprint.
   *
   * @param fact - quarantine or release of a request
   */
  apply(fact: QuarantineFact): void {
    const known = this.#facts.get(fact.fingerprint);
    if (known === undefined || fact.generation > known.generation) {
      this.#facts.set(fact.fingerprint, fact);
      this.#suspects.delete(fact.fingerprint);
    }
  }

  /**
   * Builds the fact that quarantines a request, or releases it.
   *
   * @param fingerprint - fingerprint of the request
   * @param isLifted - true to release the request
   * @returns a fact of the next generation, to be published
   */
  buildFact(fingerprint: string, isLifted: boolean): QuarantineFact {
    const generation = this.#facts.get(fingerprint)?.generation ?? 0;
    return {
      kind: "request-quarantined",
      fingerprint,
      generation: generation + 1,
      isLifted,
    };
  }

  /**
   * Marks a request as suspect: it may run only with a permit of the shard's
   * holder.
   *
   * @param fingerprint - fingerprint of the request
   */
  addSuspect(fingerprint: string): void {
    this.#suspects.delete(fingerprint);
    this.#suspects.add(fingerprint);
    const oldest = this.#suspects.values().next();
    if (this.#suspects.size > MAX_SUSPECTS && oldest.done !== true) {
      this.#suspects.delete(oldest.value);
    }
  }

  /**
   * Clears a request of suspicion.
   *
   * @param fingerprint - fingerprint of the request
   */
  removeSuspect(fingerprint: string): void {
    this.#suspects.delete(fingerprint);
  }

  /**
   * Checks whether fingerprints can be ignored.
   *
   * @returns true if no request is suspect and none was ever quarantined
   */
  isEmpty(): boolean {
    return this.#suspects.size === 0 && this.#facts.size === 0;
  }

  /**
   * Checks whether a request is suspect.
   *
   * @param fingerprint - fingerprint of the request
   * @returns true if the request needs a permit to run
   */
  isSuspect(fingerprint: string): boolean {
    return this.#suspects.has(fingerprint);
  }

  /**
   * Checks whether a request is quarantined.
   *
   * @param fingerprint - fingerprint of the request
   * @returns true if the request may not run
   */
  isQuarantined(fingerprint: string): boolean {
    const fact = this.#facts.get(fingerprint);
    return fact !== undefined && !fact.isLifted;
  }

  /**
   * Lists the quarantined requests.
   *
   * @returns their fingerprints
   */
  listQuarantined(): readonly string[] {
    return [...this.#facts.values()]
      .filter((fact) => !fact.isLifted)
      .map((fact) => fact.fingerprint);
  }
}
