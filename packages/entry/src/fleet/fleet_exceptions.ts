/** Logs and counts the contained exceptions of a VM in the fleet. */

import {
  ContainedExceptions,
  type ExceptionSource,
} from "../telemetry/contained_exceptions.ts";
import { describeException } from "../telemetry/exception_report.ts";
import type { ServingMetrics } from "../telemetry/serving_metrics.ts";
import type { FleetLog } from "./fleet_log.ts";

/** Writes one line for each contained exception, and counts it by its source. */
export class FleetExceptions extends ContainedExceptions {
  readonly #log: FleetLog;
  readonly #metrics: ServingMetrics;

  /**
   * Creates a reporter.
   *
   * @param log - log of the VM
   * @param metrics - metrics of the VM
   */
  constructor(log: FleetLog, metrics: ServingMetrics) {
    super();
    this.#log = log;
    this.#metrics = metrics;
  }

  override report(source: ExceptionSource, error: unknown): void {
    this.#metrics.count("contained_exceptions", source);
    this.#log.record("exception-contained", {
      source,
      ...describeException(error),
    });
  }
}
