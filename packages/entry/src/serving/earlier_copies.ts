/** Counts copies of earlier responses that a connection brings first. */

/** Copies that are read before the attempt is given up. */
const MAX_COPIES = 8;

/**
 * Copies of responses to earlier requests that come before the response to an
 * attempt on the same connection. They are read and dropped.
 */
export class EarlierCopies {
  #count = 0;
  #bytes = 0;
  #isReceiving = false;

  /**
   * Whether there has been a copy.
   *
   * @returns true from the head of the first one on
   */
  get hasAny(): boolean {
    return this.#count > 0;
  }

  /**
   * Copies that have begun.
   *
   * @returns number of copies
   */
  get count(): number {
    return this.#count;
  }

  /**
   * Whether a copy is being received.
   *
   * @returns true from its head to its end
   */
  get isReceiving(): boolean {
    return this.#isReceiving;
  }

  /**
   * Bytes of the bodies of all copies.
   *
   * @returns number of bytes
   */
  get bytes(): number {
    return this.#bytes;
  }

  /** Begins a copy. */
  begin(): void {
    this.#isReceiving = true;
    this.#count += 1;
  }

  /**
   * Drops bytes of the copy that is being received.
   *
   * @param chunk - bytes of its body
   */
  drop(chunk: Buffer): void {
    this.#bytes += chunk.length;
  }

  /**
   * Ends the copy that is being received.
   *
   * @returns false if it was one too many
   */
  complete(): boolean {
    this.#isReceiving = false;
    return this.#count <= MAX_COPIES;
  }
}
