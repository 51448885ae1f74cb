/** Counts the attempts of one request. */

import type { RequestTerms } from "../ports/request_context.ts";

const DEFAULT_MAX_ATTEMPTS = 4;
/**
 * Attempts that reached no backend server, such as a connect that was refused,
 * above which further ones count like all others.
 */
const MAX_UNSENT = 4;

/** Attempts so far, and how many of them may have reached a server. */
export class AttemptCounter {
  readonly #maxAttempts: number;
  #started: number;
  #unsent = 0;

  /**
   * Starts with the attempts of the VM that forwarded the request, if any.
   *
   * @param terms - attempt limit of the request; undefined for the default
   */
  constructor(terms: RequestTerms | undefined) {
    this.#maxAttempts = terms?.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
    this.#started = terms?.attemptsBefore ?? 0;
  }

  /**
   * Attempts that have been started.
   *
   * @returns number of attempts
   */
  get started(): number {
    return this.#started;
  }

  /**
   * Attempts that may have reached a backend server.
   *
   * @returns number of attempts
   */
  get sent(): number {
    return this.#started - this.#unsent;
  }

  /** Counts an attempt that is about to start. */
  recordStart(): void {
    this.#started += 1;
  }

  /** Records that an attempt certainly reached no backend server. */
  recordUnsent(): void {
    this.#unsent = Math.min(MAX_UNSENT, this.#unsent + 1);
  }

  /**
   * Checks whether the attempt limit allows another attempt.
   *
   * @returns false if enough servers may have received the request
   */
  hasLeft(): boolean {
    return this.sent < this.#maxAttempts;
  }
}
