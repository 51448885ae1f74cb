/** State machine of a backend server's health, on its shard's holder. */

import { assign, setup } from "xstate";

/** Backoff between a first ejection and its trial. */
export const FIRST_BACKOFF_MS = 5_000;
/** Maximum backoff between trials. */
export const MAX_BACKOFF_MS = 300_000;
/** Time in which the load of a readmitted server grows to its full share. */
export const RAMP_MS = 10_000;
/** Successful requests after which a trial ends in a readmission. */
export const TRIAL_SUCCESSES = 5;
/** Time after which a trial without idempotent requests ends in a ramp. */
export const TRIAL_TIMEOUT_MS = 120_000;
/** Time without an ejection after which the backoff is reset. */
export const STABLE_MS = 600_000;

/** Context of the state machine; times are monotonic. */
export interface ServerHealthContext {
  /** Consecutive ejections; the backoff grows with them. */
  readonly strikes: number;
  /** When the current state began. */
  readonly changedAtMs: number;
  /** When the current state ends without further events. */
  readonly untilMs: number;
  /** Successful requests of the current trial. */
  readonly successes: number;
  /** Share of failed and very slow requests at detection, from 0 to 1. */
  readonly severity: number;
  /** Name of the gray alternative that was detected last, or "none". */
  readonly alternative: string;
}

/** Event of the state machine. */
export type ServerHealthEvent =
  /** The detector found the server gray. */
  | {
    readonly type: "accused";
    readonly severity: number;
    readonly alternative: string;
    readonly nowMs: number;
  }
  /** The floor requires the server in rotation. */
  | { readonly type: "spared"; readonly nowMs: number }
  /** A health probe succeeded; shortens the backoff before a trial. */
  | { readonly type: "probe-answered"; readonly nowMs: number }
  | { readonly type: "trial-succeeded"; readonly nowMs: number }
  | { readonly type: "trial-failed"; readonly nowMs: number }
  | { readonly type: "time-passed"; readonly nowMs: number };

/** Context of a server that has never been ejected. */
export const INITIAL_SERVER_HEALTH: ServerHealthContext = {
  strikes: 0,
  changedAtMs: 0,
  untilMs: 0,
  successes: 0,
  severity: 0,
  alternative: "none",
};

/**
 * Computes the exponential backoff between an ejection and its trial.
 *
 * @param strikes - consecutive ejections, this one included; at least 1
 * @returns backoff in milliseconds
 */
export function computeBackoffMs(strikes: number): number {
  return Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (strikes - 1));
}

/**
 * State machine: healthy -> ejected -> trial -> ramping -> healthy. A failed
 * trial or a new detection ejects the server again, with a longer backoff.
 */
export const SERVER_HEALTH_MACHINE = setup({
  types: {
    context: {} as ServerHealthContext,
    events: {} as ServerHealthEvent,
  },
  guards: {
    isOver: ({ context, event }) => event.nowMs >= context.untilMs,
    isStable: ({ context, event }) =>
      context.strikes > 0 && event.nowMs - context.changedAtMs >= STABLE_MS,
    isLastSuccess: ({ context }) => context.successes + 1 >= TRIAL_SUCCESSES,
  },
  actions: {
    eject: assign(({ context, event }) => {
      const strikes = context.strikes + 1;
      const isDetection = event.type === "accused";
      return {
        strikes,
        changedAtMs: event.nowMs,
        untilMs: event.nowMs + computeBackoffMs(strikes),
        successes: 0,
        severity: isDetection ? event.severity : context.severity,
        alternative: isDetection ? event.alternative : context.alternative,
      };
    }),
    raiseSeverity: assign(({ context, event }) => ({
      severity: event.type === "accused"
        ? Math.max(event.severity, context.severity)
        : context.severity,
    })),
    shortenWait: assign(({ context, event }) => ({
      untilMs: Math.min(
        context.untilMs,
        Math.max(
          event.nowMs,
          context.changedAtMs + computeBackoffMs(context.strikes) / 2,
        ),
      ),
    })),
    beginTrial: assign(({ event }) => ({
      changedAtMs: event.nowMs,
      untilMs: event.nowMs + TRIAL_TIMEOUT_MS,
      successes: 0,
    })),
    countSuccess: assign(({ context }) => ({
      successes: context.successes + 1,
    })),
    beginRamp: assign(({ event }) => ({
      changedAtMs: event.nowMs,
      untilMs: event.nowMs + RAMP_MS,
      successes: 0,
    })),
    endRamp: assign(({ event }) => ({ changedAtMs: event.nowMs })),
    forgetStrikes: assign({ strikes: 0 }),
  },
}).createMachine({
  id: "server-health",
  context: INITIAL_SERVER_HEALTH,
  initial: "healthy",
  states: {
    healthy: {
      on: {
        accused: { target: "ejected", actions: "eject" },
        "time-passed": { guard: "isStable", actions: "forgetStrikes" },
      },
    },
    ejected: {
      on: {
        accused: { actions: "raiseSeverity" },
        spared: { target: "healthy", actions: "endRamp" },
        "probe-answered": { actions: "shortenWait" },
        "time-passed": {
          guard: "isOver",
          target: "trial",
          actions: "beginTrial",
        },
      },
    },
    trial: {
      on: {
        spared: { target: "healthy", actions: "endRamp" },
        "trial-failed": { target: "ejected", actions: "eject" },
        "trial-succeeded": [
          { guard: "isLastSuccess", target: "ramping", actions: "beginRamp" },
          { actions: "countSuccess" },
        ],
        "time-passed": {
          guard: "isOver",
          target: "ramping",
          actions: "beginRamp",
        },
      },
    },
    ramping: {
      on: {
        accused: { target: "ejected", actions: "eject" },
        "time-passed": {
          guard: "isOver",
          target: "healthy",
          actions: "endRamp",
        },
      },
    },
  },
});
