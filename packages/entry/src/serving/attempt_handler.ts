/** Passes the events of the HTTP client on to an attempt. */

import type { Dispatcher } from "undici";

import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";
import type { BackendAttempt } from "./backend_attempt.ts";
import { StepGuard } from "./step_guard.ts";

/**
 * Builds the guard of an attempt's steps.
 *
 * @param exceptions - receives what they throw; not reported if undefined
 * @param abort - ends the attempt
 * @returns guard that ends the attempt by the first exception
 */
export function buildAttemptGuard(
  exceptions: ContainedExceptions | undefined,
  abort: () => void,
): StepGuard {
  return new StepGuard({ exceptions, source: EXCEPTION_SOURCE.server, abort });
}

/**
 * Builds the handler of an attempt's HTTP exchange. It never throws: in the HTTP
 * client's parser that would break the connection without a word.
 *
 * @param attempt - receives the events
 * @param guard - ends the attempt if it throws
 * @returns handler for undici
 */
export function buildAttemptHandler(
  attempt: BackendAttempt,
  guard: StepGuard,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart(controller) {
      guard.run(() => {
        attempt.handleRequestStart();
      });
      if (attempt.isFinished) {
        controller.abort(new Error("attempt has ended"));
      }
    },
    onResponseStart(_controller, ...head) {
      const [status, headers, reason] = head;
      guard.run(() => {
        attempt.handleResponseStart({ status, headers, reason });
      });
    },
    onResponseData(_controller, chunk) {
      guard.run(() => {
        attempt.handleChunk(chunk);
      });
    },
    onResponseEnd() {
      guard.run(() => {
        attempt.handleEnd();
      });
    },
    onResponseError() {
      guard.run(() => {
        attempt.handleError();
      });
    },
  };
}
