/** Opens the attempts of a series. */

import type { AttemptSample, Placement } from "../ports/server_router.ts";
import type { HopSpan } from "../telemetry/span_recorder.ts";
import { openAttemptConnection } from "./attempt_connection.ts";
import type { AttemptListener } from "./attempt_listener.ts";
import { openAttemptSpan } from "./attempt_span.ts";
import { BackendAttempt } from "./backend_attempt.ts";
import { UNUSED_SAMPLE } from "./lazy_slot_request.ts";
import type {
  OutboundRequest,
  SeriesDependencies,
} from "./response_receiver.ts";
import type { RunningAttempt } from "./running_attempts.ts";
import type { StepGuard } from "./step_guard.ts";

/** What an attempt is opened with. */
export interface SeriesAttemptOptions {
  readonly dependencies: SeriesDependencies;
  readonly request: OutboundRequest;
  readonly listener: AttemptListener;
  readonly guard: StepGuard;
  /** Number of this attempt, from 1. */
  readonly number: number;
  /** Attempts that were sent before. */
  readonly sent: number;
}

/** An attempt that was opened. */
export interface OpenedAttempt {
  readonly attempt: BackendAttempt;
  /** Undefined if nothing is traced. */
  readonly span: HopSpan | undefined;
}

/**
 * Opens an attempt on a connection of its own; nothing is sent yet.
 *
 * @param placement - slot of the attempt, which is given back if this throws
 * @param options - request, number, listener and guard
 * @returns the attempt and its span
 */
export function openAttempt(
  placement: Placement,
  options: SeriesAttemptOptions,
): OpenedAttempt {
  try {
    return buildAttempt(placement, options);
  } catch (error) {
    returnSlot(placement, options.guard);
    throw error;
  }
}

/**
 * Gives a slot back that was not used.
 *
 * @param placement - the slot
 * @param guard - reports exceptions
 */
export function returnSlot(placement: Placement, guard: StepGuard): void {
  guard.offer(() => {
    placement.complete(UNUSED_SAMPLE);
  });
}

/**
 * Records an attempt that has ended and gives its slot back. The caller gets the
 * response also if that throws.
 *
 * @param running - the attempt
 * @param sample - how it ended
 * @param guard - reports exceptions
 */
export function completeAttempt(
  { span, status, placement, record }: RunningAttempt,
  sample: AttemptSample,
  guard: StepGuard,
): void {
  guard.offer(() => {
    span?.close(status);
    record.addAttempt(placement.server.id, sample);
  });
  guard.offer(() => {
    placement.complete(sample);
  });
}

function buildAttempt(
  placement: Placement,
  { dependencies, request, listener, number, sent }: SeriesAttemptOptions,
): OpenedAttempt {
  const { ports, dialect } = dependencies;
  const span = openAttemptSpan(ports, request, placement);
  const message = dialect.buildAttempt(request, {
    number,
    nowMs: ports.clock.readMonotonicMs(),
    traceparent: span?.traceparent,
    server: placement.server.id,
    ...placement.isForwarded === true
      ? { forwarding: { attempts: sent, isCounted: number > 1 } }
      : {},
  });
  const attempt = new BackendAttempt(
    {
      ...message,
      verifyServer: placement.verifyServer,
      isServerInUse: placement.isServerInUse,
    },
    openAttemptConnection(dependencies, placement, message.identity.id),
    {
      clock: ports.clock,
      loop: ports.loop,
      exceptions: ports.exceptions,
      listener,
    },
  );
  return { attempt, span };
}
