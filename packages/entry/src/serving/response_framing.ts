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
  if (
    method === "HEAD" || status === STATUS_NO_CONTENT ||
    status === STATUS_NOT_MODIFIED
  ) {
    return true;
  }
  const length = headers["content-length"];
  const encoding = headers["transfer-encoding"];
  if (encoding === undefined) {
    return typeof length === "string" && /^[0-9]+$/.test(length);
  }
  return length === undefined && typeof encoding === "string" &&
    encoding.trim().toLowerCase() === "chunked";
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
