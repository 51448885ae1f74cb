/** Detects responses whose truncation could not be noticed, or that never end. */

/**
 * Bytes beside the body that a response may have: status line, headers, chunk
 * sizes, trailers, and what the socket has buffered.
 */
const MAX_FRAMING_BYTES = 262_144;
/** The same for each byte of the body; a chunk of one byte takes six. */
const MAX_FRAMING_BYTES_PER_BODY_BYTE = 16;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;
const HTTP_1_1 = "1.1";
const CHUNKED = "chunked";

/** What the framing of a response to a caller depends on. */
export interface CallerProtocol {
  readonly method?: string | undefined;
  readonly httpVersion: string;
}

/**
 * Checks that a response has a `Content-Length` or is chunked, or can have no
 * body. A response that is delimited by the close of its connection looks
 * complete even if it was truncated.
 *
 * @param method - HTTP method of the request
 * @param status - HTTP status of the response
 * @param headers - header values by lower-case name
 * @returns true if a truncated body can be detected
 */
export function checkResponseFraming(
  method: string,
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean {
  if (!hasBody(method, status)) {
    return true;
  }
  const length = headers["content-length"];
  const encoding = headers["transfer-encoding"];
  if (encoding === undefined) {
    return typeof length === "string" && /^[0-9]+$/.test(length);
  }
  return length === undefined && !hasUnknownCoding(headers);
}

/**
 * Checks whether a response has a transfer coding besides `chunked`, which its caller
 * would not see.
 *
 * @param headers - header values by lower-case name
 * @returns true if its body cannot be passed on
 */
export function hasUnknownCoding(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean {
  const encoding = headers["transfer-encoding"];
  return encoding !== undefined &&
    String(encoding).trim().toLowerCase() !== CHUNKED;
}

/**
 * Checks whether a caller can tell a truncated response from a whole one. A caller
 * of another version than HTTP/1.1 gets no chunks, so its response needs a length.
 *
 * @param request - method and HTTP version of the caller
 * @param status - HTTP status of the response
 * @param headerNames - names of the response's headers, in lower case
 * @returns false if the response would end with its connection
 */
export function isTruncationDetectable(
  { method, httpVersion }: CallerProtocol,
  status: number,
  headerNames: readonly string[],
): boolean {
  return httpVersion === HTTP_1_1 || !hasBody(method, status) ||
    headerNames.includes("content-length");
}

/**
 * Checks whether a response has a body, which may be empty.
 *
 * @param method - HTTP method of the request
 * @param status - HTTP status of the response
 * @returns false if the message ends with its head, whatever its headers say
 */
export function hasBody(method: string | undefined, status: number): boolean {
  return method !== "HEAD" && status !== STATUS_NO_CONTENT &&
    status !== STATUS_NOT_MODIFIED;
}

/**
 * Computes how many bytes a response may have so far.
 *
 * @param bodyBytes - bytes of its body received so far
 * @returns the largest number of bytes, those of the body and the rest
 */
export function computeMaxResponseBytes(bodyBytes: number): number {
  return MAX_FRAMING_BYTES + (1 + MAX_FRAMING_BYTES_PER_BODY_BYTE) * bodyBytes;
}
