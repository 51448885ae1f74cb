/** Holds back the end of a body, and joins its small chunks. */

/** Bytes that are held back. */
const MAX_PENDING_BYTES = 16_384;
/** Chunks that are held before they are joined. */
const MAX_PIECES = 32;

/**
 * The last bytes of a body. Chunks of a few bytes are joined, as each one that is
 * delivered becomes several objects of the caller's connection.
 */
export class PendingBody {
  #pieces: Buffer[] = [];
  #bytes = 0;

  /**
   * Adds a chunk.
   *
   * @param chunk - bytes received
   * @returns what came before it and is held no longer; undefined if nothing
   */
  add(chunk: Buffer): Buffer | undefined {
    const isFull = this.#bytes + chunk.length > MAX_PENDING_BYTES;
    const previous = isFull ? this.take() : undefined;
    this.#pieces.push(chunk);
    this.#bytes += chunk.length;
    if (this.#pieces.length === MAX_PIECES) {
      this.#pieces = [Buffer.concat(this.#pieces)];
    }
    return previous;
  }

  /**
   * Takes all that is held back.
   *
   * @returns the bytes; undefined if there are none
   */
  take(): Buffer | undefined {
    const [first] = this.#pieces;
    const isSingle = this.#pieces.length <= 1;
    const taken = isSingle ? first : Buffer.concat(this.#pieces);
    this.#pieces = [];
    this.#bytes = 0;
    return taken;
  }
}
