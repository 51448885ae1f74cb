/** Opens the trace span of one attempt. */

import type { Placement } from "../ports/server_router.ts";
import type { HopSpan } from "../telemetry/span_recorder.ts";
import type { OutboundRequest } from "./response_receiver.ts";
import type { ServingPorts } from "./serving_ports.ts";

/**
 * Opens the span of an attempt at a backend server.
 *
 * @param ports - has the recorder of spans
 * @param request - request that the attempt sends
 * @param placement - slot that the attempt uses
 * @returns the open span; undefined if spans are not recorded
 */
export function openAttemptSpan(
  { spans }: ServingPorts,
  { context, traceparent }: OutboundRequest,
  placement: Placement,
): HopSpan | undefined {
  return spans?.open("backend", traceparent, {
    requestId: context.id,
    method: context.method,
    route: context.route.id,
    peer: placement.server.id,
  });
}
