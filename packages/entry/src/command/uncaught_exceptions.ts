/** Reports exceptions that nothing catches, in place of Node's sudden end. */

import {
  describeException,
  type ExceptionReport,
} from "../telemetry/exception_report.ts";

/** Most lines that exceptions write; after them they are only counted. */
const MAX_LINES = 20;

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
