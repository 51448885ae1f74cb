/** Puts exceptions into words. */

const MAX_CAUSE_LENGTH = 500;
const MAX_STACK_LENGTH = 2_000;
const NO_WORDS = "an exception that can't be put into words";

/** An exception in words of bounded length. */
export interface ExceptionReport {
  readonly cause: string;
  /** Call stack as far as known, without the cause; may be empty. */
  readonly stack: string;
}

/**
 * Puts an exception into words. Its properties may throw in their turn. Nothing of
 * it is inspected in depth, since that may take long.
 *
 * @param error - whatever was thrown
 * @returns its message and stack, cut to a bounded length
 */
export function describeException(error: unknown): ExceptionReport {
  try {
    if (!(error instanceof Error)) {
      return { cause: String(error).slice(0, MAX_CAUSE_LENGTH), stack: "" };
    }
    const cause = `${error.name}: ${error.message}`;
    const stack = error.stack ?? "";
    return {
      cause: cause.slice(0, MAX_CAUSE_LENGTH),
      stack: (stack.startsWith(cause) ? stack.slice(cause.length) : stack)
        .slice(0, MAX_STACK_LENGTH),
    };
  } catch {
    return { cause: NO_WORDS, stack: "" };
  }
}
