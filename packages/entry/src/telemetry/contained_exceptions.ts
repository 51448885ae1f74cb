/** Reports exceptions that end only what they came from. */

/** What an exception came from, by names of a small fixed set. */
export const EXCEPTION_SOURCE = {
  caller: "caller",
  directory: "directory",
  metrics: "metrics",
  stop: "stop",
  store: "store",
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
}
