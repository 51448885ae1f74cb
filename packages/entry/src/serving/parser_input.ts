/** Bounds what the HTTP client's parser takes at once, and without a body. */

import type { Socket } from "node:net";

import type { ParseTurns } from "./parse_turns.ts";
import { measurePart, type PartLimits } from "./parser_part.ts";

/** What is parsed at once; the parser makes two objects of each line. */
const PART_LIMITS: PartLimits = {
  bytes: 16_384,
  lines: 256,
  endsAtEmptyLine: false,
};
/** Bytes of a head or of trailers, with what the parser's own limit leaves out. */
const MAX_HEAD_BYTES = 65_536;
/** Lines of a head or of trailers. */
const MAX_HEAD_LINES = 1_024;

/** Dependencies of a {@link ParserInput}. */
export interface ParserInputOptions {
  /** Called before a part is parsed; may close the connection. */
  readonly handleNext: () => void;
  /** Shares the parser with other connections. */
  readonly turns: ParseTurns;
}

type ReadBytes = (size?: number) => Buffer | null;

/**
 * What one connection brings, handed to the parser in parts. The parser makes objects
 * of each line and keeps them up to the end of the head; it notices only after the
 * whole part that its connection was closed.
 */
export class ParserInput {
  readonly #socket: Socket;
  readonly #options: ParserInputOptions;
  readonly #read: ReadBytes;
  #isStopped = false;
  /** Of the parts since the last progress. */
  #bytes = 0;
  #lines = 0;

  /**
   * Takes over the reads of a socket.
   *
   * @param socket - connection that was established
   * @param options - what is asked before a part is parsed
   */
  constructor(socket: Socket, options: ParserInputOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#read = socket.read.bind(socket) as ReadBytes;
    socket.read = (size?: number): Buffer | null => this.#readPart(size);
  }

  /**
   * Whether more came without progress than a head can have.
   *
   * @returns true if nothing more is handed to the parser
   */
  get hasExcess(): boolean {
    return this.#bytes > MAX_HEAD_BYTES || this.#lines > MAX_HEAD_LINES;
  }

  /** Observes that a request, a response or a part of its body begins. */
  observeProgress(): void {
    this.#bytes = 0;
    this.#lines = 0;
  }

  /** Leaves what arrives in the socket's buffer, and the end behind it. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Continues after `stop`. */
  resume(): void {
    if (!this.#isStopped) {
      return;
    }
    this.#isStopped = false;
    // The caller may be within the parser, which cannot be entered twice.
    process.nextTick(this.#offerMore);
  }

  readonly #offerMore = (): void => {
    if (!this.#socket.destroyed) {
      this.#socket.emit("readable");
    }
  };

  #readPart(size: number | undefined): Buffer | null {
    const { readableLength } = this.#socket;
    if (this.#isStopped) {
      return null;
    }
    if (size === 0 || readableLength === 0) {
      return this.#read(size);
    }
    this.#options.handleNext();
    if (this.hasExcess || this.#socket.destroyed) {
      return null;
    }
    if (!this.#options.turns.take(this, this.#offerMore)) {
      return null;
    }
    const part = this.#read(Math.min(readableLength, PART_LIMITS.bytes));
    return part === null ? null : this.#splitPart(part);
  }

  #splitPart(part: Buffer): Buffer {
    const { length, lines } = measurePart(part, PART_LIMITS);
    this.#bytes += length;
    this.#lines += lines;
    if (length < part.length) {
      this.#socket.unshift(part.subarray(length));
    }
    return part.subarray(0, length);
  }
}
