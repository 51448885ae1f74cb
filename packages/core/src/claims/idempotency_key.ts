/** Derives idempotency keys for requests that carry none. */

import type { Route } from "@limpetford/domain/route";

/**
 * Prefix of derived keys. No caller's key can have it, because a header value
 * contains no line feed.
 */
const DERIVED_KEY_PREFIX = "derived\n";

/**
 * Derives an idempotency key from the route and the request's fingerprint, for
 * routes that are configured to do so. The claim ledger stores keys per team,
 * so the key does not contain the team.
 *
 * @param route - route of the request
 * @param fingerprint - SHA-256 of method, target and body, in hexadecimal
 * @returns the key; undefined if the route does not derive keys
 */
export function deriveIdempotencyKey(
  route: Route,
  fingerprint: string,
): string | undefined {
  return route.derivedKeyWindowMs > 0
    ? `${DERIVED_KEY_PREFIX}${route.id}\n${fingerprint}`
    : undefined;
}

/**
 * Computes for how long after a claim an idempotency key identifies the same
 * request. For a derived key it is the route's window, after which an equal
 * request is a new one.
 *
 * @param idempotencyKey - the caller's key or a derived one
 * @param route - route of the request
 * @returns milliseconds after the claim; undefined for the full retention
 */
export function computeKeyWindowMs(
  idempotencyKey: string,
  route: Route,
): number | undefined {
  return idempotencyKey.startsWith(DERIVED_KEY_PREFIX)
    ? route.derivedKeyWindowMs
    : undefined;
}
