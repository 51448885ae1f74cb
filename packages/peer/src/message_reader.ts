/** Reads the bodies of calls within limits that all connections share. */

import type { IncomingMessage } from "node:http";

import { MAX_MESSAGE_BYTES } from "./message_codec.ts";

/** Memory for the bodies that are being read. */
const MAX_READING_BYTES = 8_388_608;
/** Memory of a part of a body besides its bytes. */
const PART_OVERHEAD_BYTES = 512;
/** Longer than any VM waits for a reply. */
const READ_TIMEOUT_MS = 5_000;

/** Counts what is read of the calls of all connections. */
export class MessageReader {
  #readingBytes = 0;

  /**
   * Reads a body.
   *
   * @param request - call whose body has not been read
   * @returns the whole body; rejects and closes the connection if it is too long,
   * too slow, cut, or if too much is being read
   */
  async read(request: IncomingMessage): Promise<Buffer> {
    const timer = setTimeout(() => {
      request.destroy();
    }, READ_TIMEOUT_MS);
    const parts: Buffer[] = [];
    let heldBytes = 0;
    try {
      for await (const part of request) {
        const bytes = part as Buffer;
        const addedBytes = bytes.length + PART_OVERHEAD_BYTES;
        heldBytes += addedBytes;
        this.#readingBytes += addedBytes;
        if (
          heldBytes > MAX_MESSAGE_BYTES ||
          this.#readingBytes > MAX_READING_BYTES
        ) {
          throw new Error("too many bytes");
        }
        parts.push(bytes);
      }
      return Buffer.concat(parts);
    } finally {
      clearTimeout(timer);
      this.#readingBytes -= heldBytes;
    }
  }
}
