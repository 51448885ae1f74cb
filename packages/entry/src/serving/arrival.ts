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

/** When a request arrived, as far as it is known. */
export type UnreadArrival = Pick<
  Arrival,
  "receivedAtMs" | "minUnreadMs" | "likelyUnreadMs"
>;

/** The time in which a request can be served, in monotonic milliseconds. */
export interface RequestTimes {
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Times of a request whose timeout is not known. */
export const UNLIMITED_TIMES: RequestTimes = {
  arrivedAtMs: -Infinity,
  deadlineAtMs: Infinity,
};

/**
 * Estimates the time in which a request can be served.
 *
 * @param arrival - when it was read, and how long it is likely to have lain unread
 * @param timeoutMs - time that the caller and its route give it, in milliseconds
 * @returns when it arrived, and when its time is up
 */
export function estimateTimes(
  arrival: UnreadArrival,
  timeoutMs: number,
): RequestTimes {
  const arrivedAtMs = estimateArrivalMs(arrival, timeoutMs);
  return { arrivedAtMs, deadlineAtMs: arrivedAtMs + timeoutMs };
}

/**
 * Estimates when a request arrived, from which its caller's time counts.
 *
 * @param arrival - when it was read, and how long it is likely to have lain unread
 * @param timeoutMs - time that the caller gives it, in milliseconds
 * @returns monotonic time, in milliseconds
 */
export function estimateArrivalMs(
  { receivedAtMs, minUnreadMs, likelyUnreadMs }: UnreadArrival,
  timeoutMs: number,
): number {
  const estimatedMs = Math.min(likelyUnreadMs, timeoutMs * MAX_UNREAD_SHARE);
  return receivedAtMs - Math.max(minUnreadMs, estimatedMs);
}
