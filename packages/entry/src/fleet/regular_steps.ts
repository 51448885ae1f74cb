/** Runs steps at intervals, each of them also if another one throws. */

import type { ContainedExceptions } from "../telemetry/contained_exceptions.ts";

/** A step; the next turn does not wait for it. */
export type RegularStep = () => void | Promise<void>;

/**
 * Runs steps at intervals.
 *
 * @param intervalMs - time between turns
 * @param exceptions - receives what the steps throw
 * @param steps - all steps of a turn, in order
 * @returns timer to clear
 */
export function startRegularSteps(
  intervalMs: number,
  exceptions: ContainedExceptions,
  steps: readonly RegularStep[],
): NodeJS.Timeout {
  return setInterval(() => {
    for (const step of steps) {
      void exceptions.wait("timer", runStep(step));
    }
  }, intervalMs);
}

// What a step throws at once becomes a rejection.
async function runStep(step: RegularStep): Promise<void> {
  await step();
}
