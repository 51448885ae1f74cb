/** Writes the lines of the catalogue, within a budget. */

import { LogRateLimiter } from "@limpetford/core/limits/log_rate_limiter";
import type { Clock } from "@limpetford/core/time/clock";
import * as winston from "winston";

import { BoundedWriter } from "../telemetry/bounded_writer.ts";
import {
  LOG_EVENTS,
  type LogEventFields,
  type LogEventName,
  type LogLevel,
} from "./log_events.ts";

const LINES_PER_SECOND = 400;
/** Part of the lines kept for warnings and errors. */
const IMPORTANT_SHARE = 0.4;
const DROP_REPORT_INTERVAL_MS = 5_000;
const STDOUT = 1;

/** Settings of the log. */
export interface FleetLogOptions {
  readonly clock: Clock;
  readonly level: LogLevel;
  readonly vm: string;
  /** Default standard output. */
  readonly writer?: BoundedWriter;
}

/**
 * Writes JSON lines to standard output. Lines beyond the budget are dropped,
 * counted, and the count is written.
 */
export class FleetLog {
  readonly #clock: Clock;
  readonly #writer: BoundedWriter;
  readonly #logger: winston.Logger;
  readonly #budget: LogRateLimiter;
  #overBudgetCount = 0;
  #reportedAtMs: number;

  /**
   * Prepares the log.
   *
   * @param options - settings
   */
  constructor(options: FleetLogOptions) {
    this.#clock = options.clock;
    this.#writer = options.writer ?? new BoundedWriter(STDOUT);
    const nowMs = options.clock.readMonotonicMs();
    this.#reportedAtMs = nowMs;
    this.#budget = new LogRateLimiter({
      linesPerSecond: LINES_PER_SECOND,
      importantShare: IMPORTANT_SHARE,
    }, nowMs);
    this.#logger = winston.createLogger({
      level: options.level,
      defaultMeta: { vm: options.vm },
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.json(),
      ),
      transports: [new winston.transports.Stream({ stream: this.#writer })],
    });
  }

  /**
   * Writes one line.
   *
   * @param name - what happened
   * @param fields - with what
   */
  record<Name extends LogEventName>(
    name: Name,
    fields: LogEventFields[Name],
  ): void {
    const { level } = LOG_EVENTS[name];
    if (!this.#logger.isLevelEnabled(level)) {
      return;
    }
    const isImportant = level === "warn" || level === "error";
    const nowMs = this.#clock.readMonotonicMs();
    if (!this.#budget.take(isImportant, nowMs)) {
      this.#overBudgetCount += 1;
    } else if (this.#writer.hasRoom()) {
      this.#logger.log(level, name, fields);
    }
    if (nowMs - this.#reportedAtMs > DROP_REPORT_INTERVAL_MS) {
      this.#reportedAtMs = nowMs;
      this.#reportDrops();
    }
  }

  /**
   * Waits until all lines are written.
   */
  async close(): Promise<void> {
    this.#reportDrops();
    await new Promise<void>((resolve) => {
      this.#writer.end(resolve);
    });
  }

  #reportDrops(): void {
    const count = this.#overBudgetCount + this.#writer.takeDroppedCount();
    this.#overBudgetCount = 0;
    if (count > 0) {
      this.#logger.log("warn", "lines-dropped", { count });
    }
  }
}
