/** A request on its way to a slot. */

import type { RoutingRequest, RoutingVerdict } from "./routing_request.ts";

/** A request on its way to a slot. */
export interface Ticket {
  readonly request: RoutingRequest;
  readonly deliver: (verdict: RoutingVerdict) => void;
  /** Monotonic time of arrival, in milliseconds. */
  readonly queuedAtMs: number;
  /** True once a verdict is delivered or nobody wants it any more. */
  isSettled: boolean;
  /** True if it runs by permit of the holder. */
  isPermitted: boolean;
}

/**
 * Delivers the verdict, unless nobody wants it any more.
 *
 * @param ticket - the request
 * @param verdict - the verdict
 */
export function deliverVerdict(ticket: Ticket, verdict: RoutingVerdict): void {
  if (!ticket.isSettled) {
    ticket.isSettled = true;
    ticket.deliver(verdict);
  }
}
