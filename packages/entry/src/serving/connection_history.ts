/** Remembers the requests that a connection has carried. */

import { hashText } from "@limpetford/core/hashing/text_hash";

/** Requests after which a connection is not used again, so that it knows them all. */
const MAX_REQUESTS = 512;

/** Identifiers of the requests that were answered on a connection. */
export interface AnsweredRequests {
  /** Number of requests, also of those without an identifier. */
  readonly size: number;
  /**
   * Checks whether one of them had an identifier.
   *
   * @param id - identifier of a request
   * @returns true if it had
   */
  has(id: string): boolean;
}

/**
 * The requests that a connection has carried to their end. Identifiers come from
 * callers and may be long, so that only their hashes are kept. An identifier that
 * is taken for another one costs a connection.
 */
export class ConnectionHistory implements AnsweredRequests {
  readonly #hashes = new Set<number>();
  #size = 0;

  /**
   * Number of requests that the connection has carried.
   *
   * @returns a count, which includes requests without an identifier
   */
  get size(): number {
    return this.#size;
  }

  /**
   * Whether the connection has carried as many requests as it may.
   *
   * @returns true if it must not carry another one
   */
  get isFull(): boolean {
    return this.#size >= MAX_REQUESTS;
  }

  /**
   * Checks whether the connection has carried a request.
   *
   * @param id - identifier of the request
   * @returns false if it certainly has not
   */
  has(id: string): boolean {
    return this.#hashes.has(hashText(id));
  }

  /**
   * Adds a request that the connection has carried.
   *
   * @param id - identifier of the request; undefined if responses name none
   */
  add(id: string | undefined): void {
    this.#size += 1;
    if (id !== undefined) {
      this.#hashes.add(hashText(id));
    }
  }
}
