/** Parses requests that are refused before Node's HTTP server reads them. */

import type { IncomingHttpHeaders } from "node:http";

const END_OF_HEAD = "\r\n\r\n";
const LINE_END = "\r\n";
/** Largest request that is parsed here. */
const MAX_PREVIEW_BYTES = 16_384;
const REQUEST_LINE_PATTERN = /^([A-Z]+) (\/[!-~]*) HTTP\/1\.1$/;
const HEADER_PATTERN = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\r\n\0]*)$/;
const LENGTH_PATTERN = /^[0-9]{1,9}$/;
/** Headers of requests whose end or meaning only Node's server knows. */
const OTHER_HEADERS = ["transfer-encoding", "expect", "upgrade"] as const;

/** What decides whether a request can be served in time. */
export interface RequestPreview {
  readonly method: string;
  readonly url: string;
  /** By name in lower case. */
  readonly headers: IncomingHttpHeaders;
}

/**
 * Parses a request that lies in the first bytes of a connection, whole and alone.
 *
 * @param bytes - the first bytes
 * @returns the request; undefined if Node's server has to read it
 */
export function parseRequestPreview(bytes: Buffer): RequestPreview | undefined {
  if (bytes.length > MAX_PREVIEW_BYTES) {
    return undefined;
  }
  const text = bytes.toString("latin1");
  const headLength = text.indexOf(END_OF_HEAD);
  const [requestLine = "", ...lines] = text.slice(0, Math.max(0, headLength))
    .split(LINE_END);
  const [, method, url] = REQUEST_LINE_PATTERN.exec(requestLine) ?? [];
  const headers = parseHeaders(lines);
  if (method === undefined || url === undefined || headers === undefined) {
    return undefined;
  }
  const bodyBytes = findBodyBytes(headers);
  const isWhole = bodyBytes !== undefined &&
    bytes.length === headLength + END_OF_HEAD.length + bodyBytes;
  return isWhole ? { method, url, headers } : undefined;
}

function parseHeaders(
  lines: readonly string[],
): Record<string, string> | undefined {
  const headers: Record<string, string> = {};
  for (const line of lines) {
    const [, name, value] = HEADER_PATTERN.exec(line) ?? [];
    const key = name?.toLowerCase();
    if (key === undefined || value === undefined || key in headers) {
      return undefined;
    }
    headers[key] = value.trimEnd();
  }
  return headers;
}

function findBodyBytes(
  headers: Readonly<Record<string, string>>,
): number | undefined {
  const length = headers["content-length"] ?? "0";
  const isOther = OTHER_HEADERS.some((name) => headers[name] !== undefined);
  return isOther || !LENGTH_PATTERN.test(length) ? undefined : Number(length);
}
