/** Detects responses whose truncation could not be noticed. */

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
