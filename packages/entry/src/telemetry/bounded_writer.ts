/** Writes to a file descriptor without blocking the event loop. */

import { write } from "node:fs";
import { Writable } from "node:stream";

const DEFAULT_LIMIT_BYTES = 262_144;

/**
 * Writes lines through the thread pool, one write at a time, since a write to a
 * full pipe blocks. Lines that do not fit into the buffer are dropped and
 * counted.
 */
export class BoundedWriter extends Writable {
  readonly #descriptor: number;
  readonly #limitBytes: number;
  #droppedCount = 0;

  /**
   * Prepares to write to an open file.
   *
   * @param descriptor - file descriptor
   * @param limitBytes - buffer size above which lines are dropped; default
   * 256 KiB
   */
  constructor(descriptor: number, limitBytes = DEFAULT_LIMIT_BYTES) {
    super({ decodeStrings: true });
    this.#descriptor = descriptor;
    this.#limitBytes = limitBytes;
  }

  /**
   * Reads and resets the count of dropped lines.
   *
   * @returns number of lines dropped since the last call
   */
  takeDroppedCount(): number {
    const count = this.#droppedCount;
    this.#droppedCount = 0;
    return count;
  }

  /**
   * Checks whether the buffer accepts another line, and counts a dropped line
   * if it does not. Called before each write.
   *
   * @returns false if the caller must drop the next line
   */
  hasRoom(): boolean {
    if (this.writableLength < this.#limitBytes) {
      return true;
    }
    this.#droppedCount += 1;
    return false;
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- named by Node
  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.#writeAll(chunk, callback);
  }

  // eslint-disable-next-line @typescript-eslint/naming-convention -- named by Node
  override _writev(
    chunks: { chunk: Buffer; encoding: BufferEncoding }[],
    callback: (error?: Error | null) => void,
  ): void {
    this.#writeAll(Buffer.concat(chunks.map(({ chunk }) => chunk)), callback);
  }

  #writeAll(
    bytes: Buffer,
    callback: (error?: Error | null) => void,
  ): void {
    write(this.#descriptor, bytes, (error, written) => {
      if (error === null && written < bytes.length) {
        this.#writeAll(bytes.subarray(written), callback);
      } else {
        // Errors are ignored: a closed pipe must not end the process.
        callback();
      }
    });
  }
}
