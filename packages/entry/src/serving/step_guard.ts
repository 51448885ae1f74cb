/** Contains what the steps of one request or attempt throw. */

import type {
  ContainedExceptions,
  ExceptionSource,
} from "../telemetry/contained_exceptions.ts";

/** Dependencies of a {@link StepGuard}. */
export interface StepGuardOptions {
  /** Receives what is thrown; nothing is reported if absent. */
  readonly exceptions: ContainedExceptions | undefined;
  /** What the steps come from. */
  readonly source: ExceptionSource;
  /** Ends the request or attempt; called once. */
  readonly abort: () => void;
}

/** Runs steps so that what they throw ends only what they belong to. */
export class StepGuard {
  readonly #options: StepGuardOptions;
  #isAborted = false;

  /**
   * Prepares to run steps.
   *
   * @param options - what they come from, and how to end it
   */
  constructor(options: StepGuardOptions) {
    this.#options = options;
  }

  /**
   * Runs a step without which the request or attempt can't go on.
   *
   * @param step - ends it by an exception
   */
  run(step: () => void): void {
    try {
      step();
    } catch (error) {
      this.handle(error);
    }
  }

  /**
   * Binds a step to this guard, for whoever calls it later.
   *
   * @param step - as for `run`
   * @returns runs it; never throws
   */
  bind(step: () => void): () => void {
    return () => {
      this.run(step);
    };
  }

  /**
   * Runs a step without which the request or attempt goes on.
   *
   * @param step - what it throws is only reported
   * @returns its value; undefined if it throws
   */
  offer<Value>(step: () => Value): Value | undefined {
    try {
      return step();
    } catch (error) {
      this.#report(error);
      return undefined;
    }
  }

  /**
   * Reports an exception, and ends the request or attempt if it is the first one.
   *
   * @param error - whatever was thrown
   */
  handle(error: unknown): void {
    this.#report(error);
    if (!this.#isAborted) {
      this.#isAborted = true;
      this.#options.abort();
    }
  }

  #report(error: unknown): void {
    const { exceptions, source } = this.#options;
    exceptions?.report(source, error);
  }
}
