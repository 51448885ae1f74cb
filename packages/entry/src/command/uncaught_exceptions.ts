/** Reports exceptions that nothing catches, in place of Node's sudden end. */

/** Most lines that exceptions write; after them they are only counted. */
const MAX_LINES = 20;
const MAX_CAUSE_LENGTH = 500;
const MAX_STACK_LENGTH = 2_000;
const NO_WORDS = "an exception that can't be put into words";

/** An exception in words of bounded length. */
export interface ExceptionReport {
  readonly cause: string;
  /** Call stack as far as known, without the cause; may be empty. */
  readonly stack: string;
}

/** What is done with exceptions that nothing catches. */
export interface ExceptionListener {
  /** Counts an exception. */
  readonly count: () => void;
  /** Logs an exception; called for the first ones only. */
  readonly log: (report: ExceptionReport) => void;
}

/**
 * Keeps the process alive when something throws that nothing catches, so that its
 * command can finish what is in flight and exit.
 */
export class UncaughtExceptions {
  readonly #listener: ExceptionListener;
  readonly #first: Promise<void>;
  #resolveFirst: () => void = () => undefined;
  #count = 0;

  /**
   * Replaces Node's handling of exceptions and rejections that nothing catches.
   *
   * @param listener - counts and logs them; what it throws is ignored
   */
  constructor(listener: ExceptionListener) {
    this.#listener = listener;
    this.#first = new Promise((resolve) => {
      this.#resolveFirst = resolve;
    });
    process.on("uncaughtException", (error: unknown) => {
      this.report(error);
    });
    process.on("unhandledRejection", (reason: unknown) => {
      this.report(reason);
    });
  }

  /**
   * Whether any exception has come.
   *
   * @returns true from the first one on
   */
  get hasOccurred(): boolean {
    return this.#count > 0;
  }

  /** Waits for the first exception. */
  async waitFirst(): Promise<void> {
    await this.#first;
  }

  /**
   * Counts and logs an exception.
   *
   * @param error - whatever was thrown
   */
  report(error: unknown): void {
    this.#count += 1;
    this.#resolveFirst();
    // What is thrown here would end the process after all.
    try {
      this.#listener.count();
      if (this.#count <= MAX_LINES) {
        this.#listener.log(describeException(error));
      }
    } catch {
      return;
    }
  }
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
