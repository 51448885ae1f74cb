/** State machine of the life cycle of a request and its attempts. */

import { assign, setup } from "xstate";

/** Counters of a request's attempts. */
export interface RequestMachineContext {
  /** Attempts that hold a slot. */
  readonly running: number;
  /** Attempts made so far, hedges included. */
  readonly attempts: number;
}

/** Events in the life of a request. */
export type RequestMachineEvent =
  | { readonly type: "placed" }
  | { readonly type: "attempt-served" }
  | { readonly type: "attempt-failed" }
  | { readonly type: "retry-granted" }
  | { readonly type: "given-up" }
  | { readonly type: "caller-left" };

/**
 * A request waits for a slot, runs one or more attempts, may be retried, and
 * ends either answered or refused, with no attempt running.
 */
export const REQUEST_MACHINE = setup({
  types: {
    context: {} as RequestMachineContext,
    events: {} as RequestMachineEvent,
  },
  guards: {
    isLastRunning: ({ context }) => context.running <= 1,
  },
  actions: {
    addAttempt: assign(({ context }) => ({
      running: context.running + 1,
      attempts: context.attempts + 1,
    })),
    dropAttempt: assign(({ context }) => ({ running: context.running - 1 })),
    dropAll: assign({ running: 0 }),
  },
}).createMachine({
  id: "request",
  context: { running: 0, attempts: 0 },
  initial: "waiting",
  states: {
    waiting: {
      on: {
        placed: { target: "running", actions: "addAttempt" },
        "given-up": { target: "refused" },
        "caller-left": { target: "refused" },
      },
    },
    running: {
      on: {
        placed: { actions: "addAttempt" },
        "attempt-served": { target: "answered", actions: "dropAll" },
        "attempt-failed": [
          {
            guard: "isLastRunning",
            target: "deciding",
            actions: "dropAttempt",
          },
          { actions: "dropAttempt" },
        ],
        "caller-left": { target: "refused", actions: "dropAll" },
      },
    },
    deciding: {
      on: {
        "retry-granted": { target: "waiting" },
        "given-up": { target: "refused" },
        "caller-left": { target: "refused" },
      },
    },
    answered: { type: "final" },
    refused: { type: "final" },
  },
});
