/** A request for a slot, with the callback for its verdict. */

import type { RoutingRequest, RoutingVerdict } from "./routing_request.ts";

/** A request for a slot that waits for its verdict. */
export interface Ticket {
  readonly request: RoutingRequest;
  /** Receives the verdict; call it through {@link deliverVerdict} only. */
  readonly deliver: (verdict: RoutingVerdict) => void;
  /** Monotonic time of arrival, in milliseconds. */
  readonly queuedAtMs: number;
  /** True once the verdict is delivered or the request cancelled. */
  isSettled: boolean;
  /** True if the request is a suspect that runs by permit of the holder. */
  isPermitted: boolean;
}

/**
 * Delivers the verdict, unless one was delivered or the request cancelled.
 *
 * @param ticket - request that waits for its verdict
 * @param verdict - slot, or reason for the refusal
 */
export function deliverVerdict(ticket: Ticket, verdict: RoutingVerdict): void {
  if (!ticket.isSettled) {
    ticket.isSettled = true;
    ticket.deliver(verdict);
  }
}
