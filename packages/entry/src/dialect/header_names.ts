/** Names of HTTP headers, in lower case. */

/** Headers that limpetford reads or sets in its native dialect. */
export const HEADER = {
  attemptId: "limpetford-attempt-id",
  idempotencyKey: "idempotency-key",
  outcome: "limpetford-outcome",
  passedOn: "limpetford-passed-on",
  replayed: "limpetford-replayed",
  requestId: "limpetford-request-id",
  /** The caller's timeout for the request, in milliseconds. */
  requestTimeoutMs: "request-timeout-ms",
  retryAfterMs: "limpetford-retry-after-ms",
  traceparent: "traceparent",
} as const;

// Hop-by-hop headers, which a proxy must not forward.
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Checks whether a header is hop-by-hop, meaning for one connection only.
 *
 * @param name - header name in lower case
 * @returns true if a proxy must not forward the header
 */
export function isHopByHop(name: string): boolean {
  return HOP_BY_HOP.has(name);
}

/**
 * Parses the header names that a `Connection` header lists.
 *
 * @param connection - value of the header; undefined if it is absent
 * @returns the listed names in lower case
 */
export function parseConnectionOptions(
  connection: string | undefined,
): readonly string[] {
  if (connection === undefined) {
    return [];
  }
  return connection.toLowerCase().split(",").map((name) => name.trim());
}
