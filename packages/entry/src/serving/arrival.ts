/** When a request arrived, and from when its caller's time counts. */

import type { RequestId } from "@limpetford/domain/ids";

import type { ForwardingTerms } from "../dialect/forwarding_headers.ts";

/**
 * Largest share of a request's time that is taken to have passed by an estimate.
 * Callers wait no longer for a VM that reads nothing, and of those that do, none is
 * refused for an estimate.
 */
const MAX_UNREAD_SHARE = 1 / 3;

/** Identifier and arrival time of a request. */
export interface Arrival {
  readonly id: RequestId;
  /** Monotonic time at which it was read, in milliseconds. */
  readonly receivedAtMs: number;
  /** Time for which it has certainly lain unread, in milliseconds. */
  readonly minUnreadMs: number;
  /** Time for which it is likely to have lain unread, in milliseconds. */
  readonly likelyUnreadMs: number;
  /** Set if another VM has forwarded the request to this one. */
  readonly forwarding?: ForwardingTerms | undefined;
}

/**
 * Estimates when a request arrived, from which its caller's time counts.
 *
 * @param arrival - when it was read, and how long it is likely to have lain unread
 * @param timeoutMs - time that the caller gives it, in milliseconds
 * @returns monotonic time, in milliseconds
 */
export function estimateArrivalMs(
  { receivedAtMs, minUnreadMs, likelyUnreadMs }: Arrival,
  timeoutMs: number,
): number {
  const estimatedMs = Math.min(likelyUnreadMs, timeoutMs * MAX_UNREAD_SHARE);
  return receivedAtMs - Math.max(minUnreadMs, estimatedMs);
}
