/** Errors of calls to the platform's store. */

/** Why a call to the store gave no result. */
export type StoreError =
  /** Had no effect: no connection, refused, or over the rate limit. */
  | { readonly kind: "not-done"; readonly cause: string }
  /** No response; the call may have taken effect or may still do so. */
  | { readonly kind: "no-answer"; readonly cause: string }
  /** The requested records have expired; `firstOffset` is the oldest left. */
  | { readonly kind: "expired"; readonly firstOffset: number }
  /** The store has returned from an older copy; `era` is the present one. */
  | { readonly kind: "era-changed"; readonly era: number }
  /** The response cannot be parsed. */
  | { readonly kind: "malformed"; readonly cause: string };

/**
 * Formats an error for a log line.
 *
 * @param error - error of a call to the store
 * @returns its kind and cause on one line
 */
export function formatStoreError(error: StoreError): string {
  switch (error.kind) {
    case "expired":
      return `expired: first offset is ${error.firstOffset}`;
    case "era-changed":
      return `era-changed: the store is in era ${error.era}`;
    case "not-done":
    case "no-answer":
    case "malformed":
      return `${error.kind}: ${error.cause}`;
  }
}
