/** Detects a second response within the body of the first. */

import type { ResponseHead } from "./attempt_listener.ts";

const STATUS_LINE = /HTTP\/1\.[01] ([1-5][0-9]{2})[ \r]/;
const STATUS_LINE_LENGTH = "HTTP/1.1 200 ".length;
/** Bytes from a status line on that are read as the head of a response. */
const MAX_HEAD_BYTES = 16_384;
/** Header lines that are read of it. */
const MAX_HEADERS = 64;
const LINE_END = "\r\n";

// What may be the head of a response.
interface HeadCandidate extends ResponseHead {
  /** True if what follows cannot add a header. */
  readonly isWhole: boolean;
}

/**
 * Looks for a response in a body that ends with its connection. A server that
 * responds twice writes the second response where more of the body may follow. Text
 * that only looks like one has no headers by which it could be a response.
 */
export class SecondResponseDetector {
  readonly #isResponse: (head: ResponseHead) => boolean;
  /** What has been read from the last status line on, or the last few bytes. */
  #text = "";

  /**
   * Creates a detector that has seen no byte.
   *
   * @param isResponse - tells a response on this connection by its head, of which
   * the last headers may not have been read yet
   */
  constructor(isResponse: (head: ResponseHead) => boolean) {
    this.#isResponse = isResponse;
  }

  /**
   * Observes the next bytes of the body.
   *
   * @param chunk - bytes received
   * @returns true if they complete the head of another response
   */
  observe(chunk: Buffer): boolean {
    this.#text += chunk.toString("latin1");
    for (;;) {
      const match = STATUS_LINE.exec(this.#text);
      if (match === null) {
        this.#text = this.#text.slice(1 - STATUS_LINE_LENGTH);
        return false;
      }
      this.#text = this.#text.slice(match.index);
      const head = parseHead(
        Number(match[1]),
        this.#text.slice(0, MAX_HEAD_BYTES),
      );
      if (this.#isResponse(head)) {
        return true;
      }
      if (!head.isWhole) {
        return false;
      }
      this.#text = this.#text.slice(STATUS_LINE_LENGTH);
    }
  }
}

// Reads the complete header lines behind a status line, up to one that is none.
function parseHead(status: number, text: string): HeadCandidate {
  const headers: Record<string, string> = {};
  let lineEnd = text.indexOf(LINE_END);
  for (let count = 0; lineEnd >= 0 && count < MAX_HEADERS; count++) {
    const start = lineEnd + LINE_END.length;
    lineEnd = text.indexOf(LINE_END, start);
    const line = text.slice(start, Math.max(start, lineEnd));
    const colon = line.indexOf(":");
    if (lineEnd >= 0 && colon <= 0) {
      return { status, headers, isWhole: true };
    }
    if (lineEnd >= 0) {
      const name = line.slice(0, colon).toLowerCase();
      headers[name] = line.slice(colon + 1).trim();
    }
  }
  const isWhole = lineEnd >= 0 || text.length >= MAX_HEAD_BYTES;
  return { status, headers, isWhole };
}
