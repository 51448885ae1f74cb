/** Routes: which requests a service receives, and their limits. */

import type { RouteId, ServiceId } from "./ids.ts";

/** Access policies: `open` needs no API key, `team` needs the key of a team. */
export const ROUTE_ACCESS = { open: "open", team: "team" } as const;
/** Access policy of a route. */
export type RouteAccess = typeof ROUTE_ACCESS[keyof typeof ROUTE_ACCESS];

/** Maps a method and path prefix to a service and sets request limits. */
export interface Route {
  readonly id: RouteId;
  readonly service: ServiceId;
  /** HTTP method in upper case, or `*` for any. */
  readonly method: string;
  /** Matches this path and all paths below it. */
  readonly pathPrefix: string;
  readonly access: RouteAccess;
  /** True if a request may be executed more than once. */
  readonly isIdempotent: boolean;
  /** Maximum deadline that a request can set, in milliseconds. */
  readonly deadlineMs: number;
  readonly bodyLimitBytes: number;
  /**
   * Deduplication window in milliseconds. Two requests of one team with the
   * same body and no idempotency key count as one within it; 0 disables it.
   */
  readonly derivedKeyWindowMs: number;
}
