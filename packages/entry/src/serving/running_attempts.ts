/** Tracks the attempts of one request that have not ended. */

import type { ResponseClassification } from "../dialect/serving_dialect.ts";
import type {
  AttemptOutcome,
  AttemptSample,
  Placement,
  PlacementRequest,
} from "../ports/server_router.ts";
import type { HopSpan } from "../telemetry/span_recorder.ts";
import type { BackendAttempt } from "./backend_attempt.ts";
import type { RequestRecord } from "./request_explanations.ts";

/** An unwanted response that is longer is cancelled with its connection. */
const MAX_DISCARDED_BYTES = 65_536;

/** State of an attempt that has not ended. */
export interface RunningAttempt {
  readonly attempt: BackendAttempt;
  readonly placement: Placement;
  readonly request: PlacementRequest;
  readonly span: HopSpan | undefined;
  readonly record: RequestRecord;
  /** True if the response is only read so that the connection can be reused. */
  isDiscarded: boolean;
  /** Bytes of an unwanted response that have been read. */
  discardedBytes: number;
  /** Outcome by the response's headers; `served` until they are received. */
  outcome: AttemptOutcome;
  status: number | undefined;
}

/** An attempt whose response is not used. */
export interface UnusedAttempt {
  readonly running: RunningAttempt;
  readonly sample: AttemptSample;
  /** True if the request certainly did not run in this attempt. */
  readonly isNotRun: boolean;
}

/**
 * Records what the head of a response says.
 *
 * @param running - the attempt
 * @param status - HTTP status of the response
 * @param classified - meaning of status and headers
 */
export function recordHead(
  running: RunningAttempt,
  status: number,
  { outcome, notice, isIdentified }: ResponseClassification,
): void {
  running.outcome = outcome;
  running.status = status;
  if (notice !== undefined) {
    running.placement.observeNotice?.(notice);
  }
  if (isIdentified === false) {
    running.attempt.dropConnection();
  }
}

/**
 * List of the running attempts of one request, with their states.
 */
export class RunningAttempts {
  // An array, since there are few attempts at a time, most often one.
  readonly #states: RunningAttempt[] = [];

  /**
   * Checks whether exactly one attempt is running.
   *
   * @returns false if none or several are running
   */
  isSingle(): boolean {
    return this.#states.length === 1;
  }

  /**
   * Adds an attempt that is about to start.
   *
   * @param attempt - attempt that has not been started
   * @param parts - slot, request for the slot, and span
   */
  add(
    attempt: BackendAttempt,
    parts: Pick<RunningAttempt, "placement" | "request" | "span" | "record">,
  ): void {
    this.#states.push({
      attempt,
      placement: parts.placement,
      request: parts.request,
      span: parts.span,
      record: parts.record,
      isDiscarded: false,
      discardedBytes: 0,
      outcome: "served",
      status: undefined,
    });
  }

  /**
   * Finds the state of an attempt.
   *
   * @param attempt - attempt to look up
   * @returns the state, which may be changed; undefined if it has ended
   */
  find(attempt: BackendAttempt): RunningAttempt | undefined {
    return this.#states.find((state) => state.attempt === attempt);
  }

  /**
   * Removes an attempt that has ended.
   *
   * @param attempt - attempt to remove
   * @returns the last state; undefined if the attempt was removed before
   */
  remove(attempt: BackendAttempt): RunningAttempt | undefined {
    const index = this.#states.findIndex((state) => state.attempt === attempt);
    return index < 0 ? undefined : this.#states.splice(index, 1)[0];
  }

  /**
   * Checks whether a running attempt may still give the response.
   *
   * @param besides - attempt that is not considered
   * @returns true if there is another whose response is not discarded
   */
  hasViable(besides?: BackendAttempt): boolean {
    return this.#states.some((state) =>
      state.attempt !== besides && !state.isDiscarded
    );
  }

  /**
   * Checks whether a backend server may have received the request in an attempt
   * whose response is not discarded.
   *
   * @returns true if a byte of such an attempt may have been sent
   */
  mayBeRunning(): boolean {
    return this.#states.some((state) =>
      !state.isDiscarded && state.attempt.mayHaveRun
    );
  }

  /**
   * Counts bytes of an unwanted response, and cancels the attempt if the
   * response is too long to read it for the sake of the connection.
   *
   * @param attempt - attempt whose response is discarded
   * @param bytes - number of bytes received
   */
  countDiscarded(attempt: BackendAttempt, bytes: number): void {
    const state = this.find(attempt);
    if (state === undefined) {
      return;
    }
    state.discardedBytes += bytes;
    if (state.discardedBytes > MAX_DISCARDED_BYTES) {
      attempt.cancel("cancelled");
    }
  }

  /**
   * Cancels all attempts but the one whose response is used.
   *
   * @param winner - attempt whose response is sent to the caller
   */
  cancelOthers(winner: BackendAttempt): void {
    if (this.isSingle()) {
      return;
    }
    for (const state of [...this.#states]) {
      if (state.attempt !== winner && !state.isDiscarded) {
        state.isDiscarded = true;
        state.outcome = "cancelled";
        state.attempt.cancel("cancelled");
      }
    }
  }

  /**
   * Cancels all attempts.
   *
   * @param outcome - outcome that the attempts report
   */
  cancelAll(outcome: "cancelled" | "timed-out"): void {
    for (const { attempt } of [...this.#states]) {
      attempt.cancel(outcome);
    }
  }
}
