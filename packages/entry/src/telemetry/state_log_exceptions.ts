/** Logs and counts the contained exceptions of a VM with a state log. */

import {
  ContainedExceptions,
  type ExceptionSource,
} from "./contained_exceptions.ts";
import { describeException } from "./exception_report.ts";
import type { ServingMetrics } from "./serving_metrics.ts";
import type { StateLog } from "./state_log.ts";

/** Most lines of a process; after them exceptions are only counted. */
const MAX_LINES = 1_000;

/** Writes one line for each contained exception, and counts it by its source. */
export class StateLogExceptions extends ContainedExceptions {
  readonly #log: StateLog;
  readonly #metrics: ServingMetrics;
  #lineCount = 0;

  /**
   * Creates a reporter.
   *
   * @param log - log of the process
   * @param metrics - metrics of the process
   */
  constructor(log: StateLog, metrics: ServingMetrics) {
    super();
    this.#log = log;
    this.#metrics = metrics;
  }

  override report(source: ExceptionSource, error: unknown): void {
    this.#metrics.count("contained_exceptions", `source:${source}`);
    this.#lineCount += 1;
    if (this.#lineCount <= MAX_LINES) {
      this.#log.record({
        kind: "exception-contained",
        source,
        ...describeException(error),
      });
    }
  }
}
