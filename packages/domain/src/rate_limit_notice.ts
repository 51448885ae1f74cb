/** What a response says of the rate limit of the backend server that sent it. */

/** Kinds of {@link RateLimitNotice}. */
export const RATE_LIMIT_NOTICE = {
  /** The response names no limit. */
  none: "none",
  /** The response names a limit. */
  named: "named",
  /** The response names a limit that cannot be read. */
  unreadable: "unreadable",
} as const;

/**
 * Rate limit of a backend server according to one of its responses. The limit
 * is for all VMs together, and holds until a later response names none.
 */
export type RateLimitNotice =
  | { readonly kind: typeof RATE_LIMIT_NOTICE.none }
  | {
    readonly kind: typeof RATE_LIMIT_NOTICE.named;
    /** At least 0; may be a fraction. */
    readonly requestsPerSecond: number;
  }
  | { readonly kind: typeof RATE_LIMIT_NOTICE.unreadable };
