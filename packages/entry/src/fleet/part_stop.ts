/** Stops the parts of a VM, each of them also if another one throws. */

import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";

/** A part that stops. */
export interface StoppablePart {
  readonly stop: () => void | Promise<void>;
}

/** Clients whose connections are closed. */
export interface ClosablePart {
  readonly close: () => Promise<void>;
}

/**
 * Stops all parts in turn.
 *
 * @param parts - what stops, then what is closed, in this order
 * @param exceptions - receives what they throw
 */
export async function stopParts(
  parts: readonly (StoppablePart | ClosablePart)[],
  exceptions: ContainedExceptions,
): Promise<void> {
  for (const part of parts) {
    try {
      await ("stop" in part ? part.stop() : part.close());
    } catch (error) {
      exceptions.report(EXCEPTION_SOURCE.stop, error);
    }
  }
}
