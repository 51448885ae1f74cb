/** Bytes without end that a stand-in server sends in place of a response. */

import { PROTOCOL_HEADER } from "./protocol_names.ts";
import type { RawResponse } from "./raw_response.ts";

const HEAD = "HTTP/1.1 200 OK\r\n";

/** Parts of a response that go on until the caller closes. */
export const ENDLESS_PART = {
  noise: "noise",
  blankLines: "blank-lines",
  statusLine: "status-line",
  headerName: "header-name",
  headerValue: "header-value",
  headers: "headers",
  informational: "informational",
  chunks: "chunks",
  chunkExtension: "chunk-extension",
  trailers: "trailers",
  unsizedBody: "unsized-body",
  behindResponse: "behind-response",
} as const;
/** One of the parts in `ENDLESS_PART`. */
export type EndlessPart = typeof ENDLESS_PART[keyof typeof ENDLESS_PART];

/**
 * Builds a response that does not end.
 *
 * @param id - identifier of the request
 * @param part - part of the response that goes on
 * @returns bytes for the stand-in to write
 */
export function buildEndlessResponse(
  id: string,
  part: EndlessPart,
): RawResponse {
  const head = `${HEAD}${PROTOCOL_HEADER.requestId}: ${id}\r\n` +
    `${PROTOCOL_HEADER.signature}: s\r\n`;
  const chunked = `${head}transfer-encoding: chunked\r\n\r\n`;
  switch (part) {
    case ENDLESS_PART.noise:
      return { bytes: "", end: "none", repeated: "\u0001\u0002noise" };
    case ENDLESS_PART.blankLines:
      return { bytes: "", end: "none", repeated: "\r\n" };
    case ENDLESS_PART.statusLine:
      return { bytes: "HTTP/1.1 200 ", end: "none", repeated: "OK" };
    case ENDLESS_PART.headerName:
      return { bytes: HEAD, end: "none", repeated: "name" };
    case ENDLESS_PART.headerValue:
      return { bytes: `${head}x: `, end: "none", repeated: "value" };
    case ENDLESS_PART.headers:
      return { bytes: head, end: "none", repeated: "x: y\r\n" };
    case ENDLESS_PART.informational:
      return {
        bytes: "",
        end: "none",
        repeated: "HTTP/1.1 100 Continue\r\n\r\n",
      };
    case ENDLESS_PART.chunks:
      return { bytes: chunked, end: "none", repeated: "8\r\nabcdefgh\r\n" };
    case ENDLESS_PART.chunkExtension:
      return { bytes: `${chunked}8;`, end: "none", repeated: "extension" };
    case ENDLESS_PART.trailers:
      return { bytes: `${chunked}0\r\n`, end: "none", repeated: "x: y\r\n" };
    case ENDLESS_PART.unsizedBody:
      return { bytes: `${head}\r\n`, end: "none", repeated: "body" };
    case ENDLESS_PART.behindResponse:
      return {
        bytes: `${head}content-length: 2\r\n\r\nok`,
        end: "none",
        repeated: "behind",
      };
  }
}
