/** Errors of calls to the platform's store. */

/** Why a call to the store gave no result. */
export type StoreError =
  /** Had no effect: no connection, refused, or over the rate limit. */
  | { readonly kind: "not-done"; readonly cause: string }
  /** No response; the call may have taken effect or may still do so. */
  | { readonly kind: "no-answer"; readonly cause: string }
  /** The requested records have expired; `firstOffset` is the oldest left. */
  | { readonly kind: "expired"; readonly firstOffset: number }
  /** The response cannot be parsed. */
  | { readonly kind: "malformed"; readonly cause: string };

/**
 * Formats an error for a log line.
 *
 * @param error - error of a call to the store
 * @returns its kind and cause on one line
 */
export function formatStoreError(error: StoreError): string {
  return error.kind === "expired"
    ? `expired: first offset is ${error.firstOffset}`
    : `${error.kind}: ${error.cause}`;
}
