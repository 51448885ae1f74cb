/** Logs the admission and the end of each request. */

import type { Clock } from "@limpetford/core/time/clock";

import type { RequestContext } from "../ports/request_context.ts";
import { DecisionLog, type RequestEnd } from "../telemetry/decision_log.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { FleetState } from "./fleet_state.ts";

/**
 * Logs each decision with the version and age of the configuration that it was
 * based on.
 */
export class FleetDecisionLog extends DecisionLog {
  readonly #log: FleetLog;
  readonly #state: FleetState;
  readonly #clock: Clock;

  /**
   * Creates a decision log.
   *
   * @param log - receives the lines
   * @param state - supplies the configuration's version and age
   * @param clock - used to compute the time left until a deadline
   */
  constructor(log: FleetLog, state: FleetState, clock: Clock) {
    super();
    this.#log = log;
    this.#state = state;
    this.#clock = clock;
  }

  override recordAdmitted(context: RequestContext, maxUnreadMs: number): void {
    const nowMs = this.#clock.readMonotonicMs();
    this.#log.record("request-admitted", {
      request: context.id,
      route: context.route.id,
      service: context.terms?.service ?? context.route.service,
      team: context.team ?? "",
      deadlineInMs: Math.round(context.deadlineAtMs - nowMs),
      maxUnreadMs: Math.round(maxUnreadMs),
      queuedMs: Math.round(nowMs - context.receivedAtMs),
      configurationVersion: this.#state.active?.configuration.version ?? -1,
    });
  }

  override recordEnd(end: RequestEnd): void {
    const totalMs = Math.round(end.durationMs);
    if (end.refusal !== undefined) {
      this.#log.record("request-refused", {
        request: end.requestId,
        cause: end.refusal.kind,
        outcome: end.refusal.outcome,
        status: end.status ?? 0,
        totalMs,
        configurationVersion: this.#state.active?.configuration.version ?? -1,
        configurationAgeMs: toLoggedAge(this.#state.configurationAgeMs),
      });
    } else if (end.status === undefined) {
      this.#log.record("request-abandoned", {
        request: end.requestId,
        totalMs,
      });
    } else {
      this.#log.record("request-answered", {
        request: end.requestId,
        status: end.status,
        totalMs,
      });
    }
  }
}

// The age is infinite until the configuration was first confirmed as newest;
// JSON has no Infinity, so -1 stands for it.
function toLoggedAge(ageMs: number): number {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : -1;
}
