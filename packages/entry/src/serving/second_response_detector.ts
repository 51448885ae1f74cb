/** Detects a second response within the body of the first. */

import type { ResponseHead } from "./attempt_listener.ts";

const STATUS_LINE = /HTTP\/1\.[01] ([1-5][0-9]{2})[ \r]/;
const STATUS_LINE_LENGTH = "HTTP/1.1 200 ".length;
/** Bytes from a status line on that are read as the head of a response. */
const MAX_HEAD_BYTES = 16_384;
const LINE_END = "\r\n";
const HEAD_END = LINE_END + LINE_END;

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
      const text = this.#text.slice(0, MAX_HEAD_BYTES);
      const head = { status: Number(match[1]), headers: parseHeaders(text) };
      if (this.#isResponse(head)) {
        return true;
      }
      if (text.length < MAX_HEAD_BYTES && !text.includes(HEAD_END)) {
        return false;
      }
      this.#text = this.#text.slice(STATUS_LINE_LENGTH);
    }
  }
}

// Reads the complete header lines behind a status line.
function parseHeaders(text: string): Readonly<Record<string, string>> {
  const end = text.indexOf(HEAD_END);
  const lines = text.slice(0, end < 0 ? undefined : end + LINE_END.length)
    .split(LINE_END).slice(1, -1);
  const headers: Record<string, string> = {};
  for (const line of lines) {
    const colon = line.indexOf(":");
    if (colon > 0) {
      const name = line.slice(0, colon).toLowerCase();
      headers[name] = line.slice(colon + 1).trim();
    }
  }
  return headers;
}
