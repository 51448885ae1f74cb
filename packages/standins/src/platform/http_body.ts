/** Reads request bodies and writes JSON responses of the stand-ins. */

import type { IncomingMessage, ServerResponse } from "node:http";

const BODY_LIMIT_BYTES = 64 * 1024 * 1024;

/**
 * Reads a request body to its end as UTF-8 text.
 *
 * @param request - request whose body has not been read
 * @returns the decoded body
 * @throws Error if the body is larger than 64 MiB or ends early
 */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > BODY_LIMIT_BYTES) {
      throw new Error("request body is larger than 64 MiB");
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/**
 * A JSON response that has not been sent yet.
 */
export class JsonReply {
  readonly #status: number;
  readonly #body: unknown;
  readonly #headers: Readonly<Record<string, string>>;

  /**
   * Creates a response; nothing is sent yet.
   *
   * @param status - HTTP status code
   * @param body - value that is serialized as JSON
   * @param headers - headers besides content-type and content-length
   */
  constructor(
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
  ) {
    this.#status = status;
    this.#body = body;
    this.#headers = headers;
  }

  /**
   * Sends the response and ends it.
   *
   * @param response - response with nothing sent
   */
  writeTo(response: ServerResponse): void {
    const text = JSON.stringify(this.#body);
    response.writeHead(this.#status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      ...this.#headers,
    });
    response.end(text);
  }
}
