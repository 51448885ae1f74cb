/** Detects a second response within the body of the first. */

const STATUS_LINE = /HTTP\/1\.[01] [1-5][0-9]{2} /;
const STATUS_LINE_LENGTH = "HTTP/1.1 200 ".length;
/** Bytes behind a status line in which the identifier is looked for. */
const MAX_HEAD_BYTES = 16_384;

/**
 * Looks for a response in a body that ends with its connection. A server that
 * responds twice writes the second response where more of the body may follow. Text
 * that only looks like one doesn't bear the identifier of a request of the
 * connection as the value of a header.
 */
export class SecondResponseDetector {
  readonly #headerValues: readonly string[];
  /** What has been read from the last status line on, or the last few bytes. */
  #text = "";

  /**
   * Creates a detector that has seen no byte.
   *
   * @param ids - identifiers of the requests that the connection has carried
   */
  constructor(ids: readonly string[]) {
    this.#headerValues = ids.map((id) => `: ${id}\r\n`);
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
      const start = this.#text.search(STATUS_LINE);
      if (start < 0) {
        this.#text = this.#text.slice(1 - STATUS_LINE_LENGTH);
        return false;
      }
      this.#text = this.#text.slice(start);
      const head = this.#text.slice(0, MAX_HEAD_BYTES);
      if (this.#headerValues.some((value) => head.includes(value))) {
        return true;
      }
      if (this.#text.length < MAX_HEAD_BYTES) {
        return false;
      }
      this.#text = this.#text.slice(STATUS_LINE_LENGTH);
    }
  }
}
