/** Reports exceptions that end only what they came from. */

/** What an exception came from, by names of a small fixed set. */
export const EXCEPTION_SOURCE = {
  caller: "caller",
  directory: "directory",
  metrics: "metrics",
  peer: "peer",
  server: "server",
  stop: "stop",
  store: "store",
  timer: "timer",
} as const;
/** One of {@link EXCEPTION_SOURCE}. */
export type ExceptionSource =
  typeof EXCEPTION_SOURCE[keyof typeof EXCEPTION_SOURCE];

/** Receives exceptions after whose connection or call the process goes on. */
export abstract class ContainedExceptions {
  /**
   * Logs and counts an exception.
   *
   * @param source - what it came from
   * @param error - whatever was thrown
   */
  abstract report(source: ExceptionSource, error: unknown): void;

  /**
   * Builds a handler of exceptions.
   *
   * @param source - what they come from
   * @returns reports an exception
   */
  buildHandler(source: ExceptionSource): (error: unknown) => void {
    return (error) => {
      this.report(source, error);
    };
  }

  /**
   * Runs a step, and reports what it throws.
   *
   * @param source - what the step comes from
   * @param step - ends early if it throws
   */
  run(source: ExceptionSource, step: () => void): void {
    try {
      step();
    } catch (error) {
      this.report(source, error);
    }
  }

  /**
   * Waits for work, and reports what it throws.
   *
   * @param source - what the work comes from
   * @param work - ends early if it throws
   */
  async wait(source: ExceptionSource, work: Promise<unknown>): Promise<void> {
    try {
      await work;
    } catch (error) {
      this.report(source, error);
    }
  }
}
