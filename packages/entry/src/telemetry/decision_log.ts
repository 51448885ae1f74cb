/** Contract of the log of decisions on requests. */

import type { RequestContext } from "../ports/request_context.ts";
import type { Refusal } from "../serving/refusal.ts";

/** Result of a request, for the last line about it. */
export interface RequestEnd {
  readonly requestId: string;
  /** Set if limpetford answered in place of a backend server. */
  readonly refusal: Refusal | undefined;
  /** Status sent to the caller; undefined if it disconnected before that. */
  readonly status: number | undefined;
  /** Time from the arrival of the request to its end. */
  readonly durationMs: number;
}

/** Writes a log line for each decision on a request. */
export abstract class DecisionLog {
  /**
   * Records that a request has been authenticated and routed.
   *
   * @param context - admitted request
   * @param maxUnreadMs - longest time for which it may have lain unread
   */
  abstract recordAdmitted(context: RequestContext, maxUnreadMs: number): void;

  /**
   * Records how a request ended; called once for each request.
   *
   * @param end - response or refusal, and duration
   */
  abstract recordEnd(end: RequestEnd): void;
}
