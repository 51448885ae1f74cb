/** Contains what the steps of one request throw. */

import {
  type ContainedExceptions,
  EXCEPTION_SOURCE,
} from "../telemetry/contained_exceptions.ts";

/** Runs the steps of one request, so that what they throw ends only this one. */
export class SeriesGuard {
  readonly #exceptions: ContainedExceptions | undefined;
  readonly #abort: () => void;
  #isAborted = false;

  /**
   * Prepares to run steps.
   *
   * @param exceptions - receives what is thrown
   * @param abort - ends the request; called once
   */
  constructor(exceptions: ContainedExceptions | undefined, abort: () => void) {
    this.#exceptions = exceptions;
    this.#abort = abort;
  }

  /**
   * Runs a step without which the request can't go on.
   *
   * @param step - ends the request if it throws
   */
  run(step: () => void): void {
    try {
      step();
    } catch (error) {
      this.handle(error);
    }
  }

  /**
   * Runs a step without which the request goes on.
   *
   * @param step - what it throws is only reported
   * @returns its value; undefined if it throws
   */
  offer<Value>(step: () => Value): Value | undefined {
    try {
      return step();
    } catch (error) {
      this.#exceptions?.report(EXCEPTION_SOURCE.caller, error);
      return undefined;
    }
  }

  /**
   * Reports an exception, and ends the request if it is the first one.
   *
   * @param error - whatever was thrown
   */
  handle(error: unknown): void {
    this.#exceptions?.report(EXCEPTION_SOURCE.caller, error);
    if (!this.#isAborted) {
      this.#isAborted = true;
      this.#abort();
    }
  }
}
