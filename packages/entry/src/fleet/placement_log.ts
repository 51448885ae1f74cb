/** Logs what the load balancer decides on a request and how attempts end. */

import type { TakenSlot } from "@limpetford/core/placement/placement_decision";
import type { Clock } from "@limpetford/core/time/clock";
import type { ServerId } from "@limpetford/domain/ids";

import type {
  AttemptSample,
  FailedAttempt,
  PlacementRequest,
} from "../ports/server_router.ts";
import { readServiceId } from "./demand_builder.ts";
import type { FleetLog } from "./fleet_log.ts";
import type { FleetState } from "./fleet_state.ts";
import type { LogEventFields } from "./log_events.ts";
import type { TokenVerdict } from "./server_token_client.ts";

/** Logged in place of a time for an attempt that was not sent. */
const NEVER_SENT = -1;

/** Dependencies of a {@link PlacementLog}. */
export interface PlacementLogOptions {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly log: FleetLog;
}

/** A slot that a request has taken. */
export interface PlacedRequest {
  readonly request: PlacementRequest;
  readonly slot: TakenSlot;
  /** Share of the service's servers in gray failure, 0 to 1. */
  readonly grayShare: number;
  /** Monotonic time at which the request asked for a slot. */
  readonly askedAtMs: number;
}

/** Writes the log lines of the placement of requests. */
export class PlacementLog {
  readonly #options: PlacementLogOptions;

  /**
   * Creates a log that adds the state's age to its lines.
   *
   * @param options - log, clock and state
   */
  constructor(options: PlacementLogOptions) {
    this.#options = options;
  }

  /**
   * Logs that a request waits for a slot.
   *
   * @param request - the request
   * @param waiting - length of the queue, this request included
   */
  recordWaiting(request: PlacementRequest, waiting: number): void {
    this.#options.log.record("request-waits", {
      request: request.context.id,
      service: readServiceId(request),
      waiting,
    });
  }

  /**
   * Logs that a request does not go to a server that names a rate limit.
   *
   * @param request - the request
   * @param server - the server
   * @param refusal - why no token was granted, and when to ask again
   */
  recordDeferred(
    request: PlacementRequest,
    server: ServerId,
    refusal: Extract<TokenVerdict, { readonly kind: "refused" }>,
  ): void {
    this.#options.log.record("request-deferred", {
      request: request.context.id,
      server,
      cause: refusal.cause,
      retryAfterMs: Math.round(refusal.retryAfterMs),
    });
  }

  /**
   * Logs that a request is sent to a server.
   *
   * @param placed - the request and its slot
   */
  recordPlaced({ request, slot, grayShare, askedAtMs }: PlacedRequest): void {
    const { clock, log, state } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const { server } = slot;
    log.record("request-placed", {
      request: request.context.id,
      attempt: request.attempt,
      server: server.announced.id,
      failureProbability: Number(
        server.estimateFailureProbability(grayShare, nowMs).toFixed(3),
      ),
      load: server.load,
      ownLoad: server.ownLoad,
      slots: server.announced.slots,
      serversAgeMs: Math.round(state.serversAgeMs),
      waitedMs: Math.round(nowMs - askedAtMs),
    });
  }

  /**
   * Logs that a failed attempt is the last one for want of retry budget.
   *
   * @param attempt - the failed attempt
   */
  recordRetryDenied({ request, sample }: FailedAttempt): void {
    this.#options.log.record("retry-denied", {
      request: request.context.id,
      service: readServiceId(request),
      outcome: sample.outcome,
    });
  }

  /**
   * Logs the end of an attempt.
   *
   * @param request - the request
   * @param slot - slot that the attempt used
   * @param sample - outcome and duration of the attempt
   */
  recordEnded(
    request: PlacementRequest,
    slot: TakenSlot,
    sample: AttemptSample,
  ): void {
    const { log } = this.#options;
    const server = slot.server.announced.id;
    log.record("attempt-ended", describeEnd(request, server, sample));
    if (sample.unreadMs !== undefined) {
      log.record("response-unsized", {
        request: request.context.id,
        server,
        outcome: sample.outcome,
        bytes: sample.answerBytes,
        unreadMs: Math.round(sample.unreadMs),
      });
    }
  }
}

/**
 * Describes the end of an attempt.
 *
 * @param request - the request
 * @param server - the backend server or the VM that it went to
 * @param sample - outcome, duration and connection of the attempt
 * @returns fields of the event `attempt-ended`
 */
export function describeEnd(
  { context, attempt }: PlacementRequest,
  server: string,
  { outcome, totalMs, sentAfterMs, connection }: AttemptSample,
): LogEventFields["attempt-ended"] {
  return {
    request: context.id,
    attempt,
    server,
    outcome,
    totalMs: Math.round(totalMs),
    sentAfterMs: Math.round(sentAfterMs ?? NEVER_SENT),
    connection: connection?.number ?? 0,
    requestsBefore: connection?.requestsBefore ?? 0,
    copies: connection?.copies ?? 0,
  };
}
